//! What a request waits for before it is sent: its model, its team's tokens, room at a target.

use std::time::{Duration, Instant};

use spdlog::prelude::*;

use super::{
    pools::split_model,
    proxy::{GatewayProxy, spread, unavailable},
    request::GatewayRequest,
    targets::ChosenTarget,
};
use crate::{
    adapter::{RefusalKind, RefusalNotice},
    entry::ReservedTokens,
    route::PoolId,
    sync::ServedModel,
};

/// Part of the latency target that a request waits for its team's tokens; more would make it late.
const TOKEN_WAIT_SHARE: f64 = 0.25;
/// Longest such wait, whatever the target.
const TOKEN_WAIT_LIMIT: Duration = Duration::from_millis(400);
/// Part of the time left that a request waits for its model to be loaded.
const LOAD_WAIT_SHARE: f64 = 0.6;
/// Time that an adapter may take to be loaded: the order's way, and several loads in line.
const ADAPTER_WAIT: Duration = Duration::from_millis(800);
/// Shortest such wait: two syncs.
const SHORTEST_TOKEN_WAIT: Duration = Duration::from_millis(60);
/// Part of the time left that a request waits for tokens while there is no leader.
const LEADER_WAIT_SHARE: f64 = 0.4;
/// Part of the latency target that a request waits for room at a target.
const ROOM_WAIT_SHARE: f64 = 0.35;
/// Time between two looks for room.
const ROOM_POLL: Duration = Duration::from_millis(15);

impl GatewayProxy {
    /// Waits until a target holds the model, if one can in time.
    pub(super) async fn await_model(
        &self,
        request: &GatewayRequest,
        model: &ServedModel,
        pool: &PoolId,
    ) -> Result<(), RefusalNotice> {
        if self.choose(request, pool, &[]).is_some() {
            return Ok(());
        }
        let (base, adapter) = split_model(&model.model);
        let engine = request.plan.service(&model.service);
        let plan = engine.and_then(|service| service.engine.as_ref());
        let Some(plan) = plan.and_then(|engine| engine.model(base)) else {
            let unknown = RefusalNotice::new(RefusalKind::Malformed, "the model is not configured");
            return Err(unknown);
        };
        let patience = request.left().mul_f64(LOAD_WAIT_SHARE);
        let load_time = match adapter {
            Some(_) => ADAPTER_WAIT.min(patience),
            None => plan.load_time,
        };
        self.follower.want(model);
        if load_time > patience {
            let delay = spread(load_time / 2, load_time);
            return Err(unavailable("the model is being loaded").with_retry_after(delay));
        }
        let until = tokio::time::Instant::now() + patience;
        let _wanted = self.follower.waiting(model);
        while self.choose(request, pool, &[]).is_none() {
            let mut refusing = self.refusing.clone();
            let stopped = async {
                // An error means that the daemon is gone.
                let _ = refusing.wait_for(|refusing| *refusing).await;
            };
            tokio::select! {
                () = self.targets.changed() => {}
                () = stopped => return Err(unavailable("the gateway stops")),
                () = tokio::time::sleep_until(until) => {
                    return Err(unavailable("no target holds the model"));
                }
            }
        }
        Ok(())
    }

    /// Waits until a target has room, or rejects the request while it can still be served elsewhere
    /// or later. More requests at a full engine would only make those late that run there.
    pub(super) async fn await_room(
        &self,
        request: &GatewayRequest,
        pool: &PoolId,
    ) -> Result<ChosenTarget, RefusalNotice> {
        let patience = request.route.first_byte_target.mul_f64(ROOM_WAIT_SHARE);
        let until = Instant::now() + patience.min(request.left() / 4);
        loop {
            let room = self.targets.room();
            let chosen = self.choose(request, pool, &[]);
            let pause = request.route.event_gap_target;
            match chosen {
                Some(chosen) if self.targets.has_room(&chosen, pause) => return Ok(chosen),
                Some(_) if Instant::now() < until => {}
                Some(_) => return Err(unavailable("all targets are full")),
                None => return Err(unavailable("no target can take the request")),
            }
            // Not every change is told, so that a request looks again by itself.
            let _ = tokio::time::timeout(ROOM_POLL, room).await;
        }
    }

    /// Reserves the team's tokens for a request.
    pub(super) async fn reserve(
        &self,
        request: &GatewayRequest,
    ) -> Result<Option<ReservedTokens>, RefusalNotice> {
        let Some(team) = request.team.as_ref().filter(|team| team.limit.is_some()) else {
            return Ok(None);
        };
        let wait = request.route.first_byte_target.mul_f64(TOKEN_WAIT_SHARE);
        let mut wait = wait.clamp(SHORTEST_TOKEN_WAIT, TOKEN_WAIT_LIMIT);
        let priority = 9 - request.rank();
        let last = Instant::now() + request.left().mul_f64(LEADER_WAIT_SHARE);
        loop {
            let until = Instant::now() + wait;
            let reserved = self
                .allowance
                .reserve(&team.id, request.cost(), priority, until);
            if let Some(tokens) = reserved.await {
                return Ok(Some(tokens));
            }
            if self.follower.is_in_touch() {
                info!("gateway: over limit", kv: {
                    request = request.name(),
                    team = team.id.as_str(),
                    tokens = request.cost(),
                    plan = request.plan.plan().version,
                });
                let kind = RefusalKind::OverLimit;
                return Err(RefusalNotice::new(kind, "the team is over its limit"));
            }
            if Instant::now() >= last || *self.refusing.borrow() {
                return Err(unavailable("no leader grants tokens"));
            }
            wait = TOKEN_WAIT_LIMIT;
        }
    }
}
