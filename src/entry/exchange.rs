use std::{sync::atomic::Ordering, time::Duration};

use tokio::time::{Instant, timeout_at};

use super::{
    caller_error::CallerError, context::RequestContext, crash_registry::SuspectPermit,
    outgoing_request::OutgoingRequest, stream_guard::StreamGuard, target_slot::TargetSlot,
};
use crate::{
    answer::{AnswerFraming, EndCheck, is_final_status},
    code::ResultCode,
};

/// Response header of a target that refused a request before it started.
pub const NOT_STARTED_HEADER: &str = "x-not-started";
/// Response header with the number of prompt tokens found in an engine's cache.
const CACHED_TOKENS_HEADER: &str = "x-cached-tokens";
/// Header with the request id.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// The head of a target's response, with the slot that is occupied until the body ends.
pub struct TargetReply {
    /// Response with an unread body.
    pub response: reqwest::Response,
    /// Slot at the target.
    pub slot: TargetSlot,
    /// Permit of a request that has crashed a target before.
    pub permit: Option<SuspectPermit>,
}

impl TargetReply {
    /// Returns the check of the end of the body.
    pub fn end_check(&self) -> EndCheck {
        let headers = self.response.headers();
        let framing = AnswerFraming::new(headers, self.response.content_length());
        EndCheck::new(framing, headers)
    }
}

/// Sends a request to one target and checks the head of the response.
///
/// # Errors
/// An error whose run state says whether any byte of the request may have reached the target.
pub async fn exchange(
    mut slot: TargetSlot,
    permit: Option<SuspectPermit>,
    outgoing: &mut OutgoingRequest,
    context: &RequestContext,
    guard: &mut StreamGuard,
) -> Result<TargetReply, CallerError> {
    let id = &context.id;
    let (request, over_limit) = outgoing
        .build_request(&slot.target, context)
        .map_err(|message| CallerError::not_run(ResultCode::MalformedRequest, message, id))?;
    let target = slot.target.id.clone();
    let execution = timeout_at(
        Instant::from_std(context.deadline),
        slot.client.execute(request),
    );
    let result = tokio::select! {
        result = execution => result,
        reason = guard.invalidated() => {
            return Err(CallerError::may_have_run(ResultCode::KeyRevoked, reason, id));
        }
    };
    let response = match result {
        Err(_elapsed) => {
            slot.report_failure();
            let message =
                format!("target {target} did not respond in time; the outcome is unknown");
            return Err(CallerError::may_have_run(
                ResultCode::TargetTimeout,
                message,
                id,
            ));
        }
        Ok(Err(_)) if over_limit.load(Ordering::Relaxed) => {
            let message = format!(
                "the body is larger than {} bytes; a part of it was sent to the target",
                context.route.max_body_bytes
            );
            return Err(CallerError::may_have_run(
                ResultCode::BodyTooLarge,
                message,
                id,
            ));
        }
        Ok(Err(error)) => {
            if error.is_connect() {
                slot.report_unreachable();
            } else {
                slot.report_failure();
            }
            return Err(connection_error(error, &target, context));
        }
        Ok(Ok(response)) => response,
    };
    let header = |name: &str| {
        let value = response.headers().get(name)?;
        value.to_str().ok()
    };
    match header(REQUEST_ID_HEADER) {
        Some(echoed) if echoed != id => {
            slot.discard_connections();
            let message =
                format!("target {target} answered another request; the outcome is unknown");
            return Err(CallerError::may_have_run(
                ResultCode::AnswerMismatch,
                message,
                id,
            ));
        }
        _ => {}
    }
    if response.status().as_u16() == 503 && header(NOT_STARTED_HEADER) == Some("true") {
        let message = format!("target {target} did not start the request");
        return Err(CallerError::not_run(ResultCode::TargetRefused, message, id));
    }
    if !is_final_status(response.status()) {
        let status = response.status();
        let message =
            format!("target {target} answered with status {status}, which is no final answer");
        return Err(CallerError::may_have_run(
            ResultCode::AnswerMismatch,
            message,
            id,
        ));
    }
    let cached_tokens = header(CACHED_TOKENS_HEADER).and_then(|value| value.parse().ok());
    slot.report_response(cached_tokens);
    Ok(TargetReply {
        response,
        slot,
        permit,
    })
}

fn connection_error(error: reqwest::Error, target: &str, context: &RequestContext) -> CallerError {
    let not_sent = error.is_connect() || error.is_builder();
    // The URL may contain private query parameters.
    let error = error.without_url();
    if not_sent {
        let message = format!("target {target} cannot be reached: {error}");
        return CallerError::not_run(ResultCode::TargetUnreachable, message, &context.id);
    }
    let message =
        format!("the connection to target {target} broke; the outcome is unknown: {error}");
    CallerError::may_have_run(ResultCode::TargetUnreachable, message, &context.id)
}

/// Returns the exponential delay before retry `attempt`, counted from 1, with jitter that spreads
/// the retries of many requests.
pub fn backoff(attempt: u32) -> Duration {
    let max_ms = 10_u64 << attempt.min(6);
    Duration::from_millis(rand::random_range(max_ms / 2..=max_ms))
}
