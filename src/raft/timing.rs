use std::time::Duration;

/// Periods of the protocol; the same on every member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RaftTiming {
    /// Time between two heartbeat rounds of the leader.
    pub heartbeat_interval: Duration,
    /// Shortest time without a leader after which a voter campaigns. A voter refuses votes for this
    /// time after it heard from a leader.
    pub election_timeout_min: Duration,
    /// Longest such time; each voter draws its own between the two.
    pub election_timeout_max: Duration,
}

impl RaftTiming {
    /// Returns how long a leader's lease lasts from the sending of the heartbeat round that a
    /// quorum answered. The factor 0.8 leaves 20% of the timeout for clock drift.
    #[must_use]
    pub fn lease_duration(&self) -> Duration {
        self.election_timeout_min * 4 / 5
    }
}

impl Default for RaftTiming {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(100),
            election_timeout_min: Duration::from_millis(800),
            election_timeout_max: Duration::from_millis(1_600),
        }
    }
}
