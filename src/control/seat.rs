use std::time::Duration;

use reqwest::{Client, StatusCode};
use spdlog::prelude::*;
use tokio::time::Instant;

use super::raft_api::{LEAVE_PATH, LeaveRequest};
use crate::{
    sync::{self, SECRET_HEADER},
    voter::{VoterHandle, VoterStatus},
};

/// Interval of attempts to find a leader that gives the seat away.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Result of one attempt to give up a seat.
enum LeaveAnswer {
    /// This voter is no longer a member.
    Removed,
    /// No learner can take the seat.
    Kept,
    /// The answer of a leader is missing.
    Unknown,
}

/// Has the leader give this voter's seat to a learner, within `limit`. A voter that stops as planned may not come
/// back, and another one may be lost right after it; see docs/design.md, section 5.
pub async fn hand_over_seat(voter: &VoterHandle, client: &Client, secret: &str, limit: Duration) {
    let deadline = Instant::now() + limit;
    let status = voter.status();
    let membership = &status.membership;
    // An even number of voters includes a successor, which has its seat already.
    let has_successor =
        !membership.learners.is_empty() || membership.voters.len().is_multiple_of(2);
    if !membership.voters.contains(&status.id) || !has_successor {
        return;
    }
    let handover = async {
        loop {
            let status = voter.status();
            match leave(voter, client, secret, &status, deadline).await {
                LeaveAnswer::Removed => {
                    return info!("raft: a learner has taken this voter's seat");
                }
                LeaveAnswer::Kept => return info!("raft: no learner can take this voter's seat"),
                LeaveAnswer::Unknown => tokio::time::sleep(RETRY_INTERVAL).await,
            }
        }
    };
    if tokio::time::timeout_at(deadline, handover).await.is_err() {
        warn!("raft: no leader has given this voter's seat away within {limit:?}");
    }
}

async fn leave(
    voter: &VoterHandle,
    client: &Client,
    secret: &str,
    status: &VoterStatus,
    deadline: Instant,
) -> LeaveAnswer {
    let leader = status
        .leader
        .as_ref()
        .filter(|leader| **leader != status.id);
    let address = leader.and_then(|leader| voter.addresses().system_address(&leader.vm));
    let request = LeaveRequest {
        id: status.id.clone(),
    };
    let (Some(address), Ok(body)) = (address, sync::encode(&request)) else {
        return LeaveAnswer::Unknown;
    };
    let call = client
        .post(format!("http://{address}{LEAVE_PATH}"))
        .header(SECRET_HEADER, secret)
        .timeout(deadline.saturating_duration_since(Instant::now()))
        .body(body);
    match call.send().await.map(|answer| answer.status()) {
        Ok(StatusCode::OK) => LeaveAnswer::Removed,
        Ok(StatusCode::CONFLICT) => LeaveAnswer::Kept,
        Ok(_) => LeaveAnswer::Unknown,
        Err(error) => {
            warn!("raft: no answer about this voter's seat: {error}");
            LeaveAnswer::Unknown
        }
    }
}
