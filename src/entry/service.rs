//! Plain services, addressed by route prefix.

use std::sync::Arc;

use bytes::BytesMut;
use futures::{StreamExt, TryStreamExt};
use hyper::{
    Method, Response, StatusCode, body::Incoming, header::HeaderMap, http::request::Parts,
};

use super::{
    admission::settle_failure,
    body::{self, CallerBody},
    claim::{self, ClaimResult, OpenClaim},
    context::RequestContext,
    exchange::TargetAnswer,
    model::response_headers,
    outgoing::{Outgoing, OutgoingBody, collect},
    plain_stream::plain_stream,
    proxy::CallerProxy,
    recorded::{record, replay},
    refusal::{CallerError, RunState},
    scheduled::ScheduledRequest,
};
use crate::{code::ResultCode, ids::BodyHash, route::PoolId, state::RecordedResponse};

impl CallerProxy {
    /// Serves a request to a plain service.
    pub async fn serve_service(
        self: &Arc<Self>,
        context: Arc<RequestContext>,
        parts: Parts,
        incoming: Incoming,
    ) -> Result<Response<CallerBody>, CallerError> {
        let refuse = |(code, message): (ResultCode, String)| {
            CallerError::not_run(code, message, &context.id)
        };
        let limit = context.route.max_body_bytes;
        let is_claimed = claim::needs_claim(&context, &parts.method);
        let key = if is_claimed {
            Some(claim::idempotency_key(&parts.headers, &context)?)
        } else {
            None
        };
        let body = if is_claimed {
            // The whole body is hashed before the request may leave.
            OutgoingBody::Whole(
                collect(incoming, limit, context.deadline)
                    .await
                    .map_err(refuse)?,
            )
        } else {
            OutgoingBody::receive(incoming, limit, context.deadline)
                .await
                .map_err(refuse)?
        };
        let path_and_query = parts
            .uri
            .path_and_query()
            .map_or("/", |target| target.as_str())
            .to_owned();
        let fingerprint = match &body {
            OutgoingBody::Whole(bytes) => {
                let target = format!("{} {path_and_query}", parts.method);
                let route = &context.route.id;
                Some(self.crashes.fingerprint(route, &target, bytes))
            }
            OutgoingBody::Streamed(_) => None,
        };
        let outgoing = Outgoing {
            fingerprint,
            method: parts.method,
            path_and_query,
            headers: parts.headers,
            body,
        };
        let reserved = self.admit(&context, context.route.request_tokens).await?;
        let Some(key) = key else {
            let result = self.forward(&context, outgoing).await;
            if let Err(error) = &result {
                settle_failure(reserved, error);
            }
            return result;
        };
        let hash = request_hash(&outgoing);
        let claimed = match claim::claim(&self.control, &context, key, hash).await {
            Ok(claimed) => claimed,
            Err(error) => {
                // This attempt did not run, whatever is known of an earlier one.
                if let Some(reserved) = reserved {
                    reserved.release();
                }
                return Err(error);
            }
        };
        match claimed {
            ClaimResult::Recorded(recorded) => {
                if let Some(reserved) = reserved {
                    reserved.release();
                }
                replay(recorded, &context)
            }
            ClaimResult::Open(open) => {
                // The task goes on when the caller leaves, so that the outcome is recorded.
                let proxy = Arc::clone(self);
                let id = context.id.clone();
                let held = self.in_flight.hold();
                let running = tokio::spawn(async move {
                    let _held = held;
                    let result = proxy.run_claimed(&context, outgoing, open).await;
                    if let Err(error) = &result {
                        settle_failure(reserved, error);
                    }
                    result
                });
                running.await.unwrap_or_else(|error| {
                    let message = format!("the request failed inside the entry: {error}");
                    Err(CallerError::may_have_run(
                        ResultCode::Internal,
                        message,
                        &id,
                    ))
                })
            }
        }
    }

    fn service_request(&self, context: &RequestContext) -> ScheduledRequest {
        let service = context.route.service.clone().unwrap_or_default();
        self.scheduled(
            context,
            PoolId::Service(service),
            context.route.request_tokens,
        )
    }

    async fn forward(
        self: &Arc<Self>,
        context: &RequestContext,
        mut outgoing: Outgoing,
    ) -> Result<Response<CallerBody>, CallerError> {
        let method = outgoing.method.clone();
        let mut guard = self.guard(context);
        let answer = self
            .dispatch(
                context,
                &mut self.service_request(context),
                &mut outgoing,
                &mut guard,
            )
            .await?;
        let status = answer.response.status();
        let headers = response_headers(answer.response.headers(), context);
        let body = if has_body(&method, status) {
            body::streamed(plain_stream(answer, guard))
        } else {
            body::empty()
        };
        Ok(response(status, headers, body))
    }

    async fn run_claimed(
        self: Arc<Self>,
        context: &RequestContext,
        mut outgoing: Outgoing,
        open: OpenClaim,
    ) -> Result<Response<CallerBody>, CallerError> {
        let mut guard = self.guard(context);
        let answer = self
            .dispatch(
                context,
                &mut self.service_request(context),
                &mut outgoing,
                &mut guard,
            )
            .await;
        let answer = match answer {
            Ok(answer) => answer,
            Err(error) if error.run_state() == RunState::NotRun => {
                open.release();
                return Err(error);
            }
            Err(error) => {
                open.abandon().await;
                return Err(error);
            }
        };
        let status = answer.response.status();
        let headers = response_headers(answer.response.headers(), context);
        let TargetAnswer {
            response: answer,
            mut slot,
            turn,
        } = answer;
        let mut chunks = answer.bytes_stream().boxed();
        let mut start = BytesMut::new();
        while start.len() <= RecordedResponse::MAX_BODY_BYTES {
            match chunks.next().await {
                None => {
                    let bytes = start.freeze();
                    open.complete(record(status, &headers, Some(&bytes))).await;
                    return Ok(response(status, headers, body::whole(bytes)));
                }
                Some(Ok(chunk)) => start.extend_from_slice(&chunk),
                Some(Err(error)) => {
                    slot.report_failure();
                    open.abandon().await;
                    let message = format!(
                        "the response of target {} ended early: {}",
                        slot.target.id,
                        error.without_url()
                    );
                    return Err(CallerError::may_have_run(
                        ResultCode::AnswerCut,
                        message,
                        &context.id,
                    ));
                }
            }
        }
        // The request ran; a larger body is passed on but not kept.
        open.complete(record(status, &headers, None)).await;
        let rest = chunks.map_err(|error| std::io::Error::other(error.without_url()));
        let all = futures::stream::once(async { Ok(start.freeze()) }).chain(rest);
        let body = body::holding(body::streamed(all), (slot, turn));
        Ok(response(status, headers, body))
    }
}

/// Whether a response has a body; HEAD, 1xx, 204 and 304 have none, whatever their headers say.
fn has_body(method: &Method, status: StatusCode) -> bool {
    method != Method::HEAD
        && !status.is_informational()
        && status != StatusCode::NO_CONTENT
        && status != StatusCode::NOT_MODIFIED
}

/// Hash that tells whether a resend is the same request.
fn request_hash(outgoing: &Outgoing) -> BodyHash {
    let mut hasher = blake3::Hasher::new_derive_key("waxwinglatch claimed request v1");
    for part in [outgoing.method.as_str(), &outgoing.path_and_query] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    if let OutgoingBody::Whole(bytes) = &outgoing.body {
        hasher.update(bytes);
    }
    BodyHash::new(*hasher.finalize().as_bytes())
}

/// Assembles a response.
pub fn response(status: StatusCode, headers: HeaderMap, body: CallerBody) -> Response<CallerBody> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}
