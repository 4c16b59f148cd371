use std::{collections::BTreeSet, net::SocketAddr};

use serde::{Deserialize, Serialize};

use crate::raft::VoterId;

/// Reply of a coordinator that does not lead.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRedirect {
    /// System address of the leader, as far as the coordinator knows it.
    pub leader: Option<SocketAddr>,
    /// How long no leader can have counted on the coordinator; `None` while one may, or if the coordinator
    /// is not a voter.
    #[serde(default)]
    pub absence: Option<AbsenceReport>,
}

/// Statement of one voter that no leader could count on it for a time. It says nothing about a leader that
/// other voters follow; see docs/design.md, section 18.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AbsenceReport {
    /// The voter.
    pub voter: VoterId,
    /// The voters of the log, as far as this one knows.
    pub voters: BTreeSet<VoterId>,
    /// Age of the start of the time when the reply was made, in milliseconds.
    pub began_ms: u64,
    /// Age of its end, in milliseconds.
    pub ended_ms: u64,
}
