use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use http_body_util::BodyExt;
use hyper::{
    Request, Response, StatusCode,
    body::{Body, Incoming},
    header::{CONNECTION, CONTENT_LENGTH, HeaderValue},
};
use rand::Rng;
use smallvec::SmallVec;
use spdlog::prelude::*;
use tokio::sync::watch;

use super::{
    admission_queues::AdmissionQueues,
    cold_choice::AdmittedTarget,
    connections::TargetConnections,
    crash_watch::CrashWatch,
    exchange::{self, ExchangeStart, LoadGuard, StartedExchange},
    part_watch::RequestParts,
    passing::{OwnAnswer, RequestPassing},
    plan_lease::{PlanLease, PlanStanding},
    relay::{RelayBody, RelayedAnswer},
    request::GatewayRequest,
    request_body::read_body,
    retry_delay::add_retry_after,
    routing::{model_pool, prefix_blocks},
    standing_watch::StandingWatch,
    stream_origins::StreamOrigins,
    sync_client::SyncClient,
    targets::{ChosenTarget, TargetTable},
    view::{ModelDemand, PlanView},
};
use crate::{
    adapter::{PlatformAdapter, RefusalKind, RefusalNotice, RequestMetadata},
    admission::AdmissionOrder,
    answer::{AnswerFraming, EndCheck},
    entry::{SharedAllowance, body},
    ids::{RequestId, TargetId, TeamId},
    plan::{PlanIndex, TeamMatch},
    region::RegionTable,
    route::{ExchangeOutcome, PoolId, RetryBudget, RouteRequest, Warmth},
    sync::ServedModel,
};

/// Body of an answer to a caller.
pub type CallerBody = body::CallerBody;

/// Maximum number of attempts of one request that targets refuse without running it.
const MAX_REFUSED_ATTEMPTS: u32 = 3;
/// Assumed time-out of a caller that states no deadline.
const DEFAULT_CALLER_TIMEOUT: Duration = Duration::from_secs(5);

/// Where a request comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOrigin {
    Caller,
    /// Another gateway, which reaches no target.
    Neighbour,
}

/// Proxy that forwards callers' requests to targets.
pub struct GatewayProxy {
    pub adapter: Arc<dyn PlatformAdapter>,
    pub view: Arc<PlanView>,
    pub targets: Arc<TargetTable>,
    pub connections: Arc<TargetConnections>,
    pub allowance: Arc<SharedAllowance>,
    pub demand: Arc<ModelDemand>,
    pub sync_client: Arc<SyncClient>,
    pub crash_watch: Arc<CrashWatch>,
    pub stream_origins: Arc<StreamOrigins>,
    pub retry_budget: std::sync::Mutex<RetryBudget>,
    pub started_at: Instant,
    pub plan_lease: PlanLease,
    pub standing_watch: StandingWatch,
    pub regions: Arc<RegionTable>,
    pub admission_order: AdmissionOrder,
    /// Requests that wait for capacity, if they wait in order.
    pub queues: Arc<AdmissionQueues>,
    /// Passing of requests to other gateways.
    pub passing: RequestPassing,
    /// Whether callers' connections are closed after the request in progress.
    pub is_closing: AtomicBool,
    /// Becomes true once new and waiting requests are refused.
    pub is_refusing: watch::Receiver<bool>,
}

impl GatewayProxy {
    /// Answers a request.
    pub async fn serve(
        &self,
        request: Request<Incoming>,
        origin: RequestOrigin,
    ) -> Response<CallerBody> {
        match origin {
            RequestOrigin::Caller => self.answer(request, None).await,
            RequestOrigin::Neighbour => self.serve_passed(request).await,
        }
    }

    /// Answers a request that may be passed on, unless another gateway has passed it to this one with the time
    /// that is left.
    pub(super) async fn answer(
        &self,
        request: Request<Incoming>,
        passed_time: Option<Duration>,
    ) -> Response<CallerBody> {
        let arrived_at = Instant::now();
        let (parts, incoming) = request.into_parts();
        let mut metadata = self.adapter.parse_request(&parts);
        if let Some(time_left) = passed_time {
            let deadline = metadata.deadline;
            metadata.deadline = Some(deadline.map_or(time_left, |time| time.min(time_left)));
        }
        let request_id = metadata.request_id.clone().unwrap_or_default();
        let caller_timeout = metadata.deadline.unwrap_or(DEFAULT_CALLER_TIMEOUT);
        let response = match self
            .read_request(arrived_at, parts, incoming, metadata)
            .await
        {
            Ok(mut request) => {
                let may_pass = passed_time.is_none();
                self.answer_matched(&mut request, may_pass).await
            }
            Err(notice) => Err(notice),
        };
        let mut response = response.unwrap_or_else(|notice| {
            let notice =
                add_retry_after(notice, caller_timeout.saturating_sub(arrived_at.elapsed()));
            self.refusal_response(&request_id, &notice, arrived_at)
        });
        if self.is_closing.load(Ordering::Relaxed) {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        response
    }

    fn refusal_response(
        &self,
        request: &RequestId,
        notice: &RefusalNotice,
        arrived_at: Instant,
    ) -> Response<CallerBody> {
        let (status, headers) = self.adapter.build_refusal(notice);
        info!("gateway: refused", kv: {
            request = request.as_str(),
            status = status.as_u16(),
            reason = notice.reason,
            held_ms = arrived_at.elapsed().as_millis(),
        });
        let mut response = Response::new(body::empty());
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        response
            .extensions_mut()
            .insert(OwnAnswer { kind: notice.kind });
        response
    }

    /// Reads the request in full and matches it with the plan.
    async fn read_request(
        &self,
        arrived_at: Instant,
        parts: hyper::http::request::Parts,
        incoming: Incoming,
        metadata: RequestMetadata,
    ) -> Result<GatewayRequest, RefusalNotice> {
        if *self.is_refusing.borrow() {
            return Err(unavailable("the gateway stops"));
        }
        let plan = self.view.get();
        let plan = plan.ok_or_else(|| unavailable("no plan is known yet"))?;
        let proof_age = self.view.proof_age();
        let standing = self.plan_standing(&plan, proof_age);
        if standing == PlanStanding::Outdated {
            return Err(unavailable("the plan may be outdated"));
        }
        let host = parts
            .headers
            .get(hyper::header::HOST)
            .and_then(|host| host.to_str().ok())
            .unwrap_or_default();
        let host = host.split_once(':').map_or(host, |(host, _)| host);
        let route = plan.route(host, parts.uri.path());
        let route = route.ok_or_else(|| {
            let refusal = RefusalNotice::new(RefusalKind::NoRoute, "no route matches");
            Self::unknown_in_plan(refusal, standing)
        })?;
        let team = match plan.team(route, metadata.key.as_deref()) {
            TeamMatch::Team(team) => Some(team),
            TeamMatch::Anonymous => None,
            TeamMatch::Unknown => {
                let unknown = RefusalNotice::new(RefusalKind::UnknownKey, "unknown key");
                return Err(Self::unknown_in_plan(unknown, standing));
            }
        };
        let scope = self.region_scope(&metadata, route, team.as_deref())?;
        let limit = route.timeout;
        let limit = metadata
            .deadline
            .map_or(limit, |deadline| deadline.min(limit));
        let body = read_body(incoming, plan.plan().limits.max_body_bytes, limit);
        Ok(GatewayRequest {
            body: body.await?,
            route: Arc::clone(route),
            team,
            arrived_at,
            deadline: arrived_at + limit,
            prefix_blocks: prefix_blocks(
                metadata.model.as_deref().unwrap_or_default(),
                &metadata.parts,
            ),
            parts,
            metadata,
            plan,
            proof_age,
            origin: None,
            scope,
        })
    }

    fn plan_standing(&self, plan: &PlanIndex, proof_age: Option<Duration>) -> PlanStanding {
        let mut was_leaderless = false;
        let standing = self.plan_lease.standing(proof_age, |doubtful| {
            was_leaderless = self.sync_client.was_leaderless(doubtful);
            was_leaderless
        });
        let version = plan.plan().version;
        self.standing_watch
            .record(standing, was_leaderless, version, proof_age);
        standing
    }

    /// Returns the refusal of a request that the plan does not allow. A newer plan may allow it, so
    /// this is only said under a lease of the plan.
    fn unknown_in_plan(refusal: RefusalNotice, standing: PlanStanding) -> RefusalNotice {
        match standing {
            PlanStanding::Leased => refusal,
            _ => unavailable("the plan may be outdated"),
        }
    }

    pub(super) async fn forward(
        &self,
        request: &GatewayRequest,
    ) -> Result<Response<CallerBody>, RefusalNotice> {
        let sample = rand::rng().random();
        let service = match &request.origin {
            Some((service, _)) => Some(service),
            None => request.route.service(sample),
        };
        let service = service.and_then(|id| request.plan.service(id));
        let service = service.ok_or_else(|| unavailable("the route has no service"))?;
        self.check_evacuation(&service.id)?;
        let model = match (&service.engine, &request.metadata.model) {
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
        let crash_parts = request.crash_parts(&service.id);
        self.check_parts(&crash_parts)?;
        if let Some(model) = &model {
            self.demand.record(model, request.token_cost());
            self.await_model(request, model, &pool).await?;
        }
        let mut tokens = self.reserve_tokens(request).await?;
        let response = match self.await_capacity(request, &pool).await {
            Ok(admitted) => {
                // Reserved tokens are not refilled, so they count as used from here on. If all
                // targets refuse the request, the team loses them.
                if let Some(tokens) = &mut tokens {
                    tokens.consume(request.token_cost());
                }
                self.dispatch(request, model.as_ref(), &pool, &crash_parts, admitted)
                    .await
            }
            Err(notice) => Err(notice),
        };
        match (tokens, &response) {
            // The request did not run, so its tokens can be used again.
            (Some(tokens), Err(notice)) if notice.kind.is_unserved() => {
                tokens.release();
            }
            (Some(tokens), _) => tokens.settle(request.token_cost()),
            (None, _) => {}
        }
        response
    }

    /// Refuses a request with a part that crashes targets. Requests like it have run, and a repeat of
    /// it would be refused as well, so the refusal promises nothing and states no retry delay.
    fn check_parts(&self, parts: &RequestParts) -> Result<(), RefusalNotice> {
        if self.crash_watch.is_blocked(parts) {
            let reason = "a part of the request crashes targets";
            return Err(RefusalNotice::new(RefusalKind::TargetFailed, reason));
        }
        Ok(())
    }

    pub(super) fn choose(
        &self,
        request: &GatewayRequest,
        pool: &PoolId,
        tried: &[TargetId],
        warmth: Option<Warmth>,
    ) -> Option<ChosenTarget> {
        // A stream goes on only at the version that began it.
        let others = request.origin.as_ref().map(|(service, version)| {
            let (_, mut others) = self.targets.split_by_software(service, version);
            others.extend_from_slice(tried);
            others
        });
        let tried = others.as_deref().unwrap_or(tried);
        let prompt_tokens = u32::try_from(request.metadata.prompt_tokens).unwrap_or(u32::MAX);
        self.targets.choose(&RouteRequest {
            pool,
            version: None,
            prompt_tokens,
            prefix: &request.prefix_blocks,
            tried,
            data_centres: &request.scope.data_centres,
            priority: 9 - request.rank(),
            warmth,
        })
    }

    /// Sends a request to targets until one answers.
    async fn dispatch(
        &self,
        request: &GatewayRequest,
        model: Option<&ServedModel>,
        pool: &PoolId,
        crash_parts: &RequestParts,
        admitted: AdmittedTarget,
    ) -> Result<Response<CallerBody>, RefusalNotice> {
        let team = request.team_id().cloned().unwrap_or_default();
        self.with_retry_budget(|budget, now| budget.record_request(&team, now));
        let mut tried: SmallVec<[TargetId; 4]> = SmallVec::new();
        let mut first_choice = Some(admitted);
        let mut possible_runs = 0;
        let mut refusals = 0;
        let mut unreachable = 0;
        loop {
            let admitted = match first_choice.take() {
                Some(admitted) => Some(admitted),
                None => self.choose_again(request, pool, &tried).await,
            };
            let Some(AdmittedTarget { chosen, permit }) = admitted else {
                let reason = request.no_target_reason("no target can take the request");
                let refusal = not_run_refusal(refusals, unreachable, reason);
                return Err(Self::no_target_refusal(possible_runs, refusal));
            };
            // The block may have begun while the request waited or ran elsewhere.
            self.check_parts(crash_parts)?;
            let target = chosen.choice.target.clone();
            let crash_watch = &self.crash_watch;
            let guard = LoadGuard::new(&self.targets, &chosen, request, crash_watch, crash_parts);
            let adapter = self.adapter.as_ref();
            let started = exchange::start(adapter, &self.connections, request, guard, permit).await;
            let reason = match started {
                ExchangeStart::Answered(started)
                    if started.response.status().is_server_error()
                        && self.may_run_again(request, &team, possible_runs + 1) =>
                {
                    possible_runs += 1;
                    "the target failed"
                }
                ExchangeStart::Answered(started) => {
                    let first_byte = started.guard.sent_at.elapsed();
                    self.queues.record_first_byte(pool, first_byte);
                    return self.relay_response(request, *started);
                }
                ExchangeStart::NotRun(reason) => {
                    refusals += 1;
                    reason
                }
                ExchangeStart::Unreachable => {
                    refusals += 1;
                    unreachable += 1;
                    "the target accepts no connection"
                }
                // The target is not chosen again while its data centre is evacuated.
                ExchangeStart::Evacuated => continue,
                ExchangeStart::Misdirected => {
                    refusals += 1;
                    if let Some(model) = model {
                        self.targets.remove_model(&request.plan, &target, model);
                    }
                    "the target does not hold the model"
                }
                ExchangeStart::MayHaveRun(reason) => {
                    possible_runs += 1;
                    if !self.may_run_again(request, &team, possible_runs) {
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
                request = request.log_id(),
                target = target.as_str(),
                reason = reason,
            });
            if refusals >= MAX_REFUSED_ATTEMPTS || (refusals > 0 && !self.take_retry(&team)) {
                let refusal = not_run_refusal(refusals, unreachable, reason);
                return Err(Self::no_target_refusal(possible_runs, refusal));
            }
            tried.push(target);
        }
    }

    /// Returns the refusal of a request that no target accepts. `refusal` promises that the request has
    /// not run, so it is returned only if no earlier attempt may have run it.
    pub(super) fn no_target_refusal(possible_runs: u32, refusal: RefusalNotice) -> RefusalNotice {
        match possible_runs {
            0 => refusal,
            _ => RefusalNotice::new(RefusalKind::TargetFailed, refusal.reason),
        }
    }

    fn relay_response(
        &self,
        request: &GatewayRequest,
        started: StartedExchange,
    ) -> Result<Response<CallerBody>, RefusalNotice> {
        let StartedExchange {
            response,
            metadata,
            connection,
            mut guard,
        } = started;
        let first_byte = guard.sent_at.elapsed();
        let status = response.status();
        guard.record_outcome(if status.is_server_error() {
            ExchangeOutcome::Failed
        } else {
            ExchangeOutcome::Answered { first_byte }
        });
        if status.is_success() && !metadata.is_signed {
            let reason = "the answer is not signed";
            return Err(RefusalNotice::new(RefusalKind::TargetFailed, reason));
        }
        if means_not_run(status) && !metadata.is_not_executed {
            let reason = "the target refused without a statement that it did not run the request";
            return Err(RefusalNotice::new(RefusalKind::TargetFailed, reason));
        }
        let (mut parts, incoming) = response.into_parts();
        let framing = AnswerFraming::new(&parts.headers, incoming.size_hint().exact());
        let end_check = EndCheck::new(framing, &parts.headers);
        let choice = &guard.chosen.choice;
        info!("gateway: answered", kv: {
            request = request.log_id(),
            route = request.route.id.as_str(),
            plan = request.plan.plan().version,
            proof_age_ms:? = request.proof_age.map(|age| age.as_millis()),
            team = request.team_id().map_or("-", |team| team.as_str()),
            tokens = request.token_cost(),
            target = choice.target.as_str(),
            load = choice.load,
            status = status.as_u16(),
            framing = framing.name(),
            waited_ms = guard.sent_at.saturating_duration_since(request.arrived_at).as_millis(),
            first_byte_ms = first_byte.as_millis(),
        });
        for name in [
            hyper::header::CONNECTION.as_str(),
            hyper::header::TRANSFER_ENCODING.as_str(),
            "keep-alive",
        ] {
            parts.headers.remove(name);
        }
        if end_check.hides_length() {
            parts.headers.remove(CONTENT_LENGTH);
        }
        let request_id = request.metadata.request_id.clone().unwrap_or_default();
        let run = self.begin_stream(request, status.is_success(), &guard.chosen.choice.target);
        let answer = RelayedAnswer {
            run,
            incoming,
            framing,
            end_check,
            is_success: status.is_success(),
        };
        let relay = RelayBody::new(
            answer,
            connection,
            &self.connections,
            guard,
            request.deadline,
            request_id,
        );
        Ok(Response::from_parts(parts, relay.boxed_unsync()))
    }

    /// Returns whether a request that may have run this many times may be sent once more, and takes the retry from the
    /// team's budget if so.
    pub(super) fn may_run_again(
        &self,
        request: &GatewayRequest,
        team: &TeamId,
        possible_runs: u32,
    ) -> bool {
        request.route.kind.is_repeatable()
            && possible_runs < request.route.max_attempts
            && self.take_retry(team)
    }

    fn take_retry(&self, team: &TeamId) -> bool {
        self.with_retry_budget(|budget, now| budget.try_withdraw(team, now))
    }

    fn with_retry_budget<T>(&self, operation: impl FnOnce(&mut RetryBudget, Duration) -> T) -> T {
        let mut budget = self
            .retry_budget
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        operation(&mut budget, self.started_at.elapsed())
    }
}

/// Returns whether a status promises that the request has not run.
fn means_not_run(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

/// Returns the refusal of a request that has not run. Another gateway may reach targets if this one could not
/// connect to any that it tried.
fn not_run_refusal(refusals: u32, unreachable: u32, reason: &'static str) -> RefusalNotice {
    if unreachable > 0 && unreachable == refusals {
        RefusalNotice::new(RefusalKind::Unreachable, reason)
    } else {
        unavailable(reason)
    }
}

pub(super) fn unavailable(reason: &'static str) -> RefusalNotice {
    RefusalNotice::new(RefusalKind::Unavailable, reason)
}
