use crate::{
    ids::{LogIndex, Term},
    raft::{Membership, RaftRole, VoterId},
};

/// Phase of a voter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VoterPhase {
    /// The data folder is new and it is unknown whether the fleet exists. The voter does not
    /// participate yet.
    Uninitialized,
    /// The voter participates, but its applied state may be older than the state that it returned
    /// before its restart.
    CatchingUp,
    /// The applied state is at least as recent as the state returned before the restart.
    Ready,
    /// The voter has stopped; after a failed file operation it does so permanently.
    Stopped,
}

/// Status of a voter and its log.
#[derive(Clone, Debug)]
pub struct VoterStatus {
    /// Identity of this voter.
    pub id: VoterId,
    /// Phase of this voter.
    pub phase: VoterPhase,
    /// Role in the current term.
    pub role: RaftRole,
    /// Current term.
    pub term: Term,
    /// Leader of the term, if it is known.
    pub leader: Option<VoterId>,
    /// Membership in force.
    pub membership: Membership,
    /// Whether the membership in force is committed.
    pub is_membership_committed: bool,
    /// Membership with which the fleet was founded; `None` when this voter joined later, or after
    /// the first snapshot.
    pub founding: Option<Membership>,
    /// Index of the last committed entry.
    pub commit: LogIndex,
    /// Index of the last entry of the log.
    pub last: LogIndex,
}
