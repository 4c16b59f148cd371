use rocket::{State, data::Data, http::Status, post};

use super::{commands::propose_message, system::SystemPeer};
use crate::{state::Command, sync::CrashMessage, voter::VoterHandle};

/// Commits a crash report or a turn of a suspect; see docs/design.md, section 10.
#[post("/crashes/v1", data = "<body>")]
pub async fn take_crash(
    _peer: SystemPeer,
    body: Data<'_>,
    voter: &State<VoterHandle>,
) -> Result<Vec<u8>, Status> {
    propose_message("crash message", body, voter, |message| match message {
        CrashMessage::Report(fingerprint, target) => Command::ReportCrash {
            fingerprint,
            target,
        },
        CrashMessage::TakeTurn(fingerprint, holder, attempt) => Command::TakeTurn {
            fingerprint,
            holder,
            attempt,
        },
        CrashMessage::EndTurn(fingerprint, holder, attempt) => Command::EndTurn {
            fingerprint,
            holder,
            attempt,
        },
    })
    .await
}
