//! Dispatches an admitted request: waits for a target, revalidates the request, and retries.

use std::{sync::Arc, time::Instant};

use spdlog::prelude::*;
use tokio::time::sleep_until;

use super::{
    caller_error::{CallerError, RunState},
    candidates::has_candidate,
    context::RequestContext,
    crash_registry::{self, AnswerProgress},
    demand::DemandCounter,
    exchange::{TargetReply, backoff, exchange},
    metrics::RetryKind,
    outgoing_request::OutgoingRequest,
    proxy::CallerProxy,
    scheduled_request::ScheduledRequest,
    stream_guard::StreamGuard,
    target_slot::TargetSlot,
};
use crate::{
    border::RouteIdempotency, code::ResultCode, fair::PushRefusal, ids::ModelId, route::PoolId,
    state::BlockState,
};

impl CallerProxy {
    /// Sends a request to targets of the pool until one responds or no further retry is allowed.
    ///
    /// # Errors
    /// The last failure; its run state covers all attempts.
    pub async fn dispatch(
        &self,
        context: &RequestContext,
        scheduled: &mut ScheduledRequest,
        outgoing: &mut OutgoingRequest,
        guard: &mut StreamGuard,
    ) -> Result<TargetReply, CallerError> {
        let mut attempt = 0;
        let mut run_state = RunState::NotRun;
        let mut last: Option<CallerError> = None;
        loop {
            let permit = self
                .crashes
                .admit(&outgoing.subject, context, &self.view.get())
                .await
                .map_err(|error| match run_state {
                    RunState::MayHaveRun => error.with_run_state(run_state),
                    RunState::NotRun => error,
                })?;
            let slot = match (self.wait_for_slot(context, scheduled).await, last) {
                (Ok(slot), _) => slot,
                (Err(_), Some(earlier)) => return Err(earlier.with_run_state(run_state)),
                (Err(error), None) => return Err(error),
            };
            self.revalidate(context)
                .map_err(|error| error.with_run_state(run_state))?;
            info!(
                "route: {} {} to {} attempt {} cost {:.1} ms load {:.1} cached {}",
                context.id,
                context.route.id,
                slot.target.id,
                attempt + 1,
                slot.choice.cost_ms,
                slot.choice.load,
                slot.choice.cached_tokens
            );
            self.metrics.count_upstream_request();
            let target = Arc::clone(&slot.target);
            scheduled.tried.push(target.id.clone());
            let error = match exchange(slot, permit, outgoing, context, guard).await {
                Ok(reply) => return Ok(reply),
                Err(error) => error,
            };
            if error.run_state() == RunState::MayHaveRun {
                run_state = RunState::MayHaveRun;
                let crashes = &self.crashes;
                let state = match error.code() {
                    ResultCode::TargetUnreachable => {
                        let subject = &outgoing.subject;
                        let report =
                            crashes.report_if_down(subject, AnswerProgress::Starting, &target);
                        report.await
                    }
                    _ => None,
                };
                if state == Some(BlockState::Blocked) {
                    return Err(crash_registry::blocked_error(context));
                }
            }
            if !self.may_retry(context, outgoing, &error) {
                return Err(error.with_run_state(run_state));
            }
            attempt += 1;
            let wake = Instant::now() + backoff(attempt);
            if wake >= context.deadline {
                return Err(error.with_run_state(run_state));
            }
            sleep_until(wake.into()).await;
            self.metrics.count_retry(RetryKind::Retry);
            last = Some(error);
        }
    }

    /// Checks key, route and freshness again just before a request is sent.
    pub fn revalidate(&self, context: &RequestContext) -> Result<(), CallerError> {
        context
            .revalidate(&self.view.get(), self.freshness_bound)
            .map_err(|(code, message)| CallerError::not_run(code, message, &context.id))
    }

    fn may_retry(
        &self,
        context: &RequestContext,
        outgoing: &OutgoingRequest,
        error: &CallerError,
    ) -> bool {
        let is_retryable = match error.code() {
            ResultCode::TargetUnreachable | ResultCode::TargetRefused => {
                error.run_state() == RunState::NotRun || is_idempotent(context, outgoing)
            }
            ResultCode::AnswerMismatch => is_idempotent(context, outgoing),
            _ => false,
        };
        is_retryable && outgoing.body.is_replayable() && self.retries.try_spend(context.team())
    }

    /// Waits in the queue for a slot at a target, at most until the request's deadline.
    pub async fn wait_for_slot(
        &self,
        context: &RequestContext,
        scheduled: &ScheduledRequest,
    ) -> Result<TargetSlot, CallerError> {
        let queued_at = Instant::now();
        let id = &context.id;
        let refuse = |code: ResultCode, message: &str| Err(CallerError::not_run(code, message, id));
        let no_target = "no target can take the request";
        let pool = &scheduled.pool;
        let wait = match pool {
            pool if has_candidate(pool, &self.view.get(), &scheduled.tried) => None,
            // A model is loaded on demand while the request waits.
            PoolId::Model(model) if scheduled.tried.is_empty() => {
                Some(ModelWait::new(&self.demand, model))
            }
            _ => return refuse(ResultCode::NoTarget, no_target),
        };
        let mut ticket = match self.scheduler.enqueue(scheduled.clone(), context.deadline) {
            Ok(ticket) => ticket,
            Err(PushRefusal::TooLate) => {
                let message = "the queue is too long for the request's deadline";
                return refuse(ResultCode::DeadlineExceeded, message);
            }
            Err(PushRefusal::TeamFull | PushRefusal::QueueFull) => {
                return refuse(ResultCode::QueueFull, "the queue is full");
            }
        };
        let slot = tokio::select! {
            slot = ticket.slot() => slot,
            () = sleep_until(context.deadline.into()) => {
                let message = "no target had a free place before the request's deadline";
                return refuse(ResultCode::DeadlineExceeded, message);
            }
        };
        drop(wait);
        let Some(slot) = slot else {
            return refuse(ResultCode::NoTarget, no_target);
        };
        self.metrics
            .observe_queue(&context.route.id, queued_at.elapsed());
        Ok(slot)
    }
}

/// Reports a request as waiting for its model to load, as demand for the planner, until dropped.
struct ModelWait<'d> {
    demand: &'d DemandCounter,
    model: &'d ModelId,
}

impl<'d> ModelWait<'d> {
    fn new(demand: &'d DemandCounter, model: &'d ModelId) -> Self {
        demand.begin_wait(model);
        Self { demand, model }
    }
}

impl Drop for ModelWait<'_> {
    fn drop(&mut self) {
        self.demand.end_wait(self.model);
    }
}

/// Whether the request may run twice without a further effect.
fn is_idempotent(context: &RequestContext, outgoing: &OutgoingRequest) -> bool {
    match context.route.idempotency {
        RouteIdempotency::Idempotent => true,
        RouteIdempotency::NonIdempotent => false,
        RouteIdempotency::ByMethod => outgoing.method.is_idempotent(),
        RouteIdempotency::Claimed => outgoing.method.is_safe(),
    }
}
