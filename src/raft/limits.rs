use crate::ids::LogIndex;

/// Limits on the memory and the messages of the core.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RaftLimits {
    /// Maximum bytes of entries in one append request; one entry is always allowed.
    pub batch_bytes: usize,
    /// Maximum bytes of unacknowledged entries per member; one entry is always allowed.
    pub in_flight_bytes: usize,
    /// Maximum bytes of a snapshot in one message.
    pub chunk_bytes: usize,
    /// Bytes of the log in memory from which on the leader refuses proposals until the driver
    /// compacts the log.
    pub log_bytes: usize,
    /// Maximum number of committed entries that a learner may be missing when it is promoted. Any
    /// value above 0 weakens the guarantee that after a repair every committed entry is on a quorum
    /// of the new voters.
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
