use std::{sync::atomic::Ordering, time::Duration};

use tokio::time::{Instant, timeout_at};

use super::{
    context::RequestContext, crash::SuspectTurn, guard::StreamGuard, outgoing::Outgoing,
    refusal::CallerError, slot::TargetSlot,
};
use crate::code::ResultCode;

/// Header with which a target says that it refused a request before it started.
pub const NOT_STARTED_HEADER: &str = "x-not-started";
/// Header with which an engine tells how many prompt tokens were in its cache.
const CACHED_TOKENS_HEADER: &str = "x-cached-tokens";
/// Header that names the request.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// The head of a target's response, with the slot that its body occupies.
pub struct TargetAnswer {
    /// Response whose body has not been read.
    pub response: reqwest::Response,
    /// Slot at the target.
    pub slot: TargetSlot,
    /// Turn of a request that took a target down before.
    pub turn: Option<SuspectTurn>,
}

/// Sends a request to one target and checks the head of the response.
///
/// # Errors
/// An error whose run state tells whether a byte of the request can have reached the target.
pub async fn exchange(
    mut slot: TargetSlot,
    turn: Option<SuspectTurn>,
    outgoing: &mut Outgoing,
    context: &RequestContext,
    guard: &mut StreamGuard,
) -> Result<TargetAnswer, CallerError> {
    let id = &context.id;
    let (call, exceeded) = outgoing
        .prepare_call(&slot.target, context)
        .map_err(|message| CallerError::not_run(ResultCode::MalformedRequest, message, id))?;
    let target = slot.target.id.clone();
    let sent = timeout_at(
        Instant::from_std(context.deadline),
        slot.client.execute(call),
    );
    let result = tokio::select! {
        result = sent => result,
        reason = guard.lapse() => {
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
        Ok(Err(_)) if exceeded.load(Ordering::Relaxed) => {
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
            slot.abandon_connections();
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
    if response.status().is_informational() {
        let message = format!("target {target} switched protocols, which is not supported");
        return Err(CallerError::may_have_run(
            ResultCode::AnswerMismatch,
            message,
            id,
        ));
    }
    let cached_tokens = header(CACHED_TOKENS_HEADER).and_then(|value| value.parse().ok());
    slot.report_answer(cached_tokens);
    Ok(TargetAnswer {
        response,
        slot,
        turn,
    })
}

fn connection_error(error: reqwest::Error, target: &str, context: &RequestContext) -> CallerError {
    let not_sent = error.is_connect() || error.is_builder();
    // The URL may carry parameters that callers consider private.
    let error = error.without_url();
    if not_sent {
        let message = format!("target {target} cannot be reached: {error}");
        return CallerError::not_run(ResultCode::TargetUnreachable, message, &context.id);
    }
    let message =
        format!("the connection to target {target} broke; the outcome is unknown: {error}");
    CallerError::may_have_run(ResultCode::TargetUnreachable, message, &context.id)
}

/// Wait before attempt number `attempt`, counted from 1, with jitter so that retries of many
/// requests spread out.
pub fn backoff(attempt: u32) -> Duration {
    let most = 10_u64 << attempt.min(6);
    Duration::from_millis(rand::random_range(most / 2..=most))
}
