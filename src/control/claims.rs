use rocket::{State, data::Data, http::Status, post};

use super::{commands::propose_message, system::SystemPeer};
use crate::{state::Command, sync::ClaimMessage, voter::VoterHandle};

/// Commits a claim of an idempotency key or its outcome; see docs/design.md, section 11.
#[post("/claims/v1", data = "<body>")]
pub async fn submit_claim(
    _peer: SystemPeer,
    body: Data<'_>,
    voter: &State<VoterHandle>,
) -> Result<Vec<u8>, Status> {
    propose_message("claim message", body, voter, |message| match message {
        ClaimMessage::Claim(request) => Command::Claim(request),
        ClaimMessage::Complete(ticket, response) => Command::Complete { ticket, response },
        ClaimMessage::Release(ticket) => Command::Release(ticket),
        ClaimMessage::Abandon(ticket) => Command::Abandon(ticket),
    })
    .await
}
