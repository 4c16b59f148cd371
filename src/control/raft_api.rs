use rocket::{
    Route, State,
    data::{Data, ToByteUnit},
    get,
    http::Status,
    post, routes,
};
use serde::{Deserialize, Serialize};

use super::system::SystemPeer;
use crate::{
    config::VoterAddress,
    raft::{MemberChange, Membership, VoterId},
    sync,
    voter::{PeerMessages, VoterHandle, VoterPhase},
};

/// Path of messages between members.
pub const MESSAGE_PATH: &str = "/raft/v1/message";
/// Path at which a member tells who it is.
pub const MEMBER_PATH: &str = "/raft/v1/member";
/// Path at which a member announces itself.
pub const JOIN_PATH: &str = "/raft/v1/join";
/// Largest batch of messages in MiB: one command of the greatest length and framing.
const MAX_BATCH_MIB: u64 = 16;

/// What a control daemon tells about itself before a fleet is founded or joined.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MemberReply {
    /// Identity of its data folder.
    pub id: VoterId,
    /// Where it is reached.
    pub address: VoterAddress,
    /// Whether it takes part in a fleet.
    pub takes_part: bool,
    /// Membership with which the fleet was founded, as long as it is known.
    pub founding: Option<Membership>,
}

/// Announcement of a control daemon that hears no leader.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct JoinRequest {
    /// Identity of its data folder.
    pub id: VoterId,
    /// Where it is reached.
    pub address: VoterAddress,
    /// Whether the leader is to add it as a learner.
    pub learner: bool,
}

/// Takes messages for this member. The reply says only that they were received.
#[post("/raft/v1/message", data = "<body>")]
pub async fn take_messages(
    _peer: SystemPeer,
    body: Data<'_>,
    voter: &State<VoterHandle>,
) -> Result<(), Status> {
    let messages: PeerMessages = read(body).await?;
    voter.receive(messages);
    Ok(())
}

/// Tells who this member is.
#[get("/raft/v1/member")]
pub fn tell_member(_peer: SystemPeer, voter: &State<VoterHandle>) -> Result<Vec<u8>, Status> {
    let status = voter.status();
    let reply = MemberReply {
        id: status.id,
        address: voter.addresses().own().clone(),
        takes_part: status.phase != VoterPhase::Uninitialized,
        founding: status.founding,
    };
    sync::encode(&reply).map_err(|_| Status::InternalServerError)
}

/// Learns a member's address, and adds it as a learner when it asks for it.
#[post("/raft/v1/join", data = "<body>")]
pub async fn take_join(
    _peer: SystemPeer,
    body: Data<'_>,
    voter: &State<VoterHandle>,
) -> Result<(), Status> {
    let request: JoinRequest = read(body).await?;
    voter.addresses().update(&request.address);
    if !request.learner || voter.status().membership.contains(&request.id) {
        return Ok(());
    }
    let change = MemberChange::AddLearner(request.id);
    voter
        .change_membership(change)
        .await
        .map_err(|_| Status::MisdirectedRequest)
}

/// Routes between the members of the log.
pub fn raft_routes() -> Vec<Route> {
    routes![take_messages, tell_member, take_join]
}

async fn read<M: serde::de::DeserializeOwned>(body: Data<'_>) -> Result<M, Status> {
    let bytes = body.open(MAX_BATCH_MIB.mebibytes()).into_bytes().await;
    let bytes = bytes.map_err(|_| Status::BadRequest)?;
    if !bytes.is_complete() {
        return Err(Status::PayloadTooLarge);
    }
    sync::decode("peer message", &bytes).map_err(|_| Status::BadRequest)
}
