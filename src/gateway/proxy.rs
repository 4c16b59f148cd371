use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::{CONNECTION, HeaderValue},
};
use rand::Rng;
use smallvec::SmallVec;
use spdlog::prelude::*;
use tokio::sync::watch;

use super::{
    connections::TargetConnections,
    exchange::{self, ExchangeStart, StartedExchange, TargetPlace},
    follower::GatewayFollower,
    pools::{model_pool, prefix_blocks},
    relay::RelayBody,
    request::GatewayRequest,
    targets::{ChosenTarget, TargetTable},
    view::{ModelDemand, PlanView},
};
use crate::{
    adapter::{PlatformAdapter, RefusalKind, RefusalNotice, RequestMetadata},
    entry::{SharedAllowance, body},
    ids::{RequestId, TargetId, TeamId},
    plan::TeamMatch,
    route::{ExchangeOutcome, PoolId, RetryBudget, RouteRequest},
    sync::ServedModel,
};

/// Body of an answer to a caller.
pub type CallerBody = body::CallerBody;

/// Sends of one request that targets may refuse without running it.
const MAX_REFUSED_SENDS: u32 = 3;
/// Shortest and longest part of its time after which a caller is told to come back. Room appears
/// within seconds, a caller that still has three quarters of its time can be served then, and the
/// spread keeps callers that were refused together from coming back together.
const RETURN_SHARE: [f64; 2] = [0.1, 0.25];
/// Time that a caller is taken to have when it does not say.
const DEFAULT_PATIENCE: Duration = Duration::from_secs(5);

/// Forwards callers' requests.
pub struct GatewayProxy {
    pub adapter: Arc<dyn PlatformAdapter>,
    pub view: Arc<PlanView>,
    pub targets: Arc<TargetTable>,
    pub connections: Arc<TargetConnections>,
    pub allowance: Arc<SharedAllowance>,
    pub demand: Arc<ModelDemand>,
    pub follower: Arc<GatewayFollower>,
    pub retries: std::sync::Mutex<RetryBudget>,
    pub started: Instant,
    /// Whether connections end after their running request.
    pub is_closing: AtomicBool,
    /// Turns true when new and waiting requests are refused.
    pub refusing: watch::Receiver<bool>,
}

impl GatewayProxy {
    /// Answers a caller's request.
    pub async fn serve(&self, request: Request<Incoming>) -> Response<CallerBody> {
        let arrived = Instant::now();
        let (parts, incoming) = request.into_parts();
        let facts = self.adapter.parse_request(&parts);
        let name = facts.request_id.clone().unwrap_or_default();
        let patience = facts.deadline.unwrap_or(DEFAULT_PATIENCE);
        let answered = match self.read(arrived, parts, incoming, facts).await {
            Ok(request) => self.forward(&request).await,
            Err(notice) => Err(notice),
        };
        let mut response = answered.unwrap_or_else(|notice| {
            let notice = with_return(notice, patience.saturating_sub(arrived.elapsed()));
            self.refuse(&name, &notice, arrived)
        });
        if self.is_closing.load(Ordering::Relaxed) {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        response
    }

    fn refuse(
        &self,
        request: &RequestId,
        notice: &RefusalNotice,
        arrived: Instant,
    ) -> Response<CallerBody> {
        let (status, headers) = self.adapter.build_refusal(notice);
        info!("gateway: refused", kv: {
            request = request.as_str(),
            status = status.as_u16(),
            reason = notice.reason,
            held_ms = arrived.elapsed().as_millis(),
        });
        let mut response = Response::new(body::empty());
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        response
    }

    /// Reads the whole request and matches it with the plan.
    async fn read(
        &self,
        arrived: Instant,
        parts: hyper::http::request::Parts,
        incoming: Incoming,
        facts: RequestMetadata,
    ) -> Result<GatewayRequest, RefusalNotice> {
        if *self.refusing.borrow() {
            return Err(unavailable("the gateway stops"));
        }
        let plan = self.view.get();
        let plan = plan.ok_or_else(|| unavailable("no plan is known yet"))?;
        let host = parts
            .headers
            .get(hyper::header::HOST)
            .and_then(|host| host.to_str().ok())
            .unwrap_or_default();
        let host = host.split_once(':').map_or(host, |(host, _)| host);
        let route = plan.route(host, parts.uri.path());
        let route = route.ok_or(RefusalNotice::new(RefusalKind::NoRoute, "no route matches"))?;
        let team = match plan.team(route, facts.key.as_deref()) {
            TeamMatch::Team(team) => Some(team),
            TeamMatch::Anonymous => None,
            TeamMatch::Unknown => {
                return Err(RefusalNotice::new(RefusalKind::UnknownKey, "unknown key"));
            }
        };
        let limit = route.timeout;
        let limit = facts.deadline.map_or(limit, |deadline| deadline.min(limit));
        let body = self.read_body(incoming, plan.plan().limits.max_body_bytes, limit);
        Ok(GatewayRequest {
            body: body.await?,
            route: Arc::clone(route),
            team,
            arrived,
            deadline: arrived + limit,
            prefix: prefix_blocks(facts.model.as_deref().unwrap_or_default(), &facts.parts),
            parts,
            facts,
            plan,
        })
    }

    async fn read_body(
        &self,
        incoming: Incoming,
        most: usize,
        limit: Duration,
    ) -> Result<Bytes, RefusalNotice> {
        let malformed = RefusalNotice::new(RefusalKind::Malformed, "the body is cut short");
        let whole = Limited::new(incoming, most).collect();
        match tokio::time::timeout(limit, whole).await {
            Ok(Ok(whole)) => Ok(whole.to_bytes()),
            Ok(Err(error)) if error.is::<LengthLimitError>() => Err(RefusalNotice::new(
                RefusalKind::BodyTooLong,
                "the body is too long",
            )),
            Ok(Err(_)) => Err(malformed),
            Err(_) => Err(unavailable("the body did not arrive in time")),
        }
    }

    async fn forward(
        &self,
        request: &GatewayRequest,
    ) -> Result<Response<CallerBody>, RefusalNotice> {
        let draw = rand::rng().random();
        let service = request.route.service(draw);
        let service = service.and_then(|id| request.plan.service(id));
        let service = service.ok_or_else(|| unavailable("the route has no service"))?;
        let model = match (&service.engine, &request.facts.model) {
            (Some(_), Some(model)) => Some(ServedModel {
                service: service.id.clone(),
                model: model.clone(),
            }),
            _ => None,
        };
        let pool = match &model {
            Some(model) => model_pool(model),
            None => PoolId::Service(service.id.clone()),
        };
        if let Some(model) = &model {
            self.demand.record(model, request.cost());
            self.await_model(request, model, &pool).await?;
        }
        let tokens = self.reserve(request).await?;
        let sent = match self.await_room(request, &pool).await {
            Ok(chosen) => self.send(request, model.as_ref(), &pool, chosen).await,
            Err(notice) => Err(notice),
        };
        match (tokens, &sent) {
            // Nothing ran, so that the tokens can be used again.
            (Some(tokens), Err(notice)) if notice.kind == RefusalKind::Unavailable => {
                tokens.release();
            }
            (Some(tokens), _) => tokens.settle(request.cost()),
            (None, _) => {}
        }
        sent
    }

    pub(super) fn choose(
        &self,
        request: &GatewayRequest,
        pool: &PoolId,
        tried: &[TargetId],
    ) -> Option<ChosenTarget> {
        let prompt_tokens = u32::try_from(request.facts.prompt_tokens).unwrap_or(u32::MAX);
        self.targets.choose(&RouteRequest {
            pool,
            version: None,
            prompt_tokens,
            prefix: &request.prefix,
            tried,
            priority: 9 - request.rank(),
        })
    }

    /// Sends a request to targets until one answers.
    async fn send(
        &self,
        request: &GatewayRequest,
        model: Option<&ServedModel>,
        pool: &PoolId,
        first: ChosenTarget,
    ) -> Result<Response<CallerBody>, RefusalNotice> {
        let team = request.team_id().cloned().unwrap_or_default();
        self.count(|budget, now| budget.record_request(&team, now));
        let mut tried: SmallVec<[TargetId; 4]> = SmallVec::new();
        let mut first = Some(first);
        let mut runs = 0;
        let mut refused = 0;
        loop {
            let chosen = first.take().or_else(|| self.choose(request, pool, &tried));
            let Some(chosen) = chosen else {
                return Err(Self::give_up(runs, "no target can take the request"));
            };
            let target = chosen.choice.target.clone();
            let place = TargetPlace::new(&self.targets, &chosen, request);
            let adapter = self.adapter.as_ref();
            let started = exchange::start(adapter, &self.connections, request, place).await;
            let reason = match started {
                ExchangeStart::Answered(started)
                    if started.response.status().is_server_error()
                        && request.route.kind.is_repeatable()
                        && runs + 1 < request.route.max_attempts
                        && self.may_repeat(&team) =>
                {
                    runs += 1;
                    "the target failed"
                }
                ExchangeStart::Answered(started) => return self.relay(request, *started),
                ExchangeStart::NotRun(reason) => {
                    refused += 1;
                    reason
                }
                ExchangeStart::Misdirected => {
                    refused += 1;
                    if let Some(model) = model {
                        self.targets.forget(&request.plan, &target, model);
                    }
                    "the target does not hold the model"
                }
                ExchangeStart::MayHaveRun(reason) => {
                    runs += 1;
                    if !request.route.kind.is_repeatable()
                        || runs >= request.route.max_attempts
                        || !self.may_repeat(&team)
                    {
                        return Err(RefusalNotice::new(RefusalKind::TargetFailed, reason));
                    }
                    reason
                }
                ExchangeStart::TimedOut => {
                    let reason = "the target did not answer in time";
                    return Err(RefusalNotice::new(RefusalKind::TimedOut, reason));
                }
            };
            info!("gateway: sends again", kv: {
                request = request.name(),
                target = target.as_str(),
                reason = reason,
            });
            if refused >= MAX_REFUSED_SENDS || (refused > 0 && !self.may_repeat(&team)) {
                return Err(Self::give_up(runs, reason));
            }
            tried.push(target);
        }
    }

    /// Ends a request that no target takes. It has not run unless a target may have run it before.
    fn give_up(runs: u32, reason: &'static str) -> RefusalNotice {
        match runs {
            0 => unavailable(reason),
            _ => RefusalNotice::new(RefusalKind::TargetFailed, reason),
        }
    }

    fn relay(
        &self,
        request: &GatewayRequest,
        started: StartedExchange,
    ) -> Result<Response<CallerBody>, RefusalNotice> {
        let StartedExchange {
            response,
            facts,
            connection,
            mut place,
        } = started;
        let first_byte = place.sent.elapsed();
        let status = response.status();
        place.observe(if status.is_server_error() {
            ExchangeOutcome::Failed
        } else {
            ExchangeOutcome::Answered { first_byte }
        });
        if status.is_success() && !facts.is_signed {
            let reason = "the answer is not signed";
            return Err(RefusalNotice::new(RefusalKind::TargetFailed, reason));
        }
        if is_promise(status) && !facts.is_not_executed {
            let reason = "the target refused without a statement that it did not run the request";
            return Err(RefusalNotice::new(RefusalKind::TargetFailed, reason));
        }
        let choice = &place.chosen.choice;
        info!("gateway: answered", kv: {
            request = request.name(),
            route = request.route.id.as_str(),
            plan = request.plan.plan().version,
            team = request.team_id().map_or("-", |team| team.as_str()),
            tokens = request.cost(),
            target = choice.target.as_str(),
            load = choice.load,
            status = status.as_u16(),
            waited_ms = place.sent.saturating_duration_since(request.arrived).as_millis(),
            first_byte_ms = first_byte.as_millis(),
        });
        let (mut parts, incoming) = response.into_parts();
        for name in [
            hyper::header::CONNECTION.as_str(),
            hyper::header::TRANSFER_ENCODING.as_str(),
            "keep-alive",
        ] {
            parts.headers.remove(name);
        }
        let name = request.facts.request_id.clone().unwrap_or_default();
        let relay = RelayBody::new(
            incoming,
            connection,
            &self.connections,
            place,
            request.deadline,
            name,
        );
        Ok(Response::from_parts(parts, relay.boxed_unsync()))
    }

    fn may_repeat(&self, team: &TeamId) -> bool {
        self.count(|budget, now| budget.try_withdraw(team, now))
    }

    fn count<T>(&self, change: impl FnOnce(&mut RetryBudget, Duration) -> T) -> T {
        let mut budget = self
            .retries
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        change(&mut budget, self.started.elapsed())
    }
}

/// Tells whether a status promises that the request has not run.
fn is_promise(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

pub(super) fn unavailable(reason: &'static str) -> RefusalNotice {
    RefusalNotice::new(RefusalKind::Unavailable, reason)
}

/// Tells a caller whose request has not run when to come back, unless that is known already.
fn with_return(notice: RefusalNotice, patience: Duration) -> RefusalNotice {
    match notice.kind {
        RefusalKind::OverLimit | RefusalKind::Unavailable if notice.retry_after.is_none() => {
            let [least, most] = RETURN_SHARE.map(|share| patience.mul_f64(share));
            notice.with_retry_after(spread(least, most))
        }
        _ => notice,
    }
}

pub(super) fn spread(least: Duration, most: Duration) -> Duration {
    rand::rng().random_range(least..=most)
}
