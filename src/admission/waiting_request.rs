use std::time::Duration;

use super::RANKS;
use crate::ids::TeamId;

/// A request that waits for a slot. Times are on the clock of the gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitingRequest {
    /// Urgency; 0 is the most urgent.
    pub rank: u8,
    /// Team that the request belongs to; empty for requests of anyone.
    pub team: TeamId,
    /// When the request began to wait.
    pub arrived_at: Duration,
    /// Latest start at which the first byte is expected to meet its target.
    pub latest_start: Duration,
    /// When the request is refused.
    pub wait_until: Duration,
    /// Tokens to process: those of the prompt that are not cached and those of the answer.
    pub work: u64,
}

impl WaitingRequest {
    /// Returns the rank as an index.
    #[must_use]
    pub fn rank_index(&self) -> usize {
        usize::from(self.rank).min(RANKS - 1)
    }

    /// Returns whether the first byte can still meet its target.
    #[must_use]
    pub fn can_meet_target(&self, now: Duration) -> bool {
        now <= self.latest_start
    }
}
