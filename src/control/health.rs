use rocket::{State, get, http::Status};

use crate::voter::{VoterHandle, VoterPhase};

/// Returns whether the process works.
#[get("/healthz")]
pub fn health(voter: &State<VoterHandle>) -> (Status, &'static str) {
    match voter.status().phase {
        VoterPhase::Stopped => (Status::ServiceUnavailable, "the voter has stopped\n"),
        _ => (Status::Ok, "ok\n"),
    }
}

/// Returns whether this daemon serves current state: it leads or knows the leader, and has applied
/// all that it had applied before a restart.
#[get("/readyz")]
pub fn readiness(voter: &State<VoterHandle>) -> (Status, &'static str) {
    let status = voter.status();
    match status.phase {
        VoterPhase::Ready if status.leader.is_some() => (Status::Ok, "ready\n"),
        VoterPhase::Ready => (Status::ServiceUnavailable, "no leader is known\n"),
        VoterPhase::Uninitialized => (Status::ServiceUnavailable, "no fleet is founded yet\n"),
        VoterPhase::CatchingUp => (Status::ServiceUnavailable, "the log is not applied yet\n"),
        VoterPhase::Stopped => (Status::ServiceUnavailable, "the voter has stopped\n"),
    }
}
