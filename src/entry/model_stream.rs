use std::{
    io,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures::{Stream, StreamExt, stream::BoxStream};
use hyper::{StatusCode, header::HeaderValue};
use spdlog::prelude::*;
use tokio::time::timeout;

use super::{
    caller_error::{CallerError, RunState},
    candidates::has_candidate,
    context::RequestContext,
    crash_registry::{self, AnswerProgress, SuspectPermit},
    event_splitter::EventSplitter,
    exchange::{TargetReply, exchange},
    metrics::RetryKind,
    proxy::CallerProxy,
    stream_guard::StreamGuard,
    stream_request::StreamRequest,
    target_slot::TargetSlot,
};
use crate::{code::ResultCode, state::BlockState};

/// Response header with the token offset at which an engine resumes.
const RESUME_OFFSET_HEADER: &str = "x-resume-offset";
/// Response header with the version of the engine's software.
const SOFTWARE_HEADER: &str = "x-software-version";
/// Maximum wait for the end of the body after the end mark, so that the connection can be reused.
const TRAILER_TIMEOUT: Duration = Duration::from_millis(100);
/// Time from the first token in which a crash of the engine may be due to the request.
const START_TIME: Duration = Duration::from_millis(500);
/// Maximum size of an event; a larger one is an engine fault.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// A stream of model events to the caller. If it breaks, it is resumed on another engine at the
/// first token that was not delivered.
pub struct ModelStream {
    proxy: Arc<CallerProxy>,
    context: Arc<RequestContext>,
    request: StreamRequest,
    guard: StreamGuard,
    /// Version of the software that began the stream; `None` if the engine does not name it.
    software: Option<HeaderValue>,
    source: Option<EventSource>,
    splitter: EventSplitter,
    delivered: u64,
    first_token_at: Option<Instant>,
    phase: StreamPhase,
}

struct EventSource {
    chunks: BoxStream<'static, reqwest::Result<Bytes>>,
    slot: TargetSlot,
    _permit: Option<SuspectPermit>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum StreamPhase {
    Running,
    /// The end mark was forwarded; the rest of the body is read and discarded.
    Complete,
    Ended,
}

impl ModelStream {
    pub fn new(
        proxy: Arc<CallerProxy>,
        context: Arc<RequestContext>,
        request: StreamRequest,
        guard: StreamGuard,
        reply: TargetReply,
    ) -> Self {
        Self {
            proxy,
            context,
            request,
            guard,
            software: software_version(&reply),
            source: Some(EventSource::new(reply)),
            splitter: EventSplitter::default(),
            delivered: 0,
            first_token_at: None,
            phase: StreamPhase::Running,
        }
    }

    /// Converts the events into a body stream, which is driven by the caller's reads.
    pub fn into_stream(self) -> impl Stream<Item = io::Result<Bytes>> + Send + 'static {
        futures::stream::unfold(self, |mut stream| async move {
            let bytes = stream.next().await?;
            Some((Ok(bytes), stream))
        })
    }

    async fn next(&mut self) -> Option<Bytes> {
        loop {
            match self.phase {
                StreamPhase::Ended => return None,
                StreamPhase::Complete => {
                    self.drain_body().await;
                    return None;
                }
                StreamPhase::Running => {}
            }
            if let Some(batch) = self.splitter.take() {
                self.record_tokens(batch.tokens);
                if batch.is_complete {
                    self.phase = StreamPhase::Complete;
                    self.record_completion();
                }
                return Some(batch.bytes);
            }
            let Err(error) = self.read().await else {
                continue;
            };
            let error = match error.code() {
                ResultCode::AnswerCut => match self.resume(error).await {
                    Ok(()) => continue,
                    Err(error) => error,
                },
                _ => error,
            };
            return Some(self.end_with_error(&error));
        }
    }

    /// Reads one chunk into the splitter.
    async fn read(&mut self) -> Result<(), CallerError> {
        let idle_timeout = Duration::from_millis(self.context.route.timeout_ms);
        let id = &self.context.id;
        let Some(source) = &mut self.source else {
            let message = "the response ended early";
            return Err(CallerError::may_have_run(
                ResultCode::AnswerCut,
                message,
                id,
            ));
        };
        let chunk = tokio::select! {
            chunk = timeout(idle_timeout, source.chunks.next()) => chunk,
            reason = self.guard.invalidated() => {
                return Err(CallerError::may_have_run(ResultCode::KeyRevoked, reason, id));
            }
        };
        let reason = match chunk {
            Ok(Some(Ok(bytes))) if self.splitter.pending_bytes() < MAX_EVENT_BYTES => {
                self.splitter.push(&bytes);
                return Ok(());
            }
            Ok(Some(Ok(_))) => "an event is too large".to_owned(),
            Ok(Some(Err(error))) => error.without_url().to_string(),
            Ok(None) => "the end mark is missing".to_owned(),
            Err(_elapsed) => "no token arrived in time".to_owned(),
        };
        let message = format!(
            "the response of target {} ended early: {reason}",
            source.slot.target.id
        );
        source.slot.report_failure();
        Err(CallerError::may_have_run(
            ResultCode::AnswerCut,
            message,
            id,
        ))
    }

    /// Resumes the response on a target that was not tried yet.
    ///
    /// # Errors
    /// `cause` when no target resumes the response, or the error for a request that crashes
    /// targets.
    async fn resume(&mut self, cause: CallerError) -> Result<(), CallerError> {
        let subject = self.request.outgoing.subject.clone();
        if let Some(source) = self.source.take() {
            let crashes = &self.proxy.crashes;
            let state = crashes.report_if_down(&subject, self.progress(), &source.slot.target);
            if state.await == Some(BlockState::Blocked) {
                return Err(crash_registry::blocked_error(&self.context));
            }
        }
        // The next engine generates a partially received event again.
        self.splitter = EventSplitter::default();
        let Some(mut outgoing) = self.request.resume_request(self.delivered) else {
            return Err(cause);
        };
        loop {
            let proxy = &self.proxy;
            let scheduled = &self.request.scheduled;
            let view = proxy.view.get();
            if !has_candidate(&scheduled.pool, &view, &scheduled.tried)
                || proxy.revalidate(&self.context).is_err()
                || !proxy.retries.try_spend(self.context.team())
            {
                return Err(cause);
            }
            // The request's deadline covers only the first byte; each resume has its own.
            let limit = Duration::from_millis(self.context.route.timeout_ms);
            let context = RequestContext {
                deadline: Instant::now() + limit,
                ..RequestContext::clone(&self.context)
            };
            let start = async {
                let permit = proxy
                    .crashes
                    .admit(&subject, &context, &proxy.view.get())
                    .await?;
                let slot = proxy.wait_for_slot(&context, scheduled);
                Ok::<_, CallerError>((permit, slot.await?))
            };
            let (permit, slot) = tokio::select! {
                started = start => started.map_err(|_| cause.clone())?,
                _ = self.guard.invalidated() => return Err(cause),
            };
            let target = Arc::clone(&slot.target);
            info!(
                "route: {} {} resumes at token {} on {}",
                context.id, context.route.id, self.delivered, target.id
            );
            self.request.scheduled.tried.push(target.id.clone());
            proxy.metrics.count_retry(RetryKind::Resume);
            proxy.metrics.count_upstream_request();
            match exchange(slot, permit, &mut outgoing, &context, &mut self.guard).await {
                Ok(reply)
                    if confirms_resume(&reply, self.delivered)
                        && software_version(&reply) == self.software =>
                {
                    self.source = Some(EventSource::new(reply));
                    return Ok(());
                }
                Ok(reply) if software_version(&reply) != self.software => info!(
                    "route: {} target {} runs another version of the software than began the stream; \
                     trying another target",
                    context.id, target.id
                ),
                Ok(_) => info!(
                    "route: {} target {} did not confirm the resume offset; trying another target",
                    context.id, target.id
                ),
                Err(error) => {
                    info!("route: {} resume failed: {}", context.id, error.message());
                    if error.run_state() == RunState::MayHaveRun
                        && proxy
                            .crashes
                            .report_if_down(&subject, AnswerProgress::Starting, &target)
                            .await
                            == Some(BlockState::Blocked)
                    {
                        return Err(crash_registry::blocked_error(&context));
                    }
                }
            }
        }
    }

    fn progress(&self) -> AnswerProgress {
        match self.first_token_at {
            Some(first) if first.elapsed() >= START_TIME => AnswerProgress::Running,
            _ => AnswerProgress::Starting,
        }
    }

    fn record_tokens(&mut self, tokens: u64) {
        if tokens > 0 && self.first_token_at.is_none() {
            self.first_token_at = Some(Instant::now());
            let elapsed = self.context.started.elapsed();
            self.proxy.metrics.observe_first_token(elapsed);
        }
        self.delivered += tokens;
    }

    fn record_completion(&mut self) {
        self.proxy
            .crashes
            .record_complete(&self.request.outgoing.subject);
        let used = self.request.prompt_tokens + self.delivered;
        let scheduled = &self.request.scheduled;
        let unused = scheduled.cost.saturating_sub(used);
        self.proxy.refund(scheduled, unused);
        if let Some(reserved) = self.request.reserved.take() {
            reserved.settle(used);
        }
        let Some(first) = self.first_token_at else {
            return;
        };
        let gaps = u32::try_from(self.delivered.saturating_sub(1)).unwrap_or(u32::MAX);
        if gaps > 0 {
            self.proxy
                .metrics
                .observe_inter_token(first.elapsed() / gaps);
        }
    }

    fn end_with_error(&mut self, error: &CallerError) -> Bytes {
        self.source = None;
        self.phase = StreamPhase::Ended;
        self.proxy.refuse(Some(&self.context), error);
        Bytes::from(error.to_event())
    }

    async fn drain_body(&mut self) {
        self.phase = StreamPhase::Ended;
        if let Some(mut source) = self.source.take() {
            let rest = async { while let Some(Ok(_)) = source.chunks.next().await {} };
            let _ = timeout(TRAILER_TIMEOUT, rest).await;
        }
    }
}

impl EventSource {
    fn new(reply: TargetReply) -> Self {
        Self {
            chunks: reply.response.bytes_stream().boxed(),
            slot: reply.slot,
            _permit: reply.permit,
        }
    }
}

/// Returns the version of the software of the engine that replied. What two versions write does not fit
/// together.
fn software_version(reply: &TargetReply) -> Option<HeaderValue> {
    reply.response.headers().get(SOFTWARE_HEADER).cloned()
}

/// Whether an engine confirms that it resumes at token `offset`, counted from 0.
fn confirms_resume(reply: &TargetReply, offset: u64) -> bool {
    let headers = reply.response.headers();
    let confirmed = headers
        .get(RESUME_OFFSET_HEADER)
        .and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
    reply.response.status() == StatusCode::OK && confirmed == Some(offset)
}
