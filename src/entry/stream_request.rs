use bytes::Bytes;
use hyper::{
    Method,
    header::{CONTENT_TYPE, HeaderMap, HeaderValue},
};
use serde_json::{json, value::RawValue};

use super::{
    allowance::ReservedTokens,
    outgoing_request::{OutgoingBody, OutgoingRequest},
    scheduled_request::ScheduledRequest,
};

/// Path of the engine API that resumes a broken stream; see docs/engine-interface.md.
const RESUME_PATH: &str = "/engine/v1/resume";

/// The request that produced a stream, kept to resume it.
pub struct StreamRequest {
    /// The request as passed to the scheduler.
    pub scheduled: ScheduledRequest,
    /// The request as sent to the first target.
    pub outgoing: OutgoingRequest,
    /// Estimated tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens reserved for the request.
    pub reserved: Option<ReservedTokens>,
}

impl StreamRequest {
    /// Builds the request that resumes the response at token `offset`, counted from 0. Returns
    /// `None` if the body was not buffered.
    pub fn resume_request(&self, offset: u64) -> Option<OutgoingRequest> {
        let OutgoingBody::Buffered(body) = &self.outgoing.body else {
            return None;
        };
        let request: &RawValue = serde_json::from_slice(body).ok()?;
        let body = json!({
            "path": self.outgoing.path_and_query,
            "offset": offset,
            "request": request,
        });
        let mut headers: HeaderMap = self.outgoing.headers.clone();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        Some(OutgoingRequest {
            method: Method::POST,
            path_and_query: RESUME_PATH.to_owned(),
            headers,
            body: OutgoingBody::Buffered(Bytes::from(body.to_string())),
            subject: self.outgoing.subject.clone(),
        })
    }
}
