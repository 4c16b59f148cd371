use std::sync::Arc;

use rocket::{State, get, serde::json::Json};

use super::{AdminError, Operator, error::AdminResult};
use crate::{
    border::FleetConfig,
    code::ResultCode,
    fleet::changes_between,
    ids::Revision,
    operator::{ConfigView, DiffView, HistoryView},
    state::ConfigHistory,
    voter::VoterHandle,
};

/// Lists the kept revisions, latest first.
#[get("/history")]
pub async fn list_revisions(
    _operator: Operator,
    voter: &State<VoterHandle>,
) -> AdminResult<HistoryView> {
    let notes = |history: &ConfigHistory| history.revisions().rev().cloned().collect();
    let revisions = voter.read(|state| notes(state.configs())).await?;
    Ok(Json(HistoryView { revisions }))
}

/// Returns the configuration of a kept revision.
#[get("/history/<revision>")]
pub async fn get_revision(
    _operator: Operator,
    revision: Revision,
    voter: &State<VoterHandle>,
) -> AdminResult<ConfigView> {
    let config = find_config(voter, revision).await?;
    let config = Some((*config).clone());
    Ok(Json(ConfigView { revision, config }))
}

/// Returns the differences between two kept revisions.
#[get("/diff?<from>&<to>")]
pub async fn get_diff(
    _operator: Operator,
    from: Revision,
    to: Revision,
    voter: &State<VoterHandle>,
) -> AdminResult<DiffView> {
    // Revision 0 is the empty configuration of a new fleet.
    let old = match from {
        0 => None,
        from => Some(find_config(voter, from).await?),
    };
    let new = find_config(voter, to).await?;
    let changes = changes_between(old.as_deref(), &new);
    Ok(Json(DiffView { from, to, changes }))
}

async fn find_config(
    voter: &VoterHandle,
    revision: Revision,
) -> Result<Arc<FleetConfig>, AdminError> {
    let found = voter.read(|state| state.configs().at(revision)).await?;
    found.ok_or_else(|| {
        let message = format!("revision {revision} is not kept or was never accepted");
        AdminError::new(ResultCode::UnknownRevision, message)
    })
}
