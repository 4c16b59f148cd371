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

/// Where the answer to a request goes.
pub type Answer = oneshot::Sender<Result<Outcome>>;

/// Messages from one control daemon to another, sent together.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PeerMessages {
    /// Address of the sender.
    pub sender: VoterAddress,
    /// Identity of the sender.
    pub id: VoterId,
    /// Highest command level that the sender can apply.
    pub level: CommandLevel,
    /// Other addresses that the sender knows; sent now and then.
    #[serde(default)]
    pub others: Vec<VoterAddress>,
    /// The messages, in order.
    pub messages: Vec<RaftMessage>,
}

/// What the voter's thread is asked to do.
pub enum VoterRequest {
    /// Propose a command.
    Propose {
        command: Box<Command>,
        deadline: Instant,
        answer: Answer,
    },
    /// Answer once everything committed before the call is applied here, by the leader only.
    Read { deadline: Instant, answer: Answer },
    /// Change the membership.
    Change {
        change: MemberChange,
        deadline: Instant,
        answer: Answer,
    },
    /// Handle messages of a peer.
    Messages(Box<PeerMessages>),
    /// Begin to take part, with the founding membership or, when joining, an empty one.
    Initialize {
        membership: Membership,
        answer: oneshot::Sender<Result<()>>,
    },
    /// Hand leadership over to another voter.
    Transfer,
    /// End the thread.
    Stop,
}
