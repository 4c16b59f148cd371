use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use rocket::{State, data::Data, http::Status, post};

use super::{commands::propose_message, sync_service::SyncService, system::SystemPeer};
use crate::{state::Command, sync::CrashMessage, voter::VoterHandle};

/// Maximum time that the reply to a crash report is held.
const MAX_HOLD: Duration = Duration::from_secs(2);
/// Interval of checks of the entries' crash table versions.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Commits a crash report, or the start or end of a suspect's turn; see docs/design.md, section 10.
#[post("/crashes/v1", data = "<body>")]
pub async fn submit_crash(
    _peer: SystemPeer,
    body: Data<'_>,
    voter: &State<VoterHandle>,
    service: &State<Arc<SyncService>>,
) -> Result<Vec<u8>, Status> {
    let mut is_report = false;
    let reply = propose_message("crash message", body, voter, |message| match message {
        CrashMessage::Report(fingerprint, target) => {
            is_report = true;
            Command::ReportCrash {
                fingerprint,
                target,
            }
        }
        CrashMessage::ReportParts(mut evidence) => {
            let target = &evidence.crash.target;
            let incarnation = voter.read_local(|state| state.memory().incarnation(target));
            evidence.crash.started_ms = incarnation.unwrap_or(0);
            Command::ReportParts(evidence)
        }
        CrashMessage::ClearParts(completed) => Command::ClearParts(completed),
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
    .await?;
    if is_report {
        wait_for_entries(service, voter).await;
    }
    Ok(reply)
}

/// Waits, for at most [`MAX_HOLD`], for every live entry to have the suspect. The caller may resend
/// the request to any entry as soon as the reporting entry responds.
async fn wait_for_entries(service: &SyncService, voter: &VoterHandle) {
    let deadline = Instant::now() + MAX_HOLD;
    while Instant::now() < deadline {
        match voter.lease() {
            Some(lease) if !service.all_have_crash_table(lease) => {}
            _ => return,
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
