//! Plain services, addressed by route prefix.

use std::sync::Arc;

use bytes::BytesMut;
use futures::StreamExt;
use hyper::{
    Method, Response, StatusCode,
    body::Incoming,
    header::{CONTENT_LENGTH, HeaderMap},
    http::request::Parts,
};

use super::{
    admission::settle_failure,
    body::{self, CallerBody},
    caller_error::{CallerError, RunState},
    claim::{self, ClaimResult, OpenClaim},
    context::RequestContext,
    crash_registry::CrashSubject,
    exchange::TargetReply,
    model::response_headers,
    outgoing_request::{OutgoingBody, OutgoingRequest, read_body},
    plain_stream::{checked_chunks, plain_stream},
    proxy::CallerProxy,
    response_record::{record, replay},
    scheduled_request::ScheduledRequest,
};
use crate::{
    code::ResultCode, gateway::RequestParts, ids::BodyHash, route::PoolId, state::RecordedResponse,
};

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
            // The body is hashed, so all of it must be read before the request is sent.
            OutgoingBody::Buffered(
                read_body(incoming, limit, context.deadline)
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
            OutgoingBody::Buffered(bytes) => {
                let target = format!("{} {path_and_query}", parts.method);
                let route = &context.route.id;
                Some(self.crashes.fingerprint(route, &target, bytes))
            }
            OutgoingBody::Streamed(_) => None,
        };
        let outgoing = OutgoingRequest {
            subject: CrashSubject {
                fingerprint,
                parts: RequestParts::default(),
            },
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
                // This attempt did not run, regardless of the outcome of an earlier one.
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
            ClaimResult::Granted(claim) => {
                // The task continues after the caller disconnects, so that the outcome is recorded.
                let proxy = Arc::clone(self);
                let id = context.id.clone();
                let running = self.in_flight.delay_shutdown();
                let task = tokio::spawn(async move {
                    let _running = running;
                    let result = proxy.run_claimed(&context, outgoing, claim).await;
                    if let Err(error) = &result {
                        settle_failure(reserved, error);
                    }
                    result
                });
                task.await.unwrap_or_else(|error| {
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
        mut outgoing: OutgoingRequest,
    ) -> Result<Response<CallerBody>, CallerError> {
        let method = outgoing.method.clone();
        let mut guard = self.guard(context);
        let reply = self
            .dispatch(
                context,
                &mut self.service_request(context),
                &mut outgoing,
                &mut guard,
            )
            .await?;
        let status = reply.response.status();
        let mut headers = response_headers(reply.response.headers(), context);
        if reply.end_check().hides_length() {
            headers.remove(CONTENT_LENGTH);
        }
        let body = if allows_body(&method, status) {
            body::streamed(plain_stream(reply, guard))
        } else {
            body::empty()
        };
        Ok(response(status, headers, body))
    }

    async fn run_claimed(
        self: Arc<Self>,
        context: &RequestContext,
        mut outgoing: OutgoingRequest,
        claim: OpenClaim,
    ) -> Result<Response<CallerBody>, CallerError> {
        let mut guard = self.guard(context);
        let reply = self
            .dispatch(
                context,
                &mut self.service_request(context),
                &mut outgoing,
                &mut guard,
            )
            .await;
        let reply = match reply {
            Ok(reply) => reply,
            Err(error) if error.run_state() == RunState::NotRun => {
                claim.release();
                return Err(error);
            }
            Err(error) => {
                claim.abandon().await;
                return Err(error);
            }
        };
        let status = reply.response.status();
        let mut headers = response_headers(reply.response.headers(), context);
        let end_check = reply.end_check();
        if end_check.hides_length() {
            headers.remove(CONTENT_LENGTH);
        }
        let TargetReply {
            response: upstream,
            mut slot,
            permit,
        } = reply;
        let mut chunks = checked_chunks(upstream, end_check).boxed();
        let mut buffered = BytesMut::new();
        while buffered.len() <= RecordedResponse::MAX_BODY_BYTES {
            match chunks.next().await {
                None => {
                    let bytes = buffered.freeze();
                    claim.complete(record(status, &headers, Some(&bytes))).await;
                    return Ok(response(status, headers, body::full(bytes)));
                }
                Some(Ok(chunk)) => buffered.extend_from_slice(&chunk),
                Some(Err(error)) => {
                    slot.report_failure();
                    claim.abandon().await;
                    let message = format!(
                        "the response of target {} ended early: {error}",
                        slot.target.id
                    );
                    return Err(CallerError::may_have_run(
                        ResultCode::AnswerCut,
                        message,
                        &context.id,
                    ));
                }
            }
        }
        // The request ran; a larger body is forwarded but not recorded.
        claim.complete(record(status, &headers, None)).await;
        let all = futures::stream::once(async { Ok(buffered.freeze()) }).chain(chunks);
        let body = body::with_guard(body::streamed(all), (slot, permit));
        Ok(response(status, headers, body))
    }
}

/// Whether a response may have a body; HEAD, 1xx, 204 and 304 have none, regardless of headers.
fn allows_body(method: &Method, status: StatusCode) -> bool {
    method != Method::HEAD
        && !status.is_informational()
        && status != StatusCode::NO_CONTENT
        && status != StatusCode::NOT_MODIFIED
}

/// Hashes method, path, query and body, to detect a key that is reused for another request.
fn request_hash(outgoing: &OutgoingRequest) -> BodyHash {
    let mut hasher = blake3::Hasher::new_derive_key("waxwinglatch claimed request v1");
    for part in [outgoing.method.as_str(), &outgoing.path_and_query] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    if let OutgoingBody::Buffered(bytes) = &outgoing.body {
        hasher.update(bytes);
    }
    BodyHash::new(*hasher.finalize().as_bytes())
}

/// Builds a response from its parts.
pub fn response(status: StatusCode, headers: HeaderMap, body: CallerBody) -> Response<CallerBody> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}
