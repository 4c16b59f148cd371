use crate::ids::LogIndex;

/// Bounds on what the core keeps and sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RaftLimits {
    /// Bytes of entries in one append request; one entry is always allowed.
    pub batch_bytes: usize,
    /// Bytes of entries sent to one member and not yet answered; one entry is always allowed.
    pub in_flight_bytes: usize,
    /// Bytes of a snapshot in one message.
    pub chunk_bytes: usize,
    /// Bytes of the log in memory beyond which the leader refuses proposals until the driver
    /// compacts.
    pub log_bytes: usize,
    /// Committed entries that a learner may lack when it is promoted. Anything above 0 weakens the
    /// rule that a repair leaves every committed entry on a quorum of the new voters.
    pub promote_lag: LogIndex,
}

impl Default for RaftLimits {
    fn default() -> Self {
        Self {
            batch_bytes: 256 << 10,
            in_flight_bytes: 2 << 20,
            chunk_bytes: 256 << 10,
            log_bytes: 64 << 20,
            promote_lag: 0,
        }
    }
}
