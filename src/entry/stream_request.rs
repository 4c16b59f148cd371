use bytes::Bytes;
use hyper::{
    Method,
    header::{CONTENT_TYPE, HeaderMap, HeaderValue},
};
use serde_json::{json, value::RawValue};

use super::{
    allowance::ReservedTokens,
    outgoing::{Outgoing, OutgoingBody},
    scheduler::ScheduledRequest,
};

/// Path of the call that continues a broken stream; see docs/engine-interface.md.
const RESUME_PATH: &str = "/engine/v1/resume";

/// The request behind a stream, kept so that it can be resumed.
pub struct StreamRequest {
    /// The request as the scheduler sees it.
    pub scheduled: ScheduledRequest,
    /// The request as it was sent.
    pub outgoing: Outgoing,
    /// Estimated tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens reserved for it.
    pub reserved: Option<ReservedTokens>,
}

impl StreamRequest {
    /// Builds the call that continues the response at token number `offset`, counted from 0.
    pub fn to_resume(&self, offset: u64) -> Option<Outgoing> {
        let OutgoingBody::Whole(body) = &self.outgoing.body else {
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
        Some(Outgoing {
            method: Method::POST,
            path_and_query: RESUME_PATH.to_owned(),
            headers,
            body: OutgoingBody::Whole(Bytes::from(body.to_string())),
            fingerprint: self.outgoing.fingerprint,
        })
    }
}
