use std::{sync::Arc, time::Duration};

use rocket::{State, data::Data, get, put, serde::json::Json};
use tokio::time::{Instant, sleep};

use super::{
    AdminError, Operator,
    error::{AdminResult, check_request_id, read_body},
};
use crate::{
    code::ResultCode,
    control::SyncService,
    fleet::check_document,
    ids::Revision,
    operator::{AdminAnswer, ApplyBody, ConfigView, InForceView},
    state::{ApplyOutcome, ApplyRequest, Command, ControlState, Outcome},
    voter::{LeaderLease, VoterHandle},
};

/// Maximum time that a request waits for a revision to be in force.
const MAX_WAIT: Duration = Duration::from_secs(3);
/// Interval of checks of the entries' revisions.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Returns the current configuration. With `local`, any daemon returns the one that it has applied,
/// which may be outdated but is also available without a leader.
#[get("/config?<local>")]
pub async fn get_config(
    _operator: Operator,
    local: Option<bool>,
    voter: &State<VoterHandle>,
) -> AdminResult<ConfigView> {
    let (revision, config) = match local {
        Some(true) => voter.read_local(ControlState::config),
        _ => voter.read(ControlState::config).await?,
    };
    let config = config.map(|config| (*config).clone());
    Ok(Json(ConfigView { revision, config }))
}

/// Replaces the configuration.
#[put("/config", data = "<data>")]
pub async fn apply_config(
    _operator: Operator,
    data: Data<'_>,
    voter: &State<VoterHandle>,
) -> AdminResult<AdminAnswer> {
    let body: ApplyBody = read_body(data).await?;
    check_request_id(&body.request_id)?;
    let config = check_document(&body.config).map_err(AdminError::invalid)?;
    let request = ApplyRequest::new(body.request_id, body.expected, config);
    match propose(voter, request).await? {
        ApplyOutcome::Accepted(revision) => {
            let message = format!("revision {revision} is accepted");
            Ok(Json(AdminAnswer::accepted(revision, message)))
        }
        ApplyOutcome::Conflict(current) => Err(AdminError::conflict(current)),
        ApplyOutcome::RequestIdReused => Err(AdminError::request_id_reused()),
    }
}

/// Waits until no entry may serve with a revision before this one.
#[get("/in-force/<revision>?<wait_ms>")]
pub async fn get_in_force(
    _operator: Operator,
    revision: Revision,
    wait_ms: Option<u64>,
    voter: &State<VoterHandle>,
    service: &State<Arc<SyncService>>,
) -> AdminResult<InForceView> {
    let wait = Duration::from_millis(wait_ms.unwrap_or(0)).min(MAX_WAIT);
    let deadline = Instant::now() + wait;
    voter.read(|_| ()).await?;
    loop {
        let Some(lease) = voter.lease().filter(LeaderLease::is_valid) else {
            return Err(AdminError::new(
                ResultCode::NotLeader,
                "leadership was lost",
            ));
        };
        let accepted = voter.read_local(|state| state.config().0);
        match service.vms_behind(revision, lease) {
            Some(outdated_vms) if outdated_vms.is_empty() && revision <= accepted => {
                return Ok(Json(InForceView {
                    revision,
                    outdated_vms,
                }));
            }
            outdated_vms if Instant::now() >= deadline => {
                return Err(AdminError::not_in_force(
                    revision,
                    outdated_vms.unwrap_or_default(),
                ));
            }
            _ => sleep(POLL_INTERVAL).await,
        }
    }
}

/// Proposes a configuration to the log.
pub(super) async fn propose(
    voter: &VoterHandle,
    request: ApplyRequest,
) -> Result<ApplyOutcome, AdminError> {
    match voter.propose(Command::Apply(Box::new(request))).await? {
        Outcome::Applied(outcome) => Ok(outcome),
        other => {
            let message = format!("the state answered {other:?}");
            Err(AdminError::new(ResultCode::Internal, message))
        }
    }
}
