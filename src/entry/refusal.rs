use rocket::{
    Response,
    http::{ContentType, Status},
    response::{self, Responder},
};
use serde::Serialize;

use crate::{code::ResultCode, ids::RequestId};

/// Whether a request that was refused or failed can have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunState {
    /// No byte of the request can have reached a target, or the target said that it did not start.
    NotRun,
    /// The request may have run.
    MayHaveRun,
}

/// An error answer to a caller; see docs/result-codes.md.
#[derive(Debug)]
pub struct CallerError {
    code: ResultCode,
    message: String,
    run_state: RunState,
    request_id: RequestId,
}

#[derive(Serialize)]
struct ErrorBody<'e> {
    code: u16,
    name: &'static str,
    message: &'e str,
    not_run: bool,
    request_id: &'e RequestId,
}

impl CallerError {
    /// Builds an error for a request that certainly did not run.
    pub fn not_run(code: ResultCode, message: impl Into<String>, request_id: &RequestId) -> Self {
        let request_id = request_id.clone();
        Self {
            code,
            message: message.into(),
            run_state: RunState::NotRun,
            request_id,
        }
    }

    /// Builds an error for a request that may have run.
    pub fn may_have_run(
        code: ResultCode,
        message: impl Into<String>,
        request_id: &RequestId,
    ) -> Self {
        let request_id = request_id.clone();
        Self {
            code,
            message: message.into(),
            run_state: RunState::MayHaveRun,
            request_id,
        }
    }
}

impl<'r> Responder<'r, 'static> for CallerError {
    fn respond_to(self, _request: &'r rocket::Request<'_>) -> response::Result<'static> {
        let body = ErrorBody {
            code: self.code.number(),
            name: self.code.name(),
            message: &self.message,
            not_run: self.run_state == RunState::NotRun,
            request_id: &self.request_id,
        };
        let text = serde_json::to_string(&body).map_err(|_| Status::InternalServerError)?;
        Response::build()
            .status(Status::new(self.code.status()))
            .header(ContentType::JSON)
            .raw_header("x-request-id", self.request_id.to_string())
            .sized_body(text.len(), std::io::Cursor::new(text))
            .ok()
    }
}
