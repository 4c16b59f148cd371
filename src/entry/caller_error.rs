use hyper::{
    Response,
    header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER},
};
use serde::Serialize;

use super::body::{self, CallerBody};
use crate::{code::ResultCode, ids::RequestId};

/// Whether a request that was refused or failed may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunState {
    /// No byte of the request can have reached a target, or the target reported that it did not
    /// start.
    NotRun,
    /// The request may have run.
    MayHaveRun,
}

/// An error response to a caller; see docs/result-codes.md.
#[derive(Clone, Debug)]
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
        Self::new(code, message, request_id, RunState::NotRun)
    }

    /// Builds an error for a request that may have run.
    pub fn may_have_run(
        code: ResultCode,
        message: impl Into<String>,
        request_id: &RequestId,
    ) -> Self {
        Self::new(code, message, request_id, RunState::MayHaveRun)
    }

    fn new(
        code: ResultCode,
        message: impl Into<String>,
        request_id: &RequestId,
        run_state: RunState,
    ) -> Self {
        Self {
            code,
            message: message.into(),
            run_state,
            request_id: request_id.clone(),
        }
    }

    /// Returns the error with the combined run state of all attempts.
    #[must_use]
    pub fn with_run_state(self, run_state: RunState) -> Self {
        Self { run_state, ..self }
    }

    /// Returns the result code.
    #[must_use]
    pub fn code(&self) -> ResultCode {
        self.code
    }

    /// Returns whether the request may have run.
    #[must_use]
    pub fn run_state(&self) -> RunState {
        self.run_state
    }

    /// Returns the request id.
    #[must_use]
    pub fn request_id(&self) -> &RequestId {
        &self.request_id
    }

    /// Returns the human-readable message.
    #[must_use]
    pub fn message(&self) -> &str {
        &self.message
    }

    fn to_json(&self) -> String {
        let body = ErrorBody {
            code: self.code.number(),
            name: self.code.name(),
            message: &self.message,
            not_run: self.run_state == RunState::NotRun,
            request_id: &self.request_id,
        };
        serde_json::to_string(&body).unwrap_or_default()
    }

    /// Encodes the error as the last event of a stream that has begun.
    pub(super) fn to_event(&self) -> String {
        format!("event: error\ndata: {}\n\n", self.to_json())
    }

    /// Builds an HTTP response from the error.
    pub(super) fn to_response(&self) -> Response<CallerBody> {
        let mut response = Response::new(body::full(self.to_json()));
        *response.status_mut() = hyper::StatusCode::from_u16(self.code.status())
            .unwrap_or(hyper::StatusCode::INTERNAL_SERVER_ERROR);
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Ok(id) = HeaderValue::from_str(&self.request_id) {
            headers.insert("x-request-id", id);
        }
        if let Some(seconds) = retry_after(self.code) {
            headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }
}

/// Returns the seconds for `Retry-After`; `None` for errors that a later retry does not resolve.
fn retry_after(code: ResultCode) -> Option<u16> {
    match code {
        ResultCode::RateLimited
        | ResultCode::QueueFull
        | ResultCode::DeadlineExceeded
        | ResultCode::StaleConfiguration
        | ResultCode::ShuttingDown
        | ResultCode::InProgress
        | ResultCode::SuspectBusy
        | ResultCode::ClaimUnavailable
        | ResultCode::NoTarget
        | ResultCode::TargetRefused => Some(1),
        _ => None,
    }
}
