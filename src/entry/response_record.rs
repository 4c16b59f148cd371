//! Conversion between responses of claimed requests and their records in the log.

use bytes::Bytes;
use compact_str::{CompactString, ToCompactString};
use hyper::{
    Response, StatusCode,
    header::{HeaderMap, HeaderName, HeaderValue},
};
use serde_bytes::ByteBuf;

use super::{
    body::{self, CallerBody},
    caller_error::CallerError,
    context::RequestContext,
    service::response,
};
use crate::{code::ResultCode, state::RecordedResponse};

/// Header that marks a response as replayed from its record.
const REPLAYED_HEADER: &str = "idempotent-replayed";

/// Builds the record of a response; `body` is `None` when it is too large.
pub fn record(status: StatusCode, headers: &HeaderMap, body: Option<&Bytes>) -> RecordedResponse {
    let mut size = 0;
    let headers = headers
        .iter()
        .filter(|(name, _)| name.as_str() != "x-request-id")
        .filter_map(|(name, value)| {
            let value = value.to_str().ok()?;
            Some((name.as_str().to_compact_string(), value.to_owned()))
        })
        .take_while(|(name, value): &(CompactString, String)| {
            size += name.len() + value.len();
            size <= RecordedResponse::MAX_HEADER_BYTES
        })
        .collect();
    RecordedResponse {
        status: status.as_u16(),
        headers,
        body: body.map(|bytes| ByteBuf::from(bytes.to_vec())),
    }
}

/// Builds a response from a record.
///
/// # Errors
/// [`ResultCode::OutcomeUnknown`] when the body was too large to record.
pub fn replay(
    recorded: RecordedResponse,
    context: &RequestContext,
) -> Result<Response<CallerBody>, CallerError> {
    let Some(body) = recorded.body else {
        let message = format!(
            "the request ran with status {}, but its response was too large to keep",
            recorded.status
        );
        return Err(CallerError::may_have_run(
            ResultCode::OutcomeUnknown,
            message,
            &context.id,
        ));
    };
    let mut headers: HeaderMap = recorded
        .headers
        .iter()
        .filter_map(|(name, value)| {
            let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
            Some((name, HeaderValue::from_str(value).ok()?))
        })
        .collect();
    headers.insert(REPLAYED_HEADER, HeaderValue::from_static("true"));
    if let Ok(id) = HeaderValue::from_str(&context.id) {
        headers.insert("x-request-id", id);
    }
    let status = StatusCode::from_u16(recorded.status).unwrap_or(StatusCode::OK);
    Ok(response(status, headers, body::full(body.into_vec())))
}
