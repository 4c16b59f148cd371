//! The model API: list of models, completions and chat completions.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use hyper::{
    Method, Response, StatusCode,
    body::Incoming,
    header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderMap, HeaderValue},
    http::request::Parts,
};
use serde_json::json;

use super::{
    admission::settle_failure,
    body::{self, CallerBody},
    caller_error::{CallerError, RunState},
    context::RequestContext,
    crash_registry::CrashSubject,
    exchange::TargetReply,
    header::strip_hop_by_hop,
    model_request::{ModelRequest, TokenCost},
    model_stream::ModelStream,
    outgoing_request::{OutgoingBody, OutgoingRequest, read_body},
    plain_stream::checked_chunks,
    proxy::CallerProxy,
    scheduled_request::ScheduledRequest,
    stream_guard::StreamGuard,
    stream_request::StreamRequest,
};
use crate::{
    code::ResultCode,
    ids::{ModelId, VersionId},
    route::PoolId,
};

/// Maximum size of a buffered response in bytes, above that of the longest contexts.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

impl CallerProxy {
    /// Serves a request to the model API.
    pub async fn serve_model(
        self: &Arc<Self>,
        context: Arc<RequestContext>,
        parts: Parts,
        incoming: Incoming,
    ) -> Result<Response<CallerBody>, CallerError> {
        let id = &context.id;
        let prefix = context.route.path_prefix.trim_end_matches('/');
        let rest = parts.uri.path().strip_prefix(prefix).unwrap_or_default();
        let path = match (&parts.method, rest) {
            (&Method::GET | &Method::HEAD, "/models") => return Ok(self.list_models()),
            (&Method::POST, "/completions" | "/chat/completions") => format!("/v1{rest}"),
            _ => {
                let message = format!("no model call is at {} {rest}", parts.method);
                return Err(CallerError::not_run(ResultCode::UnknownRoute, message, id));
            }
        };
        let body = read_body(incoming, context.route.max_body_bytes, context.deadline)
            .await
            .map_err(|(code, message)| CallerError::not_run(code, message, id))?;
        let request: ModelRequest = serde_json::from_slice(&body).map_err(|error| {
            CallerError::not_run(ResultCode::MalformedRequest, error.to_string(), id)
        })?;
        let cost = self.cost(&context, &request)?;
        self.demand.record_arrival(&request.model, cost.total());
        let reserved = self.admit(&context, cost.total()).await?;
        let mut scheduled = ScheduledRequest {
            prompt_tokens: u32::try_from(cost.prompt).unwrap_or(u32::MAX),
            prefix: request.prefix(),
            version: self.version(&request.model),
            ..self.scheduled(&context, PoolId::Model(request.model.clone()), cost.total())
        };
        let mut outgoing = OutgoingRequest {
            method: Method::POST,
            path_and_query: path,
            headers: parts.headers,
            subject: CrashSubject {
                fingerprint: Some(self.crashes.fingerprint(
                    &context.route.id,
                    &request.model,
                    &body,
                )),
                parts: self.crashes.prompt_parts(&request),
            },
            body: OutgoingBody::Buffered(body),
        };
        let mut guard = self.guard(&context);
        let reply = self
            .dispatch(&context, &mut scheduled, &mut outgoing, &mut guard)
            .await;
        let reply = match reply {
            Ok(reply) => reply,
            Err(error) => {
                if error.run_state() == RunState::NotRun {
                    self.refund(&scheduled, scheduled.cost);
                }
                settle_failure(reserved, &error);
                return Err(error);
            }
        };
        let is_stream = reply.response.status() == StatusCode::OK
            && reply
                .response
                .headers()
                .get(CONTENT_TYPE)
                .is_some_and(|kind| kind.as_bytes().starts_with(b"text/event-stream"));
        let status = reply.response.status();
        let headers = response_headers(reply.response.headers(), &context);
        if is_stream {
            let events = ModelStream::new(
                Arc::clone(self),
                Arc::clone(&context),
                StreamRequest {
                    scheduled,
                    outgoing,
                    prompt_tokens: cost.prompt,
                    reserved,
                },
                guard,
                reply,
            );
            return Ok(response(
                status,
                headers,
                body::streamed(events.into_stream()),
            ));
        }
        let bytes = read_response(reply, &mut guard, &context).await?;
        let used = match status {
            status if status.is_success() => {
                self.metrics.observe_first_token(context.started.elapsed());
                self.crashes.record_complete(&outgoing.subject);
                used_tokens(&bytes)
            }
            // The engine rejected the request as invalid, so no tokens were used.
            status if status.is_client_error() => Some(0),
            _ => None,
        };
        if let Some(used) = used {
            self.refund(&scheduled, scheduled.cost.saturating_sub(used));
            if let Some(reserved) = reserved {
                reserved.settle(used);
            }
        }
        Ok(response(status, headers, body::full(bytes)))
    }

    /// Estimates the tokens that a request needs.
    fn cost(
        &self,
        context: &RequestContext,
        request: &ModelRequest,
    ) -> Result<TokenCost, CallerError> {
        let view = self.view.get();
        let index = &view.index;
        let base = index
            .adapter(&request.model)
            .map_or(&request.model, |adapter| &adapter.model);
        let Some(model) = index.model(base) else {
            let message = format!("no model has the name {}", request.model);
            return Err(CallerError::not_run(
                ResultCode::UnknownModel,
                message,
                &context.id,
            ));
        };
        Ok(request.cost(model.max_tokens_default))
    }

    /// Credits unused tokens to the team's position in the queue.
    pub fn refund(&self, scheduled: &ScheduledRequest, tokens: u64) {
        let ScheduledRequest { pool, team, .. } = scheduled;
        self.scheduler.refund(pool, team, tokens);
    }

    /// Returns the version that the configuration specifies for a model or adapter.
    fn version(&self, model: &ModelId) -> Option<VersionId> {
        let view = self.view.get();
        let index = &view.index;
        let version = index.model(model).map(|model| model.version.clone());
        version.or_else(|| Some(index.adapter(model)?.version.clone()))
    }

    fn list_models(&self) -> Response<CallerBody> {
        let view = self.view.get();
        let mut names: Vec<(&str, Option<&str>)> = view
            .index
            .models()
            .map(|model| (model.id.as_str(), None))
            .chain(
                view.index
                    .adapters()
                    .map(|adapter| (adapter.id.as_str(), Some(adapter.model.as_str()))),
            )
            .collect();
        names.sort_unstable();
        let data: Vec<_> = names
            .into_iter()
            .map(|(id, parent)| json!({ "id": id, "object": "model", "parent": parent }))
            .collect();
        let text = json!({ "object": "list", "data": data }).to_string();
        let mut response = Response::new(body::full(text));
        response
            .headers_mut()
            .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        response
    }

    /// Creates the guard that watches the caller's key while a response is in progress.
    pub fn guard(&self, context: &RequestContext) -> StreamGuard {
        StreamGuard::new(
            Arc::clone(&self.view),
            self.freshness_bound,
            context.caller.clone(),
        )
    }
}

/// Buffers a response, so that a truncated one becomes an error with a status of its own.
async fn read_response(
    reply: TargetReply,
    guard: &mut StreamGuard,
    context: &RequestContext,
) -> Result<Bytes, CallerError> {
    let end_check = reply.end_check();
    let TargetReply {
        response,
        mut slot,
        permit: _permit,
    } = reply;
    let id = &context.id;
    let mut chunks = checked_chunks(response, end_check).boxed();
    let mut bytes = BytesMut::new();
    loop {
        let chunk = tokio::select! {
            chunk = chunks.next() => chunk,
            reason = guard.invalidated() => {
                return Err(CallerError::may_have_run(ResultCode::KeyRevoked, reason, id));
            }
        };
        let truncated = |reason: String| {
            let message = format!(
                "the response of target {} ended early: {reason}",
                slot.target.id
            );
            CallerError::may_have_run(ResultCode::AnswerCut, message, id)
        };
        match chunk {
            None => return Ok(bytes.freeze()),
            Some(Err(error)) => {
                let error = truncated(error.to_string());
                slot.report_failure();
                return Err(error);
            }
            Some(Ok(chunk)) if bytes.len() + chunk.len() > MAX_RESPONSE_BYTES => {
                return Err(truncated("it is too large".to_owned()));
            }
            Some(Ok(chunk)) => bytes.extend_from_slice(&chunk),
        }
    }
}

/// Returns the total number of tokens from the `usage` field of an engine's response.
fn used_tokens(body: &[u8]) -> Option<u64> {
    #[derive(serde::Deserialize)]
    struct Usage {
        total_tokens: u64,
    }
    #[derive(serde::Deserialize)]
    struct UsageResponse {
        usage: Usage,
    }
    let response: UsageResponse = serde_json::from_slice(body).ok()?;
    Some(response.usage.total_tokens)
}

/// Returns the headers of a target's response to forward, with the request id.
pub fn response_headers(headers: &HeaderMap, context: &RequestContext) -> HeaderMap {
    let mut headers = headers.clone();
    strip_hop_by_hop(&mut headers);
    if let Ok(id) = HeaderValue::from_str(&context.id) {
        headers.insert("x-request-id", id);
    }
    headers
}

fn response(status: StatusCode, mut headers: HeaderMap, body: CallerBody) -> Response<CallerBody> {
    headers.remove(CONTENT_LENGTH);
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}
