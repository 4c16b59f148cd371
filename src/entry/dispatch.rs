//! Sends an admitted request: waits for a target, checks the request again, and retries.

use std::{sync::Arc, time::Instant};

use spdlog::prelude::*;
use tokio::time::sleep_until;

use super::{
    candidates::{CandidatePool, TriedTargets},
    context::RequestContext,
    crash,
    demand::DemandCounter,
    exchange::{TargetAnswer, backoff, exchange},
    guard::StreamGuard,
    metrics::RetryKind,
    outgoing::Outgoing,
    proxy::CallerProxy,
    refusal::{CallerError, RunState},
    target_pool::TargetSlot,
};
use crate::{border::RouteIdempotency, code::ResultCode, ids::ModelId, state::BlockState};

impl CallerProxy {
    /// Sends a request to targets of the pool until one responds, as far as retries are allowed.
    ///
    /// # Errors
    /// The last failure; its run state covers all attempts.
    pub async fn dispatch(
        &self,
        context: &RequestContext,
        pool: &CandidatePool,
        outgoing: &mut Outgoing,
        guard: &mut StreamGuard,
        tried: &mut TriedTargets,
    ) -> Result<TargetAnswer, CallerError> {
        let mut attempt = 0;
        let mut run_state = RunState::NotRun;
        let mut last: Option<CallerError> = None;
        loop {
            let turn = self
                .crashes
                .admit(outgoing.fingerprint, context, &self.view.get())
                .await
                .map_err(|error| match run_state {
                    RunState::MayHaveRun => error.with_run_state(run_state),
                    RunState::NotRun => error,
                })?;
            let slot = match (self.wait_for_slot(context, pool, tried).await, last) {
                (Ok(slot), _) => slot,
                (Err(_), Some(earlier)) => return Err(earlier.with_run_state(run_state)),
                (Err(error), None) => return Err(error),
            };
            self.check_again(context)
                .map_err(|error| error.with_run_state(run_state))?;
            info!(
                "route: {} {} to {} attempt {}",
                context.id,
                context.route.id,
                slot.target.id,
                attempt + 1
            );
            self.metrics.count_upstream_request();
            let target = Arc::clone(&slot.target);
            tried.push(target.id.clone());
            let error = match exchange(slot, turn, outgoing, context, guard).await {
                Ok(answer) => return Ok(answer),
                Err(error) => error,
            };
            if error.run_state() == RunState::MayHaveRun {
                run_state = RunState::MayHaveRun;
                let crashes = &self.crashes;
                let state = match error.code() {
                    ResultCode::TargetUnreachable => {
                        crashes.report_if_down(outgoing.fingerprint, &target).await
                    }
                    _ => None,
                };
                if state == Some(BlockState::Blocked) {
                    return Err(crash::blocked(context));
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

    /// Checks key, route and freshness just before a request leaves.
    pub fn check_again(&self, context: &RequestContext) -> Result<(), CallerError> {
        context
            .check_again(&self.view.get(), self.freshness_bound)
            .map_err(|(code, message)| CallerError::not_run(code, message, &context.id))
    }

    fn may_retry(
        &self,
        context: &RequestContext,
        outgoing: &Outgoing,
        error: &CallerError,
    ) -> bool {
        let repeatable = match error.code() {
            ResultCode::TargetUnreachable | ResultCode::TargetRefused => {
                error.run_state() == RunState::NotRun || is_idempotent(context, outgoing)
            }
            ResultCode::AnswerMismatch => is_idempotent(context, outgoing),
            _ => false,
        };
        repeatable && outgoing.body.is_replayable() && self.retries.try_spend(context.team())
    }

    /// Waits in the queue until a target has a slot, at most until the request's deadline.
    pub async fn wait_for_slot(
        &self,
        context: &RequestContext,
        pool: &CandidatePool,
        tried: &TriedTargets,
    ) -> Result<TargetSlot, CallerError> {
        let queued = Instant::now();
        let mut absent = None;
        let mut residency = self.view.watch_residency();
        let mut revisions = self.view.watch_revision();
        loop {
            let released = self.targets.released();
            tokio::pin!(released);
            released.as_mut().enable();
            let candidates = pool.candidates(&self.view.get(), tried);
            if let Some(slot) = self.targets.choose(&candidates, Instant::now()) {
                self.metrics
                    .observe_queue(&context.route.id, queued.elapsed());
                return Ok(slot);
            }
            if candidates.is_empty() && (!pool.can_appear() || !tried.is_empty()) {
                let message = "no target can take the request";
                return Err(CallerError::not_run(
                    ResultCode::NoTarget,
                    message,
                    &context.id,
                ));
            }
            if let CandidatePool::Model(model) = pool
                && candidates.is_empty()
                && absent.is_none()
            {
                absent = Some(AbsentModel::new(&self.demand, model));
            }
            tokio::select! {
                () = &mut released => {}
                _ = residency.changed() => {}
                _ = revisions.changed() => {}
                () = sleep_until(context.deadline.into()) => {
                    let message = "no target had a free place before the request's deadline";
                    return Err(CallerError::not_run(
                        ResultCode::DeadlineExceeded,
                        message,
                        &context.id,
                    ));
                }
            }
        }
    }
}

/// A request that waits until its model is loaded, as the planner sees it.
struct AbsentModel<'d> {
    demand: &'d DemandCounter,
    model: &'d ModelId,
}

impl<'d> AbsentModel<'d> {
    fn new(demand: &'d DemandCounter, model: &'d ModelId) -> Self {
        demand.begin_wait(model);
        Self { demand, model }
    }
}

impl Drop for AbsentModel<'_> {
    fn drop(&mut self) {
        self.demand.end_wait(self.model);
    }
}

/// Whether a second run of the request changes nothing.
fn is_idempotent(context: &RequestContext, outgoing: &Outgoing) -> bool {
    match context.route.idempotency {
        RouteIdempotency::Idempotent => true,
        RouteIdempotency::NonIdempotent => false,
        RouteIdempotency::ByMethod => outgoing.method.is_idempotent(),
        RouteIdempotency::Claimed => outgoing.method.is_safe(),
    }
}
