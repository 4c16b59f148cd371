use rocket::{State, data::Data, get, post, serde::json::Json};

use super::{
    AdminError, Operator,
    error::{AdminResult, check_request_id, read_body},
};
use crate::{
    border::FleetConfig,
    code::ResultCode,
    fleet::{ConfigIssue, check_capacity, check_identifier},
    operator::{AdminAnswer, DrainView, DrainsView},
    state::{
        Command, ControlState, DrainOutcome, DrainRequest, DrainState, DrainSubject, Outcome,
        RequestLookup,
    },
    voter::VoterHandle,
};

/// Lists the VMs and targets that are drained.
#[get("/drains")]
pub async fn list_drains(
    _operator: Operator,
    voter: &State<VoterHandle>,
) -> AdminResult<DrainsView> {
    let drains = voter.read(drain_views).await?;
    Ok(Json(DrainsView { drains }))
}

/// Takes a VM or target out of service or puts it back into service. Models that no longer fit are
/// returned as warnings, not refused, since a failing machine must be drained in any case.
#[post("/drains", data = "<data>")]
pub async fn set_drain(
    _operator: Operator,
    data: Data<'_>,
    voter: &State<VoterHandle>,
) -> AdminResult<AdminAnswer> {
    let request: DrainRequest = read_body(data).await?;
    check_request_id(&request.request_id)?;
    let (DrainSubject::Vm(id) | DrainSubject::Target(id)) = &request.subject;
    let invalid = |reason: String| AdminError::invalid(vec![ConfigIssue::new("subject", reason)]);
    check_identifier(id).map_err(invalid)?;
    // A request that was accepted before the target was removed is not refused when it is sent again.
    let digest = request.digest();
    let is_known = |state: &ControlState| {
        let lookup = state.requests().find(&request.request_id, &digest);
        state.configs().has_target(id) || lookup != RequestLookup::New
    };
    if let (DrainSubject::Target(id), DrainState::Draining) = (&request.subject, request.state)
        && !voter.read(is_known).await?
    {
        return Err(invalid(format!("there is no target '{id}'")));
    }
    let message = match request.state {
        DrainState::Draining => format!("{id} is being drained"),
        DrainState::Active => format!("{id} is in service"),
    };
    match voter.propose(Command::Drain(request)).await? {
        Outcome::Drain(DrainOutcome::Done) => {
            let (revision, warnings) =
                voter.read_local(|state| (state.config().0, capacity_issues(state)));
            let mut answer = AdminAnswer::accepted(revision, message);
            answer.warnings = warnings;
            Ok(Json(answer))
        }
        Outcome::Drain(DrainOutcome::RequestIdReused) => Err(AdminError::request_id_reused()),
        other => {
            let message = format!("the state answered {other:?}");
            Err(AdminError::new(ResultCode::Internal, message))
        }
    }
}

/// Returns all drains.
pub(super) fn drain_views(state: &ControlState) -> Vec<DrainView> {
    let view = |(subject, since_ms): (&DrainSubject, u64)| DrainView {
        subject: subject.clone(),
        since_ms,
    };
    state.drains().iter().map(view).collect()
}

/// Returns the models and adapters that do not fit on the targets without the drained ones.
fn capacity_issues(state: &ControlState) -> Vec<ConfigIssue> {
    let Some(config) = state.config().1 else {
        return Vec::new();
    };
    let mut config: FleetConfig = (*config).clone();
    for target in &mut config.targets {
        target.draining |= state.drains().is_target_draining(target);
    }
    check_capacity(&config)
}
