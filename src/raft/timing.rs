use std::time::Duration;

/// Timing parameters of the protocol; they must be the same on every member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RaftTiming {
    /// Interval between heartbeat rounds of the leader.
    pub heartbeat_interval: Duration,
    /// Minimum time without a leader after which a voter campaigns. A voter also refuses votes for
    /// this period after each request from a leader.
    pub election_timeout_min: Duration,
    /// Maximum time without a leader; each voter draws a random timeout between the two.
    pub election_timeout_max: Duration,
}

impl RaftTiming {
    /// Returns the duration of a leader lease, measured from the start of the heartbeat round that
    /// a quorum has answered. The factor 0.8 leaves 20% of the timeout for clock drift.
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
