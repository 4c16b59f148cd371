use std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::{Duration, Instant},
};

use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use spdlog::prelude::*;
use tokio::time::{Sleep, sleep_until};

use super::{
    connections::{TargetConnection, TargetConnections},
    exchange::LoadGuard,
    stream_origins::StreamRun,
};
use crate::{
    adapter::PromptPart,
    answer::{AnswerFraming, EndCheck},
    ids::RequestId,
    pace::StreamPauses,
};

/// Time from the head of an answer in which a crash of its target may be due to the request.
const START_TIME: Duration = Duration::from_millis(500);

/// Maximum number of bytes that are passed on after the time is over, as they had arrived before.
const MAX_LATE_BYTES: usize = 256 << 10;

/// A target's answer whose body is to be relayed.
pub struct RelayedAnswer {
    pub incoming: Incoming,
    pub framing: AnswerFraming,
    pub end_check: EndCheck,
    /// Whether the status is a success.
    pub is_success: bool,
    /// The stream that the answer begins.
    pub run: Option<StreamRun>,
}

/// Body that relays a target's answer to the caller. An error aborts the caller's connection, so
/// that a truncated answer never looks complete.
pub struct RelayBody {
    answer: RelayedAnswer,
    relayed_bytes: usize,
    pauses: StreamPauses,
    late_bytes: usize,
    started_at: Instant,
    deadline: Instant,
    connection: Option<TargetConnection>,
    connections: Arc<TargetConnections>,
    guard: LoadGuard,
    timeout: Pin<Box<Sleep>>,
    request: RequestId,
    is_finished: bool,
    /// Whether the answer was relayed in full.
    is_complete: bool,
    /// Why the answer was cut, until the caller's connection is aborted.
    failure: Option<io::Error>,
}

impl RelayBody {
    /// Creates a body that relays an answer and fails if it is incomplete at `deadline`.
    pub fn new(
        answer: RelayedAnswer,
        connection: TargetConnection,
        connections: &Arc<TargetConnections>,
        guard: LoadGuard,
        deadline: Instant,
        request: RequestId,
    ) -> Self {
        Self {
            answer,
            relayed_bytes: 0,
            pauses: StreamPauses::default(),
            late_bytes: 0,
            started_at: Instant::now(),
            deadline,
            connection: Some(connection),
            connections: Arc::clone(connections),
            guard,
            timeout: Box::pin(sleep_until(deadline.into())),
            request,
            is_finished: false,
            is_complete: false,
            failure: None,
        }
    }

    fn complete(&mut self) {
        self.is_finished = true;
        self.is_complete = true;
        if let Some(run) = &mut self.answer.run {
            run.complete();
        }
        match self.answer.framing {
            // The target may have broken the answer off between two events.
            AnswerFraming::Connection if self.is_stream() && self.is_starting() => {
                self.guard.record_break();
            }
            AnswerFraming::Connection => {}
            _ if self.answer.is_success => self.guard.record_complete(),
            _ => {}
        }
        if self.answer.framing == AnswerFraming::Connection {
            info!("gateway: an answer ended with its connection", kv: {
                request = self.request.as_str(),
                target = self.guard.chosen.choice.target.as_str(),
                bytes = self.relayed_bytes,
            });
        }
        if let Some(connection) = self.connection.take() {
            let target = &self.guard.chosen.choice.target;
            self.connections.put_back(target, connection);
        }
    }

    fn is_stream(&self) -> bool {
        matches!(self.answer.end_check, EndCheck::Events(_))
    }

    /// Records the events that have become complete.
    fn record_events(&mut self) {
        let events = self.answer.end_check.events() - self.pauses.events();
        if events > 0 {
            let now = self.guard.sent_at.elapsed();
            let gap = self.pauses.undisturbed_gap(now);
            let gap = gap.map(|gap| gap / u32::try_from(events).unwrap_or(u32::MAX));
            let target = &self.guard.chosen.choice.target;
            let activity = self.guard.targets.record_event(target, gap);
            self.pauses.record(events, activity, now);
        }
    }

    /// Logs the longest pause of a stream that ends. A pause lasts until the gateway reads the next event,
    /// so that a caller that does not read makes it longer.
    fn log_stream_end(&mut self, is_complete: bool) {
        let target = &self.guard.chosen.choice.target;
        let age = self.guard.sent_at.elapsed();
        if !is_complete {
            let activity = self.guard.targets.record_event(target, None);
            self.pauses.record_break(activity, age);
        }
        let pause = self.pauses.longest().unwrap_or_default();
        let first_event_at = self.pauses.first_event_at();
        let pace = pause.activity.pace;
        let pace = pace.map_or_else(
            || CompactString::from("-"),
            |pace| format_compact!("{pace:.2}"),
        );
        info!("gateway: a stream ended", kv: {
            request = self.request.as_str(),
            target = target.as_str(),
            is_complete = is_complete,
            events = self.pauses.events(),
            age_ms = age.as_millis(),
            first_event_ms = first_event_at.map_or(-1, as_ms),
            longest_pause_ms = as_ms(pause.length),
            pause_at_ms = as_ms(pause.began_at),
            running = pause.activity.running,
            prompt_tokens = pause.activity.prompt_tokens,
            pace = pace.as_str(),
        });
    }

    /// Returns whether the answer has hardly begun. A request that crashes its target does so when the
    /// target begins to answer it.
    fn is_starting(&self) -> bool {
        self.relayed_bytes == 0 || self.started_at.elapsed() < START_TIME
    }

    /// Cuts the answer because the target broke it off.
    fn fail_by_target(
        &mut self,
        reason: &str,
        context: &Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        self.guard.record_restart_sign();
        if self.is_starting() {
            self.guard.record_break();
        }
        self.fail(reason, context)
    }

    /// Cuts the answer. What was relayed before is sent first: the server discards bytes that it has
    /// not sent when a body fails, so the failure is reported by the next poll.
    fn fail(
        &mut self,
        reason: &str,
        context: &Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        self.is_finished = true;
        self.connection = None;
        let target = &self.guard.chosen.choice.target;
        warn!("gateway: an answer was cut", kv: {
            request = self.request.as_str(),
            target = target.as_str(),
            reason = reason,
            age_ms = self.guard.sent_at.elapsed().as_millis(),
            bytes = self.relayed_bytes,
            parts = part_names(&self.guard.shared_parts).as_str(),
        });
        self.failure = Some(io::Error::other(reason.to_owned()));
        context.waker().wake_by_ref();
        Poll::Pending
    }
}

fn as_ms(time: Duration) -> i64 {
    i64::try_from(time.as_millis()).unwrap_or(i64::MAX)
}

/// Returns the names of parts of a prompt for log lines.
fn part_names(parts: &[PromptPart]) -> String {
    let names: Vec<_> = parts
        .iter()
        .map(|part| format!("{:x}", part.hash))
        .collect();
    names.join(",")
}

impl Body for RelayBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let this = &mut *self;
        if this.is_finished {
            return Poll::Ready(this.failure.take().map(Err));
        }
        match Pin::new(&mut this.answer.incoming).poll_frame(context) {
            Poll::Ready(Some(Ok(frame))) => {
                if let Some(bytes) = frame.data_ref() {
                    if Instant::now() >= this.deadline {
                        this.late_bytes += bytes.len();
                    }
                    // A body that always has more to read is never pending, so the timer is not asked.
                    if this.late_bytes > MAX_LATE_BYTES {
                        return this.fail("the time is over", context);
                    }
                    this.relayed_bytes += bytes.len();
                    this.answer.end_check.push(bytes);
                    this.record_events();
                }
                if let Some(connection) = &this.connection {
                    connection.record_content();
                }
                this.guard
                    .targets
                    .record_activity(&this.guard.chosen.choice.target);
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(error))) => this.fail_by_target(&error.to_string(), context),
            Poll::Ready(None) => {
                if let Some(reason) = this.answer.end_check.break_reason() {
                    return this.fail_by_target(reason, context);
                }
                this.complete();
                Poll::Ready(None)
            }
            Poll::Pending if this.timeout.as_mut().poll(context).is_ready() => {
                this.fail("the time is over", context)
            }
            Poll::Pending => Poll::Pending,
        }
    }

    fn is_end_stream(&self) -> bool {
        let is_ended = self.is_finished && self.failure.is_none();
        is_ended || (!self.answer.end_check.hides_length() && self.answer.incoming.is_end_stream())
    }

    fn size_hint(&self) -> SizeHint {
        if self.answer.end_check.hides_length() {
            return SizeHint::default();
        }
        self.answer.incoming.size_hint()
    }
}

impl Drop for RelayBody {
    fn drop(&mut self) {
        // Hyper does not poll a body of known length again after its last byte.
        if !self.is_finished && self.is_end_stream() {
            self.complete();
        }
        if self.is_stream() {
            self.log_stream_end(self.is_complete);
        }
    }
}
