use serde::{Deserialize, Serialize};

use crate::{
    admission::{RANKS, RankCounts},
    route::PoolId,
};

/// CRC-32 that identifies a pool in load messages.
pub type PoolHash = u32;

/// Returns the hash that identifies a pool in load messages. A collision of two pools only makes them
/// share their waiting requests.
#[must_use]
pub fn pool_hash(pool: &PoolId) -> PoolHash {
    let (kind, name) = match pool {
        PoolId::Model(name) => (b'm', name),
        PoolId::Service(name) => (b's', name),
    };
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&[kind]);
    hasher.update(name.as_bytes());
    hasher.finalize()
}

/// Requests that wait for a pool, summed over gateways. Values are absolute, like those of loads.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitSum {
    /// Waiting requests by rank.
    pub ranks: RankCounts,
    /// Slots that the pool gives to these gateways, in thousandths a second.
    pub slot_rate: u32,
}

impl WaitSum {
    /// Adds the requests of other gateways.
    pub fn add(&mut self, other: &Self) {
        for (count, other) in self.ranks.iter_mut().zip(other.ranks) {
            *count = count.saturating_add(other);
        }
        self.slot_rate = self.slot_rate.saturating_add(other.slot_rate);
    }

    /// Subtracts the requests of other gateways.
    pub fn subtract(&mut self, other: &Self) {
        for (count, other) in self.ranks.iter_mut().zip(other.ranks) {
            *count = count.saturating_sub(other);
        }
        self.slot_rate = self.slot_rate.saturating_sub(other.slot_rate);
    }

    /// Returns whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.ranks == [0; RANKS]
    }
}
