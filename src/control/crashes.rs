use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use rocket::{State, data::Data, http::Status, post};

use super::{commands::propose_message, sync_service::SyncService, system::SystemPeer};
use crate::{state::Command, sync::CrashMessage, voter::VoterHandle};

/// Longest time that the reply to a report is held.
const HOLD_LIMIT: Duration = Duration::from_secs(2);
/// Time between two looks at what the entries know.
const POLL_PERIOD: Duration = Duration::from_millis(10);

/// Commits a crash report or a turn of a suspect; see docs/design.md, section 10.
#[post("/crashes/v1", data = "<body>")]
pub async fn take_crash(
    _peer: SystemPeer,
    body: Data<'_>,
    voter: &State<VoterHandle>,
    hub: &State<Arc<SyncService>>,
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
        wait_until_known(hub, voter).await;
    }
    Ok(reply)
}

/// Waits until every live entry has the suspect, since the caller can send the request again, to
/// any entry, as soon as the reporting entry responds.
async fn wait_until_known(hub: &SyncService, voter: &VoterHandle) {
    let until = Instant::now() + HOLD_LIMIT;
    while Instant::now() < until {
        match voter.lease() {
            Some(lease) if !hub.all_know_crashes(lease) => {}
            _ => return,
        }
        tokio::time::sleep(POLL_PERIOD).await;
    }
}
