//! Claims of requests that run at most once; see docs/design.md, section 11.

use std::{
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use hyper::{Method, header::HeaderMap};
use spdlog::prelude::*;
use uuid::Uuid;

use super::{caller_error::CallerError, context::RequestContext, control_client::ControlClient};
use crate::{
    border::RouteIdempotency,
    code::ResultCode,
    ids::{BodyHash, IdempotencyKey},
    state::{ClaimKey, ClaimOutcome, ClaimRequest, ClaimTicket, Outcome, RecordedResponse},
    sync::ClaimMessage,
};

/// Header that identifies a request across resends.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Retention of a claim and its outcome.
const RETENTION: Duration = Duration::from_secs(24 * 60 * 60);
/// Timeout of a claim's commit, within the request's deadline.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for which sending the outcome of a claim is retried when no leader replies. A claim whose
/// outcome is not committed stays in progress until this entry process is gone.
const OUTCOME_RETRY_LIMIT: Duration = Duration::from_secs(30);
/// Maximum wait for the commit of the outcome before the caller receives its response anyway.
const OUTCOME_COMMIT_WAIT: Duration = Duration::from_secs(2);

/// A granted claim, which must be completed, released or abandoned.
pub struct OpenClaim {
    control: Arc<ControlClient>,
    ticket: ClaimTicket,
}

/// Result of a successful claim.
pub enum ClaimResult {
    /// The request may be sent.
    Granted(OpenClaim),
    /// The request has run before with this response.
    Recorded(RecordedResponse),
}

/// Returns whether a request must be claimed before it is sent.
pub fn needs_claim(context: &RequestContext, method: &Method) -> bool {
    context.route.idempotency == RouteIdempotency::Claimed && !method.is_safe()
}

/// Parses and validates the caller's idempotency key.
///
/// # Errors
/// An error for a missing, invalid or expired key.
pub fn idempotency_key(
    headers: &HeaderMap,
    context: &RequestContext,
) -> Result<IdempotencyKey, CallerError> {
    let mut values = headers.get_all(IDEMPOTENCY_KEY_HEADER).iter();
    let (first, second) = (values.next(), values.next());
    let Some(first) = first else {
        let message = "this route needs an Idempotency-Key header";
        return Err(CallerError::not_run(
            ResultCode::IdempotencyKeyMissing,
            message,
            &context.id,
        ));
    };
    let parsed = first
        .to_str()
        .ok()
        .and_then(|text| Uuid::parse_str(text.trim().trim_matches('"')).ok())
        .filter(|key| key.get_version_num() == 7 && second.is_none());
    let Some(key) = parsed else {
        return Err(invalid_key(context));
    };
    let (seconds, nanos) = key.get_timestamp().map_or((0, 0), |stamp| stamp.to_unix());
    let created_at = UNIX_EPOCH + Duration::new(seconds, nanos);
    match SystemTime::now().duration_since(created_at) {
        Ok(age) if age > RETENTION => Err(expired_key(context)),
        _ => Ok(key),
    }
}

/// Commits a claim.
///
/// # Errors
/// An error for a resend that cannot be answered, or for a request that could not be claimed.
pub async fn claim(
    control: &Arc<ControlClient>,
    context: &RequestContext,
    key: IdempotencyKey,
    body_hash: BodyHash,
) -> Result<ClaimResult, CallerError> {
    let id = &context.id;
    let ticket = ClaimTicket {
        key: ClaimKey {
            key,
            team: context.team().cloned().unwrap_or_default(),
            route: context.route.id.clone(),
        },
        claimant: control.key().clone(),
        attempt: control.next_attempt(),
    };
    let message = ClaimMessage::Claim(ClaimRequest {
        ticket: ticket.clone(),
        body_hash,
    });
    let remaining = context
        .deadline
        .saturating_duration_since(std::time::Instant::now());
    let claim = OpenClaim {
        control: Arc::clone(control),
        ticket,
    };
    let outcome = match control
        .send_claim(&message, CLAIM_TIMEOUT.min(remaining))
        .await
    {
        Ok(Outcome::Claim(outcome)) => outcome,
        Ok(_) => {
            let message = "the control daemon cannot claim idempotency keys";
            return Err(CallerError::not_run(
                ResultCode::ClaimUnavailable,
                message,
                id,
            ));
        }
        Err(error) => {
            warn!("entry: no leader confirmed the claim of {id}, request not sent: {error}");
            // The claim may still be committed although the request is not sent, so free the key.
            claim.release();
            let message = "the claim could not be recorded, so the request was not sent";
            return Err(CallerError::not_run(
                ResultCode::ClaimUnavailable,
                message,
                id,
            ));
        }
    };
    match outcome {
        ClaimOutcome::Granted => Ok(ClaimResult::Granted(claim)),
        ClaimOutcome::Recorded(response) => Ok(ClaimResult::Recorded(response)),
        ClaimOutcome::InProgress => {
            let message = "the first request with this key still runs";
            Err(CallerError::may_have_run(
                ResultCode::InProgress,
                message,
                id,
            ))
        }
        ClaimOutcome::Unknown => {
            let message = "whether the first request with this key ran is not known";
            Err(CallerError::may_have_run(
                ResultCode::OutcomeUnknown,
                message,
                id,
            ))
        }
        ClaimOutcome::Reused => {
            let message = "the idempotency key was used for another request";
            Err(CallerError::not_run(
                ResultCode::IdempotencyKeyReused,
                message,
                id,
            ))
        }
        ClaimOutcome::Expired => Err(expired_key(context)),
        ClaimOutcome::Invalid => Err(invalid_key(context)),
        ClaimOutcome::TableFull => {
            let message = "the table of claims is full, so the request was not sent";
            Err(CallerError::not_run(
                ResultCode::ClaimUnavailable,
                message,
                id,
            ))
        }
    }
}

fn invalid_key(context: &RequestContext) -> CallerError {
    let message = "the Idempotency-Key is not one UUID version 7 of the present";
    CallerError::not_run(ResultCode::IdempotencyKeyInvalid, message, &context.id)
}

/// An earlier request with the key may have run, so the error does not claim "not run".
fn expired_key(context: &RequestContext) -> CallerError {
    let message = "the idempotency key is older than 24 h; an earlier request may have run";
    CallerError::may_have_run(ResultCode::IdempotencyKeyExpired, message, &context.id)
}

impl OpenClaim {
    /// Commits the response and waits for the commit up to [`OUTCOME_COMMIT_WAIT`], so that an
    /// immediate resend finds it.
    pub async fn complete(self, response: RecordedResponse) {
        let message = ClaimMessage::Complete(self.ticket.clone(), response);
        let commit = self.send(message);
        if tokio::time::timeout(OUTCOME_COMMIT_WAIT, commit)
            .await
            .is_err()
        {
            warn!(
                "entry: the outcome of a claim is not committed within 2 s; responding to the caller"
            );
        }
    }

    /// Frees the key, since no byte of the request was sent.
    pub fn release(self) {
        let message = ClaimMessage::Release(self.ticket.clone());
        drop(self.send(message));
    }

    /// Commits that the outcome is unknown.
    pub async fn abandon(self) {
        let message = ClaimMessage::Abandon(self.ticket.clone());
        let _ = tokio::time::timeout(OUTCOME_COMMIT_WAIT, self.send(message)).await;
    }

    /// Sends the outcome in a background task, so that it is committed even if the caller leaves.
    fn send(self, message: ClaimMessage) -> tokio::task::JoinHandle<()> {
        tokio::spawn(async move {
            let result = self.control.send_claim(&message, OUTCOME_RETRY_LIMIT).await;
            if let Err(error) = result {
                error!(
                    "entry: no leader committed the outcome of a claim within 30 s; the key stays in progress: {error}"
                );
            }
        })
    }
}
