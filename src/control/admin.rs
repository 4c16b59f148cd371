use rocket::{
    State, get,
    http::Status,
    put,
    request::{FromRequest, Outcome as Guard, Request},
    serde::json::Json,
};
use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq;

use crate::{
    border::FleetConfig,
    code::ResultCode,
    ids::Revision,
    state::{ApplyOutcome, ApplyRequest, Command, ControlState, Outcome},
    voter::VoterHandle,
};

/// Bearer token of operators.
pub struct AdminToken(pub String);

/// A request that carried the operators' token.
pub struct Operator;

#[rocket::async_trait]
impl<'r> FromRequest<'r> for Operator {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> Guard<Self, ()> {
        let expected = request.rocket().state::<AdminToken>();
        let sent = request
            .headers()
            .get_one("authorization")
            .and_then(|value| value.strip_prefix("Bearer "));
        match (expected, sent) {
            (Some(token), Some(sent)) if bool::from(token.0.as_bytes().ct_eq(sent.as_bytes())) => {
                Guard::Success(Self)
            }
            _ => Guard::Error((Status::Unauthorized, ())),
        }
    }
}

/// A revision and its configuration.
#[derive(Debug, Serialize, Deserialize)]
pub struct ConfigView {
    /// Number of the revision.
    pub revision: Revision,
    /// The configuration; `null` before the first one.
    pub config: Option<FleetConfig>,
}

/// Answer to an apply request.
#[derive(Debug, Serialize, Deserialize)]
pub struct ApplyAnswer {
    /// Number of the result code; 0 when the configuration was accepted.
    pub code: u16,
    /// Name of the result code.
    pub name: String,
    /// The accepted revision, or the current one after a conflict.
    pub revision: Revision,
}

/// Returns the configuration in force.
#[get("/admin/v1/config")]
pub fn get_config(_operator: Operator, voter: &State<VoterHandle>) -> Json<ConfigView> {
    let (revision, config) = voter.local(ControlState::config);
    Json(ConfigView {
        revision,
        config: config.map(|config| (*config).clone()),
    })
}

/// Replaces the configuration.
#[put("/admin/v1/config", data = "<request>")]
pub async fn apply_config(
    _operator: Operator,
    request: Json<ApplyRequest>,
    voter: &State<VoterHandle>,
) -> (Status, Json<ApplyAnswer>) {
    let refuse = |code: ResultCode, revision: Revision| {
        let name = code.name().to_owned();
        (
            Status::new(code.status()),
            Json(ApplyAnswer {
                code: code.number(),
                name,
                revision,
            }),
        )
    };
    match voter
        .propose(Command::Apply(Box::new(request.into_inner())))
        .await
    {
        Ok(Outcome::Applied(ApplyOutcome::Accepted(revision))) => {
            let name = "accepted".to_owned();
            (
                Status::Ok,
                Json(ApplyAnswer {
                    code: 0,
                    name,
                    revision,
                }),
            )
        }
        Ok(Outcome::Applied(ApplyOutcome::Conflict(current))) => {
            refuse(ResultCode::RevisionConflict, current)
        }
        Ok(Outcome::Applied(ApplyOutcome::RequestIdReused)) => {
            refuse(ResultCode::RequestIdReused, 0)
        }
        Ok(_) => refuse(ResultCode::Internal, 0),
        Err(crate::error::Error::NotLeader { .. }) => refuse(ResultCode::NotLeader, 0),
        Err(_) => refuse(ResultCode::Unconfirmed, 0),
    }
}
