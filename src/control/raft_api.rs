use std::time::{Duration, Instant};

use rocket::{
    Route, State,
    data::{Data, ToByteUnit},
    get,
    http::Status,
    post, routes,
};
use serde::{Deserialize, Serialize};
use spdlog::prelude::*;

use super::{known_members::KnownMembers, refused_joins::RefusedJoins, system::SystemPeer};
use crate::{
    config::VoterAddress,
    error::Error,
    raft::{MemberChange, Membership, VoterId},
    sync,
    voter::{PeerMessages, VoterHandle, VoterPhase, member_name},
};

/// Path of Raft messages between members.
pub const MESSAGE_PATH: &str = "/raft/v1/message";
/// Path of a member's identity and state.
pub const MEMBER_PATH: &str = "/raft/v1/member";
/// Path of the announcements of members.
pub const JOIN_PATH: &str = "/raft/v1/join";
/// Path at which a voter that stops as planned gives up its seat.
pub const LEAVE_PATH: &str = "/raft/v1/leave";
/// Maximum time for which a new member waits until the leader has committed an earlier change.
const JOIN_LIMIT: Duration = Duration::from_millis(800);
/// Interval of attempts to add a new member.
const JOIN_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum time for which the leader looks for a learner that takes a seat.
const LEAVE_LIMIT: Duration = Duration::from_secs(1);
/// Maximum size of a batch of messages in MiB: one command of maximum size with its framing.
const MAX_BATCH_MIB: u64 = 16;

/// Identity and state of a control daemon, for daemons that found or join a fleet.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MemberReply {
    /// Identity of its data folder.
    pub id: VoterId,
    /// Address at which it is reached.
    pub address: VoterAddress,
    /// Whether it belongs to a fleet.
    pub takes_part: bool,
    /// Membership with which the fleet was founded, if it is still known.
    pub founding: Option<Membership>,
    /// What it knows of the other members; empty from daemons of earlier releases.
    #[serde(default)]
    pub known: KnownMembers,
}

/// Announcement of a control daemon that knows no leader.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct JoinRequest {
    /// Identity of its data folder.
    pub id: VoterId,
    /// Address at which it is reached.
    pub address: VoterAddress,
    /// Whether it requests to be added as a learner.
    pub learner: bool,
}

/// Request of a voter that stops as planned.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LeaveRequest {
    /// Identity of its data folder.
    pub id: VoterId,
}

/// Accepts messages for this member. The reply confirms only that they were received.
#[post("/raft/v1/message", data = "<body>")]
pub async fn receive_messages(
    _peer: SystemPeer,
    body: Data<'_>,
    voter: &State<VoterHandle>,
) -> Result<(), Status> {
    let messages: PeerMessages = read_body(body).await?;
    voter.receive(messages);
    Ok(())
}

/// Returns the identity and state of this member.
#[get("/raft/v1/member")]
pub fn get_member(_peer: SystemPeer, voter: &State<VoterHandle>) -> Result<Vec<u8>, Status> {
    let status = voter.status();
    let reply = MemberReply {
        id: status.id,
        address: voter.addresses().own().clone(),
        takes_part: status.phase != VoterPhase::Uninitialized,
        founding: status.founding,
        known: KnownMembers::of_voter(voter),
    };
    sync::encode(&reply).map_err(|_| Status::InternalServerError)
}

/// Saves the address of a member, and adds the member as a learner if it requests that. The answer says what this
/// member knows of the others, also when it refuses: the requester may know no other way to the leader.
#[post("/raft/v1/join", data = "<body>")]
pub async fn accept_join(
    _peer: SystemPeer,
    body: Data<'_>,
    voter: &State<VoterHandle>,
    refused: &State<RefusedJoins>,
) -> Result<Vec<u8>, (Status, Vec<u8>)> {
    let request: JoinRequest = read_body(body)
        .await
        .map_err(|status| (status, Vec::new()))?;
    voter.addresses().update(&request.address);
    voter.sight(request.id.clone());
    let added = add_learner(voter, &request, refused).await;
    let known = sync::encode(&KnownMembers::of_voter(voter));
    let known = known.map_err(|_| (Status::InternalServerError, Vec::new()))?;
    match added {
        Ok(()) => Ok(known),
        Err(status) => Err((status, known)),
    }
}

/// Adds a requester as a learner if it requests that and is no member yet.
async fn add_learner(
    voter: &VoterHandle,
    request: &JoinRequest,
    refused: &RefusedJoins,
) -> Result<(), Status> {
    if !request.learner || voter.status().membership.contains(&request.id) {
        return Ok(());
    }
    let deadline = Instant::now() + JOIN_LIMIT;
    loop {
        let change = MemberChange::AddLearner(request.id.clone());
        match voter.change_membership(change).await {
            Ok(()) => return Ok(()),
            // Another change is in progress; the membership may contain the member by now.
            Err(Error::Refused { .. }) if Instant::now() < deadline => {
                tokio::time::sleep(JOIN_INTERVAL).await;
            }
            Err(error) => {
                refused.record(&request.id, &error);
                return Err(Status::MisdirectedRequest);
            }
        }
        if voter.status().membership.contains(&request.id) {
            return Ok(());
        }
    }
}

/// Gives the seat of a voter that stops as planned to a learner. The answer comes once the voter is removed.
#[post("/raft/v1/leave", data = "<body>")]
pub async fn accept_leave(
    _peer: SystemPeer,
    body: Data<'_>,
    voter: &State<VoterHandle>,
) -> Result<(), Status> {
    let request: LeaveRequest = read_body(body).await?;
    let name = member_name(&request.id);
    match voter.release_seat(request.id, LEAVE_LIMIT).await {
        Ok(()) => Ok(()),
        Err(Error::Refused { reason }) => {
            info!("raft: {name} keeps its seat while it is stopped: {reason}");
            Err(Status::Conflict)
        }
        Err(error) => {
            info!("raft: cannot give the seat of {name} away: {error}");
            Err(Status::MisdirectedRequest)
        }
    }
}

/// Returns the routes for messages between members.
pub fn raft_routes() -> Vec<Route> {
    routes![receive_messages, get_member, accept_join, accept_leave]
}

async fn read_body<M: serde::de::DeserializeOwned>(body: Data<'_>) -> Result<M, Status> {
    let bytes = body.open(MAX_BATCH_MIB.mebibytes()).into_bytes().await;
    let bytes = bytes.map_err(|_| Status::BadRequest)?;
    if !bytes.is_complete() {
        return Err(Status::PayloadTooLarge);
    }
    sync::decode("peer message", &bytes).map_err(|_| Status::BadRequest)
}
