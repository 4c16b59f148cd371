use crate::{
    ids::{LogIndex, Term},
    raft::{Membership, RaftRole, VoterId},
};

/// Stage in the life of a voter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VoterPhase {
    /// The data folder is new and it is not known yet whether the fleet exists. The voter takes no
    /// part.
    Uninitialized,
    /// The voter takes part, but may not yet have applied everything that it had shown before it
    /// was restarted.
    CatchingUp,
    /// The voter has applied everything that it had shown before.
    Ready,
    /// The voter has stopped, for good when a file operation failed.
    Stopped,
}

/// What a voter knows about itself and the log.
#[derive(Clone, Debug)]
pub struct VoterStatus {
    /// Identity of this voter.
    pub id: VoterId,
    /// Stage in the life of this voter.
    pub phase: VoterPhase,
    /// Role in the current term.
    pub role: RaftRole,
    /// Current term.
    pub term: Term,
    /// Leader of the term, when known.
    pub leader: Option<VoterId>,
    /// Membership in force.
    pub membership: Membership,
    /// Membership with which the fleet was founded; `None` when this voter joined later, or after
    /// the first snapshot.
    pub founding: Option<Membership>,
    /// Last committed entry.
    pub commit: LogIndex,
    /// Last entry of the log.
    pub last: LogIndex,
}
