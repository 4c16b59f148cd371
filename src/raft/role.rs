use std::collections::BTreeSet;

use super::{VoteKind, VoterId, leader_state::LeaderState};

/// Role of a member in the current term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RaftRole {
    /// Follows a leader or waits for an election; learners keep this role.
    Follower,
    /// Checks with a pre-vote whether a campaign could succeed.
    PreCandidate,
    /// Requests votes in a campaign.
    Candidate,
    /// Replicates the log and accepts proposals.
    Leader,
}

/// Role with the state that belongs to it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum RoleState {
    Follower,
    PreCandidate {
        granted: BTreeSet<VoterId>,
    },
    Candidate {
        kind: VoteKind,
        granted: BTreeSet<VoterId>,
        /// Voters whose loss was known when the votes were requested.
        lost: BTreeSet<VoterId>,
    },
    Leader(Box<LeaderState>),
}

impl RoleState {
    pub(super) fn role(&self) -> RaftRole {
        match self {
            Self::Follower => RaftRole::Follower,
            Self::PreCandidate { .. } => RaftRole::PreCandidate,
            Self::Candidate { .. } => RaftRole::Candidate,
            Self::Leader(_) => RaftRole::Leader,
        }
    }
}
