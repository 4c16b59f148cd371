use std::{sync::Arc, time::Duration};

use compact_str::CompactString;
use hyper::{
    Method, Request, Response,
    body::Incoming,
    header::{CONNECTION, HeaderValue},
    http::request::Parts,
};
use spdlog::prelude::*;

use super::{
    allowance::SharedAllowance,
    body::{self, CallerBody},
    candidates::TriedTargets,
    context::{Caller, RequestContext},
    control_client::ControlClient,
    crash::CrashRegistry,
    credential,
    demand::DemandCounter,
    header::strip_request,
    in_flight::InFlight,
    metrics::EntryMetrics,
    phase::{EntryPhase, PhaseReceiver},
    refusal::CallerError,
    retries::RetryLimits,
    scheduled::ScheduledRequest,
    scheduler::Scheduler,
    view::{EntryView, SharedView},
};
use crate::{
    border::{RouteAccess, RouteConfig, RouteKind},
    code::ResultCode,
    fleet::KeyHasher,
    ids::RequestId,
    route::PoolId,
};

/// Serves every caller's request on every path.
pub struct CallerProxy {
    /// What the entry knows of the fleet.
    pub view: Arc<SharedView>,
    /// Hashes callers' keys.
    pub hasher: KeyHasher,
    /// Queues requests and chooses targets.
    pub scheduler: Arc<Scheduler>,
    /// Demand per model, reported with each sync.
    pub demand: Arc<DemandCounter>,
    /// The entry's share of every team's allowance.
    pub allowance: Arc<SharedAllowance>,
    /// Sends claims to the leader.
    pub control: Arc<ControlClient>,
    /// Requests that took targets down.
    pub crashes: CrashRegistry,
    /// Retry budgets.
    pub retries: RetryLimits,
    /// Counters.
    pub metrics: Arc<EntryMetrics>,
    /// Requests that run or wait.
    pub in_flight: Arc<InFlight>,
    /// Whether new work is taken.
    pub phase: PhaseReceiver,
    /// Greatest age of the freshness proof with which keyed routes are served.
    pub freshness_bound: Duration,
}

impl CallerProxy {
    /// Serves one request. Dropping the future, as happens when the caller leaves, cancels the call
    /// to the target.
    pub async fn serve(self: Arc<Self>, request: Request<Incoming>) -> Response<CallerBody> {
        let id = RequestContext::new_id();
        let running = self.in_flight.enter();
        let (parts, incoming) = request.into_parts();
        let mut context = None;
        let mut response = match self.answer(&id, parts, incoming, &mut context).await {
            Ok(response) => {
                if let Some(context) = &context {
                    self.metrics.count_answered(context);
                }
                response
            }
            Err(error) => {
                self.refuse(context.as_deref(), &error);
                error.to_response()
            }
        };
        if self.phase.get() == EntryPhase::Draining {
            // The caller's next request goes to another entry.
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        response.map(|body| body::holding(body, running))
    }

    /// Logs and counts an error that a caller receives.
    pub fn refuse(&self, context: Option<&RequestContext>, error: &CallerError) {
        let team = context.and_then(RequestContext::team);
        let route = context.map(|context| &context.route.id);
        self.metrics
            .count_error(team.map(CompactString::as_str), route, error);
        info!(
            "entry: {} {} route {} team {}: {}",
            error.request_id(),
            error.code().name(),
            route.map_or("-", |route| route.as_str()),
            team.map_or("-", |team| team.as_str()),
            error.message()
        );
    }

    async fn answer(
        self: &Arc<Self>,
        id: &RequestId,
        mut parts: Parts,
        incoming: Incoming,
        known: &mut Option<Arc<RequestContext>>,
    ) -> Result<Response<CallerBody>, CallerError> {
        let refuse = |code: ResultCode, message: &str| CallerError::not_run(code, message, id);
        if self.phase.get() == EntryPhase::Draining {
            let message = "this entry is shutting down";
            return Err(refuse(ResultCode::ShuttingDown, message));
        }
        check_target(&parts).map_err(|message| refuse(ResultCode::MalformedRequest, message))?;
        let view = self.view.get();
        let path = parts.uri.path();
        let Some(route) = view.index.route(path).cloned() else {
            // A route may exist that this entry has not heard of, for example just after its start.
            if !view.is_fresh(self.freshness_bound) {
                let message = "this entry cannot prove that its configuration is current";
                return Err(refuse(ResultCode::StaleConfiguration, message));
            }
            let message = format!("no route for {path}");
            return Err(refuse(ResultCode::UnknownRoute, &message));
        };
        let caller = self.authenticate(&view, &route, &mut parts, id)?;
        drop(view);
        strip_request(&mut parts.headers);
        let context = Arc::new(RequestContext::new(id.clone(), route, caller));
        *known = Some(Arc::clone(&context));
        self.retries.record_request(context.team());
        match context.route.kind {
            RouteKind::Model => self.serve_model(context, parts, incoming).await,
            RouteKind::Service => self.serve_service(context, parts, incoming).await,
        }
    }

    /// Takes the key out of the request and finds the caller that it identifies.
    fn authenticate(
        &self,
        view: &EntryView,
        route: &RouteConfig,
        parts: &mut Parts,
        id: &RequestId,
    ) -> Result<Option<Caller>, CallerError> {
        let refuse = |code, message: &str| Err(CallerError::not_run(code, message, id));
        let keys = credential::take_keys(route, parts);
        for key in &keys {
            credential::remove_copies(key, parts);
        }
        if route.access == RouteAccess::Open {
            return Ok(None);
        }
        if !view.is_fresh(self.freshness_bound) {
            let message = "this entry cannot prove that its configuration is current";
            return refuse(ResultCode::StaleConfiguration, message);
        }
        let sent = match keys.as_slice() {
            [] => return refuse(ResultCode::MissingKey, "this route needs a key"),
            [sent] => sent,
            // Which team the request runs for would be a guess.
            _ => return refuse(ResultCode::UnknownKey, "the request carries different keys"),
        };
        let hash = self.hasher.hash(sent);
        let Some(key) = view.index.key(&hash) else {
            return refuse(ResultCode::UnknownKey, "the key is not valid");
        };
        let wanted = parts
            .headers
            .get("x-priority")
            .and_then(|value| value.to_str().ok()?.trim().parse::<u8>().ok());
        Ok(Some(Caller {
            team: key.team.clone(),
            key: hash,
            priority: wanted.unwrap_or(key.priority).min(key.priority),
        }))
    }
}

impl CallerProxy {
    /// Describes a request to the scheduler; `cost` is in tokens.
    pub fn scheduled(&self, context: &RequestContext, pool: PoolId, cost: u64) -> ScheduledRequest {
        let team = context.team().cloned().unwrap_or_default();
        let view = self.view.get();
        ScheduledRequest {
            pool,
            weight: view.index.team(&team).map_or(1, |team| team.weight),
            team,
            priority: context.caller.as_ref().map_or(0, |caller| caller.priority),
            // A request without a cost still takes a place in turn.
            cost: cost.max(1),
            prompt_tokens: 0,
            prefix: Vec::new(),
            version: None,
            tried: TriedTargets::new(),
        }
    }
}

/// Refuses request targets that could leave their route when the path is normalised on the way.
fn check_target(parts: &Parts) -> Result<(), &'static str> {
    if parts.method == Method::CONNECT {
        return Err("tunnels are not supported");
    }
    let is_dots = |segment: &str| {
        let plain = segment.to_ascii_lowercase().replace("%2e", ".");
        plain == "." || plain == ".."
    };
    let path = parts.uri.path();
    if path.contains('\\') || path.split('/').any(is_dots) {
        return Err("the path contains relative segments");
    }
    Ok(())
}
