use std::{collections::HashMap, net::SocketAddr, time::Duration};

use crate::sync::{LoadMessage, LoadSum, TargetHash};

/// Age after which a load that was not told again no longer counts; its sender has stopped or is
/// cut off.
const LOAD_LIMIT: Duration = Duration::from_millis(1_500);

/// What one gateway told.
#[derive(Debug)]
pub(super) struct LoadSource {
    pub address: SocketAddr,
    loads: HashMap<TargetHash, ToldLoad>,
}

#[derive(Clone, Copy, Debug)]
struct ToldLoad {
    sum: LoadSum,
    serial: u64,
    told_at: Duration,
}

impl LoadSource {
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            loads: HashMap::new(),
        }
    }

    /// Takes over a message; loads that a later message told stay.
    pub fn accept(&mut self, message: &LoadMessage, now: Duration) {
        for (key, sum) in &message.loads {
            let told = ToldLoad {
                sum: *sum,
                serial: message.serial,
                told_at: now,
            };
            let known = self.loads.entry(*key).or_insert(told);
            if known.serial <= message.serial {
                *known = told;
            }
        }
    }

    /// Drops loads that were not told again. Returns whether any is left.
    pub fn expire(&mut self, now: Duration) -> bool {
        self.loads
            .retain(|_, told| now.saturating_sub(told.told_at) < LOAD_LIMIT);
        !self.loads.is_empty()
    }

    pub fn loads(&self) -> impl Iterator<Item = (TargetHash, LoadSum)> {
        self.loads.iter().map(|(key, told)| (*key, told.sum))
    }

    pub fn get(&self, key: TargetHash) -> LoadSum {
        self.loads
            .get(&key)
            .map(|told| told.sum)
            .unwrap_or_default()
    }
}
