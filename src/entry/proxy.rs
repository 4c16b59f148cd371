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
    caller_error::CallerError,
    candidates::TriedTargets,
    context::{Caller, RequestContext},
    control_client::ControlClient,
    crash_registry::CrashRegistry,
    credential,
    demand::DemandCounter,
    entry_phase::{EntryPhase, PhaseReceiver},
    header::strip_request_headers,
    in_flight::InFlight,
    metrics::EntryMetrics,
    retry_limits::RetryLimits,
    scheduled_request::ScheduledRequest,
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

/// Serves callers' requests on all paths.
pub struct CallerProxy {
    /// Current view of the fleet.
    pub view: Arc<SharedView>,
    /// Hashes callers' keys.
    pub hasher: KeyHasher,
    /// Queues requests and chooses targets.
    pub scheduler: Arc<Scheduler>,
    /// Demand per model, reported with each sync.
    pub demand: Arc<DemandCounter>,
    /// The entry's share of every team's allowance.
    pub allowance: Arc<SharedAllowance>,
    /// Sends claim and crash messages to the leader.
    pub control: Arc<ControlClient>,
    /// Requests that crashed targets.
    pub crashes: CrashRegistry,
    /// Retry budgets.
    pub retries: RetryLimits,
    /// Counters.
    pub metrics: Arc<EntryMetrics>,
    /// Number of requests that run or wait.
    pub in_flight: Arc<InFlight>,
    /// Phase of the entry, which determines whether new requests are accepted.
    pub phase: PhaseReceiver,
    /// Maximum age of the leader's last confirmation for which keyed routes are served.
    pub freshness_bound: Duration,
}

impl CallerProxy {
    /// Serves one request. Dropping the future, which happens when the caller disconnects, cancels
    /// the request to the target.
    pub async fn serve(self: Arc<Self>, request: Request<Incoming>) -> Response<CallerBody> {
        let id = RequestContext::new_id();
        let running = self.in_flight.begin();
        let (parts, incoming) = request.into_parts();
        let mut context = None;
        let mut response = match self.handle(&id, parts, incoming, &mut context).await {
            Ok(response) => {
                if let Some(context) = &context {
                    self.metrics.count_success(context);
                }
                response
            }
            Err(error) => {
                self.refuse(context.as_deref(), &error);
                error.to_response()
            }
        };
        if self.phase.get() == EntryPhase::Draining {
            // Closing the connection makes the caller send its next request to another entry.
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        response.map(|body| body::with_guard(body, running))
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

    async fn handle(
        self: &Arc<Self>,
        id: &RequestId,
        mut parts: Parts,
        incoming: Incoming,
        resolved: &mut Option<Arc<RequestContext>>,
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
            // A stale view may miss an existing route, for example just after the start.
            if !view.is_fresh(self.freshness_bound) {
                let message = "this entry cannot prove that its configuration is current";
                return Err(refuse(ResultCode::StaleConfiguration, message));
            }
            let message = format!("no route for {path}");
            return Err(refuse(ResultCode::UnknownRoute, &message));
        };
        let caller = self.authenticate(&view, &route, &mut parts, id)?;
        drop(view);
        strip_request_headers(&mut parts.headers);
        let context = Arc::new(RequestContext::new(id.clone(), route, caller));
        *resolved = Some(Arc::clone(&context));
        self.retries.record_request(context.team());
        match context.route.kind {
            RouteKind::Model => self.serve_model(context, parts, incoming).await,
            RouteKind::Service => self.serve_service(context, parts, incoming).await,
        }
    }

    /// Removes the key from the request and looks up its caller.
    fn authenticate(
        &self,
        view: &EntryView,
        route: &RouteConfig,
        parts: &mut Parts,
        id: &RequestId,
    ) -> Result<Option<Caller>, CallerError> {
        let refuse = |code, message: &str| Err(CallerError::not_run(code, message, id));
        let keys = credential::extract_keys(route, parts);
        for key in &keys {
            credential::remove_occurrences(key, parts);
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
            // With different keys the request's team is ambiguous.
            _ => return refuse(ResultCode::UnknownKey, "the request carries different keys"),
        };
        let hash = self.hasher.hash(sent);
        let Some(key) = view.index.key(&hash) else {
            return refuse(ResultCode::UnknownKey, "the key is not valid");
        };
        let requested = parts
            .headers
            .get("x-priority")
            .and_then(|value| value.to_str().ok()?.trim().parse::<u8>().ok());
        Ok(Some(Caller {
            team: key.team.clone(),
            key: hash,
            priority: requested.unwrap_or(key.priority).min(key.priority),
        }))
    }
}

impl CallerProxy {
    /// Builds the scheduler's description of a request; `cost` is in tokens.
    pub fn scheduled(&self, context: &RequestContext, pool: PoolId, cost: u64) -> ScheduledRequest {
        let team = context.team().cloned().unwrap_or_default();
        let view = self.view.get();
        ScheduledRequest {
            pool,
            weight: view.index.team(&team).map_or(1, |team| team.weight),
            team,
            priority: context.caller.as_ref().map_or(0, |caller| caller.priority),
            // The fair queue charges at least one token, also for requests without a cost.
            cost: cost.max(1),
            prompt_tokens: 0,
            prefix: Vec::new(),
            version: None,
            tried: TriedTargets::new(),
        }
    }
}

/// Rejects request targets that could escape their route when a server normalizes the path.
fn check_target(parts: &Parts) -> Result<(), &'static str> {
    if parts.method == Method::CONNECT {
        return Err("tunnels are not supported");
    }
    let is_dot_segment = |segment: &str| {
        let plain = segment.to_ascii_lowercase().replace("%2e", ".");
        plain == "." || plain == ".."
    };
    let path = parts.uri.path();
    if path.contains('\\') || path.split('/').any(is_dot_segment) {
        return Err("the path contains relative segments");
    }
    Ok(())
}
