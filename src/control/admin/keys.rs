use rocket::{State, data::Data, post, serde::json::Json};

use super::{
    AdminError, Operator,
    config::propose,
    error::{AdminResult, check_request_id, read_body},
};
use crate::{
    border::FleetConfig,
    fleet::{ConfigIssue, check_config},
    ids::RequestId,
    operator::{AdminAnswer, KeyAddBody, KeyRevokeBody},
    state::{ApplyOutcome, ApplyRequest, ChangeDigest, Outcome, RequestLookup, change_digest},
    voter::VoterHandle,
};

/// Maximum attempts to apply a change beside those of other operators. An attempt fails only if
/// another change was accepted.
const MAX_ATTEMPTS: usize = 16;

/// Adds a key to the current configuration.
#[post("/keys", data = "<data>")]
pub async fn add_key(
    _operator: Operator,
    data: Data<'_>,
    voter: &State<VoterHandle>,
) -> AdminResult<AdminAnswer> {
    let KeyAddBody { request_id, key } = read_body(data).await?;
    let digest = change_digest(&("add key", &key));
    apply_change(voter, request_id, digest, |mut config| {
        config.keys.push(key.clone());
        match check_config(&config) {
            issues if issues.is_empty() => Ok(config),
            issues => Err(issues),
        }
    })
    .await
}

/// Removes a key from the current configuration.
#[post("/keys/revoke", data = "<data>")]
pub async fn revoke_key(
    _operator: Operator,
    data: Data<'_>,
    voter: &State<VoterHandle>,
) -> AdminResult<AdminAnswer> {
    let KeyRevokeBody { request_id, id } = read_body(data).await?;
    let digest = change_digest(&("revoke key", &id));
    // Removing a key makes no configuration invalid, and must not fail because of its other parts.
    apply_change(voter, request_id, digest, |mut config| {
        let before = config.keys.len();
        config.keys.retain(|key| key.id != id);
        if config.keys.len() == before {
            return Err(vec![ConfigIssue::new(
                "keys",
                format!("there is no key '{id}'"),
            )]);
        }
        Ok(config)
    })
    .await
}

/// Derives a configuration from the current one and applies it, repeatedly if other changes are
/// accepted in between.
async fn apply_change(
    voter: &VoterHandle,
    request_id: RequestId,
    digest: ChangeDigest,
    to_config: impl Fn(FleetConfig) -> Result<FleetConfig, Vec<ConfigIssue>> + Send,
) -> AdminResult<AdminAnswer> {
    check_request_id(&request_id)?;
    let accepted = |revision| {
        let message = format!("revision {revision} is accepted");
        Ok(Json(AdminAnswer::accepted(revision, message)))
    };
    let mut current_revision = 0;
    for _ in 0..MAX_ATTEMPTS {
        let (known, (revision, config)) = voter
            .read(|state| (state.requests().find(&request_id, &digest), state.config()))
            .await?;
        match known {
            RequestLookup::New => {}
            RequestLookup::Repeated(Outcome::Applied(ApplyOutcome::Accepted(revision))) => {
                return accepted(revision);
            }
            RequestLookup::Repeated(_) | RequestLookup::Reused => {
                return Err(AdminError::request_id_reused());
            }
        }
        let Some(config) = config else {
            let issue = ConfigIssue::new("keys", "there is no configuration yet");
            return Err(AdminError::invalid(vec![issue]));
        };
        let config = to_config((*config).clone()).map_err(AdminError::invalid)?;
        let mut request = ApplyRequest::new(request_id.clone(), revision, config);
        request.change = Some(digest);
        match propose(voter, request).await? {
            ApplyOutcome::Accepted(revision) => return accepted(revision),
            ApplyOutcome::Conflict(current) => current_revision = current,
            ApplyOutcome::RequestIdReused => return Err(AdminError::request_id_reused()),
        }
    }
    Err(AdminError::conflict(current_revision))
}
