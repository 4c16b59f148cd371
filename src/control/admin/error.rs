use rocket::{
    Request,
    data::{Data, ToByteUnit},
    http::Status,
    response::{self, Responder},
    serde::json::Json,
};
use serde::de::DeserializeOwned;

use super::MAX_BODY_MIB;
use crate::{
    code::ResultCode,
    error::Error,
    fleet::{ConfigIssue, check_identifier},
    ids::{Revision, VmId},
    operator::AdminAnswer,
};

/// Refusal of a request, sent with the status of its code.
#[derive(Debug)]
pub struct AdminError {
    code: ResultCode,
    answer: Box<AdminAnswer>,
}

/// Result of an administration request.
pub type AdminResult<T> = Result<Json<T>, AdminError>;

impl AdminError {
    /// Refuses a request with a code and a message.
    pub fn new(code: ResultCode, message: impl Into<String>) -> Self {
        let answer = Box::new(AdminAnswer::refused(code, message));
        Self { code, answer }
    }

    /// Refuses an invalid configuration.
    pub fn invalid(issues: Vec<ConfigIssue>) -> Self {
        let message = format!(
            "the configuration has {} errors; nothing was changed",
            issues.len()
        );
        let mut error = Self::new(ResultCode::InvalidConfiguration, message);
        error.answer.issues = issues;
        error
    }

    /// Refuses a change that is based on another revision than the current one.
    pub fn conflict(current: Revision) -> Self {
        let message = format!("revision {current} was accepted first");
        let mut error = Self::new(ResultCode::RevisionConflict, message);
        error.answer.revision = current;
        error
    }

    /// Refuses a change whose request id was used for another change.
    pub fn request_id_reused() -> Self {
        let message = "the request id was used for another change";
        Self::new(ResultCode::RequestIdReused, message)
    }

    /// Reports the VMs on which a revision is not in force.
    pub fn not_in_force(revision: Revision, vms: Vec<VmId>) -> Self {
        let names = vms.join(", ");
        let message = format!("revision {revision} is not in force on {names}");
        let mut error = Self::new(ResultCode::NotInForce, message);
        error.answer.revision = revision;
        error.answer.outdated_vms = vms;
        error
    }
}

impl From<Error> for AdminError {
    fn from(error: Error) -> Self {
        match error {
            Error::NotLeader { leader } => {
                let mut refusal = Self::new(ResultCode::NotLeader, "another control daemon leads");
                refusal.answer.leader = leader;
                refusal
            }
            Error::Unconfirmed { .. } | Error::Stopped { .. } => {
                Self::new(ResultCode::Unconfirmed, error.to_string())
            }
            error => Self::new(ResultCode::Internal, error.to_string()),
        }
    }
}

impl<'r> Responder<'r, 'static> for AdminError {
    fn respond_to(self, request: &'r Request<'_>) -> response::Result<'static> {
        let status = Status::new(self.code.status());
        (status, Json(*self.answer)).respond_to(request)
    }
}

/// Reads the JSON body of a request.
pub(super) async fn read_body<T: DeserializeOwned>(data: Data<'_>) -> Result<T, AdminError> {
    let malformed = |reason: String| AdminError::new(ResultCode::MalformedRequest, reason);
    let body = data.open(MAX_BODY_MIB.mebibytes()).into_bytes().await;
    let body = body.map_err(|error| malformed(error.to_string()))?;
    if !body.is_complete() {
        let message = format!("the body is larger than {MAX_BODY_MIB} MiB");
        return Err(AdminError::new(ResultCode::BodyTooLarge, message));
    }
    let mut deserializer = serde_json::Deserializer::from_slice(&body);
    serde_path_to_error::deserialize(&mut deserializer).map_err(|error| {
        let path = error.path().to_string();
        malformed(format!("{path}: {}", error.into_inner()))
    })
}

/// Checks the syntax of a request id.
pub(super) fn check_request_id(id: &str) -> Result<(), AdminError> {
    check_identifier(id).map_err(|reason| {
        AdminError::new(
            ResultCode::MalformedRequest,
            format!("request_id: {reason}"),
        )
    })
}
