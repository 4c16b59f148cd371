use std::net::SocketAddr;

use reqwest::Client;
use rocket::{State, get, http::Status, post, serde::json::Json};
use serde::{Deserialize, Serialize};

use super::{admin::Operator, member_client::MemberClient, system::SystemSecret};
use crate::{
    code::ResultCode,
    error::Error,
    ids::{LogIndex, Revision, Term},
    raft::{MemberChange, RaftRole, VoterId},
    voter::{VoterHandle, VoterPhase, member_name, parse_member_name},
};

/// Members of the replicated log as seen by this daemon.
#[derive(Debug, Serialize, Deserialize)]
pub struct MembersView {
    /// Name of this daemon's member.
    pub this: String,
    /// Phase of this daemon's voter: `undecided`, `catching_up`, `ready` or `stopped`.
    pub phase: String,
    /// Whether this daemon's voter leads.
    pub leads: bool,
    /// Current term.
    pub term: Term,
    /// Name of the leader, when known.
    pub leader: Option<String>,
    /// Index of the last entry that this daemon knows to be committed.
    pub commit: LogIndex,
    /// Index of the last entry that this daemon has applied.
    pub applied: LogIndex,
    /// Configuration revision that this daemon has applied. Only the leader's is certain to be the
    /// latest; on other daemons it shows how far they have followed.
    pub revision: Revision,
    /// All members.
    pub members: Vec<MemberView>,
}

/// One member.
#[derive(Debug, Serialize, Deserialize)]
pub struct MemberView {
    /// VM and incarnation, which identify the member in promotions and removals.
    pub id: String,
    /// `voter` or `learner`.
    pub kind: String,
    /// System address, when known.
    pub system: Option<SocketAddr>,
    /// Administration address, when known.
    pub admin: Option<SocketAddr>,
}

/// Request to add a control daemon as a learner.
#[derive(Debug, Serialize, Deserialize)]
pub struct MemberAddBody {
    /// Its system address.
    pub system: SocketAddr,
}

/// Request to promote or remove a member.
#[derive(Debug, Serialize, Deserialize)]
pub struct MemberChangeBody {
    /// Id of the member, as in [`MemberView::id`].
    pub id: String,
}

/// Result of a membership change.
#[derive(Debug, Serialize, Deserialize)]
pub struct MemberAnswer {
    /// Number of the result code; 0 when the change is committed.
    pub code: u16,
    /// Name of the result code.
    pub name: String,
    /// Name of the changed member, or the reason of the refusal.
    pub message: String,
    /// Administration address of the leader, when another daemon leads.
    pub leader: Option<String>,
}

type Answer = (Status, Json<MemberAnswer>);

/// Lists the members.
#[get("/admin/v1/members")]
pub fn list_members(_operator: Operator, voter: &State<VoterHandle>) -> Json<MembersView> {
    let status = voter.status();
    let view = |kind: &str, id: &VoterId| {
        let address = voter.addresses().find(&id.vm);
        MemberView {
            id: member_name(id),
            kind: kind.to_owned(),
            system: address.as_ref().map(|address| address.system),
            admin: address.as_ref().map(|address| address.admin),
        }
    };
    let (applied, revision) = voter.read_local(|state| (state.applied(), state.config().0));
    let voters = status.membership.voters.iter().map(|id| view("voter", id));
    let learners = status
        .membership
        .learners
        .iter()
        .map(|id| view("learner", id));
    let phase = match status.phase {
        VoterPhase::Uninitialized => "undecided",
        VoterPhase::CatchingUp => "catching_up",
        VoterPhase::Ready => "ready",
        VoterPhase::Stopped => "stopped",
    };
    Json(MembersView {
        this: member_name(&status.id),
        phase: phase.to_owned(),
        leads: status.role == RaftRole::Leader,
        term: status.term,
        leader: status.leader.as_ref().map(member_name),
        commit: status.commit,
        applied,
        revision,
        members: voters.chain(learners).collect(),
    })
}

/// Adds a control daemon as a learner. Its identity is fetched from its address.
#[post("/admin/v1/members/add", data = "<member>")]
pub async fn add_member(
    _operator: Operator,
    member: Json<MemberAddBody>,
    voter: &State<VoterHandle>,
    client: &State<Client>,
    secret: &State<SystemSecret>,
) -> Answer {
    let client = MemberClient::new(client.inner().clone(), secret.0.clone());
    match client.fetch(member.system).await {
        Ok(reply) => {
            voter.addresses().update(&reply.address);
            propose_change(voter, MemberChange::AddLearner(reply.id)).await
        }
        Err(error) => refuse(ResultCode::TargetUnreachable, &error, None),
    }
}

/// Promotes a learner that has caught up to a voter.
#[post("/admin/v1/members/promote", data = "<member>")]
pub async fn promote_member(
    _operator: Operator,
    member: Json<MemberChangeBody>,
    voter: &State<VoterHandle>,
) -> Answer {
    change_by_name(voter, &member.id, MemberChange::Promote).await
}

/// Removes a voter or learner, for example one whose disk was lost.
#[post("/admin/v1/members/remove", data = "<member>")]
pub async fn remove_member(
    _operator: Operator,
    member: Json<MemberChangeBody>,
    voter: &State<VoterHandle>,
) -> Answer {
    change_by_name(voter, &member.id, MemberChange::Remove).await
}

async fn change_by_name(
    voter: &VoterHandle,
    name: &str,
    to_change: impl FnOnce(VoterId) -> MemberChange,
) -> Answer {
    match parse_member_name(name) {
        Some(id) => propose_change(voter, to_change(id)).await,
        None => refuse(
            ResultCode::MalformedRequest,
            &"the id is not of the form vm@incarnation",
            None,
        ),
    }
}

async fn propose_change(voter: &VoterHandle, change: MemberChange) -> Answer {
    let (MemberChange::AddLearner(id) | MemberChange::Promote(id) | MemberChange::Remove(id)) =
        &change;
    let message = member_name(id);
    match voter.change_membership(change.clone()).await {
        Ok(()) => committed(message),
        Err(error) => match &error {
            Error::NotLeader { leader } => refuse(ResultCode::NotLeader, &error, leader.clone()),
            // A change whose answer was lost is sent again.
            Error::Refused { .. } if is_made(voter, &change) => committed(message),
            Error::Refused { .. } => refuse(ResultCode::ChangeRefused, &error, None),
            _ => refuse(ResultCode::Unconfirmed, &error, None),
        },
    }
}

/// Returns whether the committed membership shows that a change was made. The absence of a member does not show that
/// it was ever there.
fn is_made(voter: &VoterHandle, change: &MemberChange) -> bool {
    let status = voter.status();
    status.is_membership_committed
        && match change {
            MemberChange::AddLearner(id) => status.membership.contains(id),
            MemberChange::Promote(id) => status.membership.voters.contains(id),
            MemberChange::Remove(_) => false,
        }
}

fn committed(message: String) -> Answer {
    let answer = MemberAnswer {
        code: 0,
        name: "committed".to_owned(),
        message,
        leader: None,
    };
    (Status::Ok, Json(answer))
}

fn refuse(code: ResultCode, message: &dyn std::fmt::Display, leader: Option<String>) -> Answer {
    let answer = MemberAnswer {
        code: code.number(),
        name: code.name().to_owned(),
        message: message.to_string(),
        leader,
    };
    (Status::new(code.status()), Json(answer))
}
