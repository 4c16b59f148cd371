use std::{collections::HashMap, net::SocketAddr, time::Duration};

use crate::sync::{LoadMessage, LoadSum, TargetHash};

/// Maximum age of a load that its sender has not repeated. The sender of an older one has stopped
/// or is unreachable.
const MAX_LOAD_AGE: Duration = Duration::from_millis(1_500);

/// Loads received from one gateway in one scope.
#[derive(Debug)]
pub(super) struct LoadSource {
    pub address: SocketAddr,
    loads: HashMap<TargetHash, ReportedLoad>,
}

#[derive(Clone, Copy, Debug)]
struct ReportedLoad {
    sum: LoadSum,
    serial: u64,
    received_at: Duration,
}

impl LoadSource {
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            loads: HashMap::new(),
        }
    }

    /// Applies a message; loads from a later message are kept.
    pub fn apply_message(&mut self, message: &LoadMessage, now: Duration) {
        for (key, sum) in &message.loads {
            let load = ReportedLoad {
                sum: *sum,
                serial: message.serial,
                received_at: now,
            };
            let known = self.loads.entry(*key).or_insert(load);
            if known.serial <= message.serial {
                *known = load;
            }
        }
    }

    /// Removes loads that are too old. Returns whether any load is left.
    pub fn expire(&mut self, now: Duration) -> bool {
        self.loads
            .retain(|_, load| now.saturating_sub(load.received_at) < MAX_LOAD_AGE);
        !self.loads.is_empty()
    }

    pub fn loads(&self) -> impl Iterator<Item = (TargetHash, LoadSum)> {
        self.loads.iter().map(|(key, load)| (*key, load.sum))
    }

    pub fn get(&self, key: TargetHash) -> LoadSum {
        self.loads
            .get(&key)
            .map(|load| load.sum)
            .unwrap_or_default()
    }
}
