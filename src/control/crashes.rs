use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use rocket::{State, data::Data, http::Status, post};

use super::{commands, sync_service::SyncService, system::SystemPeer};
use crate::{
    state::{Command, Outcome},
    sync::{self, CommandReply, CompletedPart, CrashEvidence, CrashMessage},
    voter::{PartRecorder, VoterHandle},
};

/// Maximum time that the reply to a crash report is held.
const MAX_HOLD: Duration = Duration::from_secs(2);
/// Maximum time that the reply to evidence about parts is held.
const MAX_PARTS_WAIT: Duration = Duration::from_secs(1);
/// Interval of checks of the entries' crash table versions.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Commits a crash report, or the start or end of a suspect's turn; see docs/design.md, section 10.
#[post("/crashes/v1", data = "<body>")]
pub async fn submit_crash(
    _peer: SystemPeer,
    body: Data<'_>,
    voter: &State<VoterHandle>,
    service: &State<Arc<SyncService>>,
    part_recorder: &State<Arc<PartRecorder>>,
) -> Result<Vec<u8>, Status> {
    let message = commands::read_message("crash message", body, voter).await?;
    let mut is_report = false;
    let command = match message {
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
            return record_parts(part_recorder, &[evidence], &[]).await;
        }
        CrashMessage::ClearParts(completed) => {
            return record_parts(part_recorder, &[], &completed).await;
        }
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
    };
    let reply = commands::propose_command("crash message", voter, command).await?;
    if is_report {
        wait_for_entries(service, voter).await;
    }
    Ok(reply)
}

/// Records evidence about parts of requests together with that of other entries.
async fn record_parts(
    part_recorder: &PartRecorder,
    crashes: &[CrashEvidence],
    completed: &[CompletedPart],
) -> Result<Vec<u8>, Status> {
    let recorded = part_recorder.record(crashes, completed, MAX_PARTS_WAIT);
    if !recorded.await {
        return Err(Status::ServiceUnavailable);
    }
    let outcome = Outcome::Done;
    sync::encode(&CommandReply { outcome }).map_err(|_| Status::InternalServerError)
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
