use std::time::Instant;

use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

use crate::{
    config::VoterAddress,
    error::Result,
    ids::CommandLevel,
    raft::{MemberChange, Membership, RaftMessage, VoterId},
    state::{Command, Outcome},
};

/// Channel for the answer to a request.
pub type AnswerSender = oneshot::Sender<Result<Outcome>>;

/// Messages from one control daemon to another, sent together.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PeerMessages {
    /// Address of the sender.
    pub sender: VoterAddress,
    /// Identity of the sender.
    pub id: VoterId,
    /// Highest command level that the sender supports.
    pub level: CommandLevel,
    /// Other addresses that the sender knows; sent only from time to time.
    #[serde(default)]
    pub others: Vec<VoterAddress>,
    /// The messages, in order.
    pub messages: Vec<RaftMessage>,
}

/// Request to the voter thread.
pub enum VoterRequest {
    /// Propose a command.
    Propose {
        command: Box<Command>,
        deadline: Instant,
        answer: AnswerSender,
    },
    /// Answer when every entry committed before the call is applied here; refused unless this voter
    /// is the leader.
    Read {
        deadline: Instant,
        answer: AnswerSender,
    },
    /// Change the membership.
    Change {
        change: MemberChange,
        deadline: Instant,
        answer: AnswerSender,
    },
    /// Give the seat of a voter that stops as planned to a learner. Answer once the voter is removed.
    Release {
        id: VoterId,
        deadline: Instant,
        answer: AnswerSender,
    },
    /// A daemon has announced itself as this member.
    Sighted(VoterId),
    /// Handle messages of a peer.
    Messages(Box<PeerMessages>),
    /// Start to participate, with the founding membership or, when joining, an empty one.
    Initialize {
        membership: Membership,
        answer: oneshot::Sender<Result<()>>,
    },
    /// Transfer leadership to another voter.
    Transfer,
    /// Stop the thread.
    Stop,
}
