//! Wait of a request for its turn to take a slot; see docs/design/admission.md.

use std::time::{Duration, Instant};

use spdlog::prelude::*;

use super::{
    admission_ticket::AdmissionTicket,
    cold_choice::{AdmittedTarget, RefusedTargets},
    proxy::{GatewayProxy, unavailable},
    request::GatewayRequest,
    retry_delay::random_duration,
    targets::ChosenTarget,
};
use crate::{
    adapter::RefusalNotice,
    admission::{REVIEW_DELAY, WaitForecast, WaitingRequest},
    route::{PoolId, Warmth},
};

/// Share of the first-byte target that a request waits at least, even if its first byte is expected to
/// be late by then. Expected times are averages, and many targets are faster.
const MIN_WAIT_SHARE: f64 = 0.25;
/// Maximum retry delay, as a share of the time that the caller has left.
const MAX_RETRY_SHARE: f64 = 0.25;
/// Minimum retry delay, as a share of the maximum. The random spread over the rest of the time in which
/// capacity becomes free keeps callers from returning together.
const MIN_RETRY_SHARE: f64 = 0.25;

impl GatewayProxy {
    /// Waits until the request may take a slot of a target, or rejects it while it can still be served
    /// elsewhere or later.
    pub(super) async fn await_turn(
        &self,
        request: &GatewayRequest,
        pool: &PoolId,
    ) -> Result<AdmittedTarget, RefusalNotice> {
        let max_gap = request.route.event_gap_target;
        let no_target = || unavailable(request.no_target_reason("no target can take the request"));
        let chosen = self.choose(request, pool, &[], None);
        let chosen = chosen.ok_or_else(no_target)?;
        let waiting = self.waiting_request(request, pool, &chosen);
        let time_left = waiting.wait_until.saturating_sub(waiting.arrived_at);
        let wait_until = Instant::now() + time_left;
        let ticket = self.queues.enter(pool, waiting);
        if ticket.is_futile(self.targets.free_slots(pool, max_gap)) {
            return Err(Self::refuse(request, &ticket, "too many requests wait"));
        }
        let mut refused = RefusedTargets::new();
        let mut review_at = Some(Instant::now() + REVIEW_DELAY);
        loop {
            tokio::select! {
                biased;
                () = ticket.turn() => {}
                () = tokio::time::sleep_until(review_at.unwrap_or(wait_until).into()),
                    if review_at.is_some() =>
                {
                    review_at = None;
                    if ticket.is_futile(self.targets.free_slots(pool, max_gap)) {
                        return Err(Self::refuse(request, &ticket, "too many requests wait"));
                    }
                    continue;
                }
                () = tokio::time::sleep_until(wait_until.into()) => {
                    return Err(Self::refuse(request, &ticket, "all targets are full"));
                }
            }
            let chosen = self.choose(request, pool, &[], Some(Warmth::Warm));
            let has_cold = self.targets.has_cold();
            let mut brittle = None;
            match chosen {
                Some(chosen) if self.targets.is_brittle(&chosen.choice.target) => {
                    let free_slots = self.targets.free_slots(pool, max_gap);
                    brittle = Some(chosen).filter(|_| ticket.may_take_slot(free_slots));
                }
                Some(chosen)
                    if self.targets.has_room(&chosen, max_gap)
                        && ticket.may_take_slot(self.targets.free_slots(pool, max_gap)) =>
                {
                    ticket.admit();
                    return Ok(AdmittedTarget::warm(chosen));
                }
                None if !has_cold => return Err(no_target()),
                _ => {}
            }
            ticket.pass_turn();
            if let Some(chosen) = brittle
                && let Some(admitted) = self.admit_brittle(request, pool, &[], chosen).await
            {
                ticket.admit();
                return Ok(admitted);
            }
            if has_cold && let Some(admitted) = self.reserve_cold(request, pool, &mut refused).await
            {
                ticket.admit();
                return Ok(admitted);
            }
        }
    }

    fn waiting_request(
        &self,
        request: &GatewayRequest,
        pool: &PoolId,
        chosen: &ChosenTarget,
    ) -> WaitingRequest {
        let target = request.route.first_byte_target;
        let expected = self.queues.expected_first_byte(pool);
        let prefill = self.targets.prefill_time(chosen.choice.prefill_tokens);
        let expected = expected.unwrap_or_default().max(prefill);
        let arrived_at = self.queues.time(Instant::now());
        let due = self.queues.time(request.arrived_at) + target;
        let latest_start = due.saturating_sub(expected);
        let min_wait = arrived_at + target.mul_f64(MIN_WAIT_SHARE);
        let deadline = self.queues.time(request.deadline);
        WaitingRequest {
            rank: request.rank(),
            team: request.team_id().cloned().unwrap_or_default(),
            arrived_at,
            latest_start,
            wait_until: latest_start.max(min_wait).min(deadline),
            work: u64::from(chosen.choice.prefill_tokens) + request.metadata.max_output_tokens,
        }
    }

    /// Returns the refusal of a waiting request, with a time to return at which capacity is expected.
    fn refuse(
        request: &GatewayRequest,
        ticket: &AdmissionTicket,
        reason: &'static str,
    ) -> RefusalNotice {
        let forecast = ticket.forecast();
        let wait = forecast.and_then(|forecast: WaitForecast| forecast.wait);
        info!("admit: refused", kv: {
            request = request.log_id(),
            rank = request.rank(),
            position = forecast.map_or(0, |forecast| forecast.position),
            expected_wait_ms:? = wait.map(|wait| wait.as_millis()),
            slots_per_second:? = forecast.and_then(|forecast| forecast.rate),
            held_ms = request.arrived_at.elapsed().as_millis(),
            reason = reason,
        });
        let longest = request.time_left().mul_f64(MAX_RETRY_SHARE);
        let longest = wait.map_or(longest, |wait: Duration| wait.min(longest));
        let delay = random_duration(longest.mul_f64(MIN_RETRY_SHARE), longest);
        unavailable(reason).with_retry_after(delay)
    }
}
