//! Requests that run at most once; see docs/design.md, section 11.

use std::{
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use hyper::{Method, header::HeaderMap};
use spdlog::prelude::*;
use uuid::Uuid;

use super::{context::RequestContext, control_client::ControlClient, refusal::CallerError};
use crate::{
    border::RouteIdempotency,
    code::ResultCode,
    ids::{BodyHash, IdempotencyKey},
    state::{ClaimKey, ClaimOutcome, ClaimRequest, ClaimTicket, Outcome, RecordedResponse},
    sync::ClaimMessage,
};

/// Header that names a request across resends.
const KEY_HEADER: &str = "idempotency-key";
/// Time for which a claim and its outcome are kept.
const RETENTION: Duration = Duration::from_secs(24 * 60 * 60);
/// Time that the commit of a claim may take, within the request's deadline.
const CLAIM_LIMIT: Duration = Duration::from_secs(5);
/// Time for which the outcome of a claim is sent again when no leader replies. A claim whose
/// outcome is not committed stays in progress until this entry process is gone.
const OUTCOME_LIMIT: Duration = Duration::from_secs(30);
/// Time that a caller waits for the commit of the outcome before it gets its response anyway.
const OUTCOME_WAIT: Duration = Duration::from_secs(2);

/// A granted claim, which must end in one of its three ways.
pub struct OpenClaim {
    control: Arc<ControlClient>,
    ticket: ClaimTicket,
}

/// What a claim led to.
pub enum ClaimResult {
    /// The request may be sent.
    Open(OpenClaim),
    /// The request ran before; this was its response.
    Recorded(RecordedResponse),
}

/// Tells whether a request must be claimed before it is sent.
pub fn needs_claim(context: &RequestContext, method: &Method) -> bool {
    context.route.idempotency == RouteIdempotency::Claimed && !method.is_safe()
}

/// Reads and checks the caller's idempotency key.
///
/// # Errors
/// The refusal of a missing, invalid or expired key.
pub fn idempotency_key(
    headers: &HeaderMap,
    context: &RequestContext,
) -> Result<IdempotencyKey, CallerError> {
    let mut values = headers.get_all(KEY_HEADER).iter();
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
    let made = UNIX_EPOCH + Duration::new(seconds, nanos);
    match SystemTime::now().duration_since(made) {
        Ok(age) if age > RETENTION => Err(expired_key(context)),
        _ => Ok(key),
    }
}

/// Commits a claim.
///
/// # Errors
/// The refusal of a resend, or of a request that could not be claimed.
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
    let open = OpenClaim {
        control: Arc::clone(control),
        ticket,
    };
    let outcome = match control
        .send_claim(&message, CLAIM_LIMIT.min(remaining))
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
            warn!("entry: claim of {id} is not confirmed: {error}");
            // The claim may be committed all the same, and nothing was sent.
            open.release();
            let message = "the claim could not be recorded, so the request was not sent";
            return Err(CallerError::not_run(
                ResultCode::ClaimUnavailable,
                message,
                id,
            ));
        }
    };
    match outcome {
        ClaimOutcome::Granted => Ok(ClaimResult::Open(open)),
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

/// An earlier request with the key may have run, so this does not say "not run".
fn expired_key(context: &RequestContext) -> CallerError {
    let message = "the idempotency key is older than 24 h; an earlier request may have run";
    CallerError::may_have_run(ResultCode::IdempotencyKeyExpired, message, &context.id)
}

impl OpenClaim {
    /// Commits the response and waits a moment for the commit, so that a resend right after the
    /// response finds it.
    pub async fn complete(self, response: RecordedResponse) {
        let message = ClaimMessage::Complete(self.ticket.clone(), response);
        let sending = self.send(message);
        if tokio::time::timeout(OUTCOME_WAIT, sending).await.is_err() {
            warn!("entry: the outcome of a claim is not committed yet");
        }
    }

    /// Frees the key, since no byte was sent.
    pub fn release(self) {
        let message = ClaimMessage::Release(self.ticket.clone());
        drop(self.send(message));
    }

    /// Commits that the outcome is unknown.
    pub async fn abandon(self) {
        let message = ClaimMessage::Abandon(self.ticket.clone());
        let _ = tokio::time::timeout(OUTCOME_WAIT, self.send(message)).await;
    }

    /// Sends the outcome in the background, so that it is committed also when nobody waits.
    fn send(self, message: ClaimMessage) -> tokio::task::JoinHandle<()> {
        tokio::spawn(async move {
            let sent = self.control.send_claim(&message, OUTCOME_LIMIT).await;
            if let Err(error) = sent {
                error!("entry: the outcome of a claim is lost: {error}");
            }
        })
    }
}
