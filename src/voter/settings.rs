use std::time::Duration;

use crate::{
    ids::{CommandLevel, VmId},
    journal::JournalLimits,
    raft::{RaftLimits, RaftTiming},
};

/// Highest command level that this release can apply.
pub const SUPPORTED_LEVEL: CommandLevel = 2;

/// Settings of one voter.
#[derive(Clone, Debug)]
pub struct VoterSettings {
    /// VM of the control daemon.
    pub vm: VmId,
    /// Periods of the protocol.
    pub timing: RaftTiming,
    /// Bounds of the consensus core.
    pub limits: RaftLimits,
    /// Sizes of the journal's files.
    pub journal: JournalLimits,
    /// Bytes of entries after which a snapshot replaces them. Up to two such intervals are in
    /// memory, so it must be well below half of `limits.log_bytes`.
    pub snapshot_bytes: usize,
    /// Highest command level that this voter reports it can apply.
    pub supported_level: CommandLevel,
    /// Time that a proposal or read has unless the caller says otherwise.
    pub proposal_timeout: Duration,
}

impl VoterSettings {
    /// Settings for a daemon on `vm`.
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
        }
    }
}
