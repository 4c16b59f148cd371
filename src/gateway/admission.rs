//! Admission of a request before it is sent: waits for its model, for tokens of its team and for
//! free capacity at a target.

use std::time::{Duration, Instant};

use spdlog::prelude::*;

use super::{
    cold_choice::{AdmittedTarget, RefusedTargets},
    proxy::{GatewayProxy, unavailable},
    request::GatewayRequest,
    retry_delay::random_duration,
    routing::split_model,
};
use crate::{
    adapter::{RefusalKind, RefusalNotice},
    admission::AdmissionOrder,
    entry::{ReservedTokens, TokenPatience, TokenRefusal},
    route::{PoolId, Warmth},
    sync::{AwaitedModel, ServedModel},
};

/// Share of the first-byte target that a request waits for tokens of its team; a longer wait would
/// make it miss that target.
const TOKEN_WAIT_SHARE: f64 = 0.25;
/// Maximum wait for tokens, whatever the first-byte target.
const MAX_TOKEN_WAIT: Duration = Duration::from_millis(400);
/// Share of the time left that a request waits for its model to be loaded.
const LOAD_WAIT_SHARE: f64 = 0.6;
/// Expected time to load an adapter, which includes the delivery of the order and several loads
/// queued before it.
const ADAPTER_LOAD_TIME: Duration = Duration::from_millis(800);
/// Minimum wait for tokens, which allows for two syncs.
const MIN_TOKEN_WAIT: Duration = Duration::from_millis(60);
/// Share of the time left that a request waits for tokens while there is no leader.
const LEADER_WAIT_SHARE: f64 = 0.4;
/// Share of the first-byte target that a request waits for free capacity at a target.
const CAPACITY_WAIT_SHARE: f64 = 0.35;
/// Interval at which a waiting request checks for free capacity.
const CAPACITY_POLL_INTERVAL: Duration = Duration::from_millis(15);

impl GatewayProxy {
    /// Waits until a target holds the model. Rejects the request if the model cannot be loaded in
    /// time.
    pub(super) async fn await_model(
        &self,
        request: &GatewayRequest,
        model: &ServedModel,
        pool: &PoolId,
    ) -> Result<(), RefusalNotice> {
        if self.choose(request, pool, &[], None).is_some() {
            return Ok(());
        }
        let (base, adapter) = split_model(&model.model);
        let service = request.plan.service(&model.service);
        let engine = service.and_then(|service| service.engine.as_ref());
        let Some(plan) = engine.and_then(|engine| engine.model(base)) else {
            let unknown = RefusalNotice::new(RefusalKind::Malformed, "the model is not configured");
            return Err(unknown);
        };
        let max_wait = request.time_left().mul_f64(LOAD_WAIT_SHARE);
        let load_time = match adapter {
            Some(_) => ADAPTER_LOAD_TIME.min(max_wait),
            None => plan.load_time,
        };
        let awaited = AwaitedModel {
            model: model.clone(),
            regions: request.scope.limit.clone(),
        };
        request.log_regional_model(&awaited);
        self.sync_client.request_model(&awaited);
        if load_time > max_wait {
            let delay = random_duration(load_time / 2, load_time);
            return Err(unavailable("the model is being loaded").with_retry_after(delay));
        }
        let deadline = tokio::time::Instant::now() + max_wait;
        let _waiter = self.sync_client.add_waiter(&awaited);
        while self.choose(request, pool, &[], None).is_none() {
            self.check_evacuation(&model.service)?;
            let mut is_refusing = self.is_refusing.clone();
            let stopped = async {
                // An error means that the daemon has ended.
                let _ = is_refusing.wait_for(|is_refusing| *is_refusing).await;
            };
            tokio::select! {
                () = self.targets.list_changed() => {}
                () = stopped => return Err(unavailable("the gateway stops")),
                () = tokio::time::sleep_until(deadline) => {
                    let reason = request.no_target_reason("no target holds the model");
                    return Err(unavailable(reason));
                }
            }
        }
        Ok(())
    }

    /// Waits until a target has free capacity, or rejects the request while it can still be served
    /// elsewhere or later. Another request at a full engine would only delay those that run there.
    pub(super) async fn await_capacity(
        &self,
        request: &GatewayRequest,
        pool: &PoolId,
    ) -> Result<AdmittedTarget, RefusalNotice> {
        if self.admission_order == AdmissionOrder::Ranked {
            return self.await_turn(request, pool).await;
        }
        let max_wait = request.route.first_byte_target.mul_f64(CAPACITY_WAIT_SHARE);
        let deadline = Instant::now() + max_wait.min(request.time_left() / 4);
        let mut refused = RefusedTargets::new();
        loop {
            let capacity_freed = self.targets.capacity_freed();
            let chosen = self.choose(request, pool, &[], Some(Warmth::Warm));
            let max_gap = request.route.event_gap_target;
            let has_warm = chosen.is_some();
            match chosen {
                Some(chosen) if self.targets.is_brittle(&chosen.choice.target) => {
                    let admitted = self.admit_brittle(request, pool, &[], chosen).await;
                    if let Some(admitted) = admitted {
                        return Ok(admitted);
                    }
                }
                Some(chosen) if self.targets.has_room(&chosen, max_gap) => {
                    return Ok(AdmittedTarget::warm(chosen));
                }
                _ => {}
            }
            let has_cold = self.targets.has_cold()
                && self
                    .choose(request, pool, &[], Some(Warmth::Cold))
                    .is_some();
            if has_cold && let Some(admitted) = self.reserve_cold(request, pool, &mut refused).await
            {
                return Ok(admitted);
            }
            match (has_warm, has_cold) {
                (false, false) => {
                    let reason = request.no_target_reason("no target can take the request");
                    return Err(unavailable(reason));
                }
                _ if Instant::now() < deadline => {}
                (true, false) => return Err(unavailable("all targets are full")),
                (_, true) => {
                    return Err(unavailable(
                        "all warm targets are full, and cold ones are at their warm-up limit",
                    ));
                }
            }
            // Not every change of capacity sends a notification, so poll as well.
            let _ = tokio::time::timeout(CAPACITY_POLL_INTERVAL, capacity_freed).await;
        }
    }

    /// Reserves tokens of the team for a request; `None` when the team has no limit.
    pub(super) async fn reserve_tokens(
        &self,
        request: &GatewayRequest,
    ) -> Result<Option<ReservedTokens>, RefusalNotice> {
        let Some(team) = request.team.as_ref().filter(|team| team.limit.is_some()) else {
            return Ok(None);
        };
        let wait = request.route.first_byte_target.mul_f64(TOKEN_WAIT_SHARE);
        let now = Instant::now();
        let patience = TokenPatience {
            shortage: now + wait.clamp(MIN_TOKEN_WAIT, MAX_TOKEN_WAIT),
            answer: now + request.time_left().mul_f64(LEADER_WAIT_SHARE),
        };
        let priority = 9 - request.rank();
        let tokens = request.token_cost();
        let mut is_refusing = self.is_refusing.clone();
        let stopped = async {
            // An error means that the daemon has ended.
            let _ = is_refusing.wait_for(|is_refusing| *is_refusing).await;
            tokio::time::sleep(MAX_TOKEN_WAIT).await;
        };
        let reserved = tokio::select! {
            reserved = self.allowance.reserve(&team.id, tokens, priority, patience) => reserved,
            () = stopped => Err(TokenRefusal::Unanswered),
        };
        match reserved {
            Ok(tokens) => Ok(Some(tokens)),
            Err(TokenRefusal::OverLimit) => {
                info!("gateway: over limit", kv: {
                    request = request.log_id(),
                    team = team.id.as_str(),
                    tokens = tokens,
                    plan = request.plan.plan().version,
                });
                let kind = RefusalKind::OverLimit;
                Err(RefusalNotice::new(kind, "the team is over its limit"))
            }
            Err(TokenRefusal::Unanswered) => Err(unavailable("no leader grants tokens")),
        }
    }
}
