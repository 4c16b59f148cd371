use std::time::Duration;

use crate::{
    ids::{CommandLevel, VmId},
    journal::JournalLimits,
    raft::{RaftLimits, RaftTiming, ReplacementPolicy},
};

/// Highest command level that this release supports.
pub const SUPPORTED_LEVEL: CommandLevel = 6;

/// Command level from which on all members know half quorums; see docs/design.md, section 5.
pub const HALF_QUORUM_LEVEL: CommandLevel = 6;

/// Settings of one voter.
#[derive(Clone, Debug)]
pub struct VoterSettings {
    /// VM of the control daemon.
    pub vm: VmId,
    /// Timing parameters of the protocol.
    pub timing: RaftTiming,
    /// Limits of the consensus core.
    pub limits: RaftLimits,
    /// Size limits of the journal files.
    pub journal: JournalLimits,
    /// Size of the entries after which a snapshot replaces them, in bytes. Up to two such intervals
    /// are in memory, so it must be well below half of `limits.log_bytes`.
    pub snapshot_bytes: usize,
    /// Highest command level that this voter reports as supported.
    pub supported_level: CommandLevel,
    /// Default timeout of proposals, changes and reads.
    pub proposal_timeout: Duration,
    /// When this voter, as the leader, replaces members by itself; `None` where operators do.
    pub replacement: Option<ReplacementPolicy>,
}

impl VoterSettings {
    /// Creates the default settings for a daemon on `vm`.
    #[must_use]
    pub fn new(vm: VmId) -> Self {
        Self {
            vm,
            timing: RaftTiming::default(),
            limits: RaftLimits::default(),
            journal: JournalLimits::default(),
            snapshot_bytes: 8 << 20,
            supported_level: SUPPORTED_LEVEL,
            proposal_timeout: Duration::from_secs(5),
            replacement: None,
        }
    }
}
