use std::time::Duration;

use prometheus::{
    Gauge, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

use super::{caller_error::CallerError, context::RequestContext};
use crate::{code::ResultCode, config::EntryConfig, ids::RouteId};

/// Team label of requests on open routes.
const NO_TEAM: &str = "-";

/// Counters and gauges of an entry, served at `/metrics`.
pub struct EntryMetrics {
    registry: Registry,
    requests: IntCounterVec,
    refusals_within_rate: IntCounterVec,
    attainment: IntCounterVec,
    queue_seconds: HistogramVec,
    freshness_age: Gauge,
    retries: IntCounterVec,
    /// Number of requests that run or wait.
    pub in_flight: IntGauge,
    upstream_requests: IntCounter,
    /// Number of connections opened to targets.
    pub upstream_connections: IntCounter,
    first_token_target: Duration,
    inter_token_target: Duration,
}

/// Why a request was sent again.
#[derive(Clone, Copy, Debug)]
pub enum RetryKind {
    /// The request was sent to another target from its beginning.
    Retry,
    /// A broken stream was resumed at a token offset.
    Resume,
}

impl EntryMetrics {
    /// Creates the metrics with the latency targets from the settings.
    ///
    /// # Panics
    /// If a metric name in this function is invalid or a duplicate.
    pub fn new(config: &EntryConfig) -> Self {
        let registry = Registry::new();
        let counters = |name: &str, help: &str, labels: &[&str]| {
            let counters = IntCounterVec::new(Opts::new(name, help), labels).expect("valid name");
            registry
                .register(Box::new(counters.clone()))
                .expect("unique name");
            counters
        };
        let counter = |name: &str, help: &str| {
            let counter = IntCounter::new(name, help).expect("valid name");
            registry
                .register(Box::new(counter.clone()))
                .expect("unique name");
            counter
        };
        let queue_seconds = HistogramVec::new(
            HistogramOpts::new(
                "waxwing_queue_seconds",
                "Time that requests waited for a target",
            ),
            &["route"],
        )
        .expect("valid name");
        let in_flight =
            IntGauge::new("waxwing_in_flight", "Requests that run or wait").expect("valid name");
        let freshness_age = Gauge::new(
            "waxwing_freshness_age_seconds",
            "Age of the proof that the configuration is current",
        )
        .expect("valid name");
        for collector in [
            Box::new(queue_seconds.clone()) as Box<dyn prometheus::core::Collector>,
            Box::new(in_flight.clone()),
            Box::new(freshness_age.clone()),
        ] {
            registry.register(collector).expect("unique name");
        }
        Self {
            requests: counters(
                "waxwing_requests_total",
                "Requests by result",
                &["team", "route", "code"],
            ),
            refusals_within_rate: counters(
                "waxwing_refusals_within_rate_total",
                "Requests refused although the team was within its rate",
                &["team", "route", "code"],
            ),
            attainment: counters(
                "waxwing_attainment_total",
                "Model responses by whether they met the latency target",
                &["target", "met"],
            ),
            retries: counters(
                "waxwing_retries_total",
                "Requests sent to another target",
                &["kind"],
            ),
            upstream_requests: counter(
                "waxwing_upstream_requests_total",
                "Requests sent to targets",
            ),
            upstream_connections: counter(
                "waxwing_upstream_connections_total",
                "Connections opened to targets",
            ),
            queue_seconds,
            in_flight,
            freshness_age,
            first_token_target: Duration::from_millis(config.first_token_target_ms),
            inter_token_target: Duration::from_millis(config.inter_token_target_ms),
            registry,
        }
    }

    /// Counts a request that ended without an error of the entry.
    pub fn count_success(&self, context: &RequestContext) {
        let team = context.team().map_or(NO_TEAM, |team| team.as_str());
        self.requests
            .with_label_values(&[team, context.route.id.as_str(), "ok"])
            .inc();
    }

    /// Counts a request that was refused or failed; route and team are `None` if it was refused
    /// before they were determined.
    pub fn count_error(&self, team: Option<&str>, route: Option<&RouteId>, error: &CallerError) {
        let labels = [
            team.unwrap_or(NO_TEAM),
            route.map_or("-", |route| route.as_str()),
            error.code().name(),
        ];
        self.requests.with_label_values(&labels).inc();
        if is_system_fault(error.code()) {
            self.refusals_within_rate.with_label_values(&labels).inc();
        }
    }

    /// Records the time that a request spent in the queue.
    pub fn observe_queue(&self, route: &RouteId, waited: Duration) {
        self.queue_seconds
            .with_label_values(&[route.as_str()])
            .observe(waited.as_secs_f64());
    }

    /// Records the time to the first token of a response.
    pub fn observe_first_token(&self, elapsed: Duration) {
        self.count_attainment("first_token", elapsed <= self.first_token_target);
    }

    /// Records the mean interval between the tokens of a response.
    pub fn observe_inter_token(&self, mean: Duration) {
        self.count_attainment("inter_token", mean <= self.inter_token_target);
    }

    fn count_attainment(&self, target: &str, met: bool) {
        let met = if met { "true" } else { "false" };
        self.attainment.with_label_values(&[target, met]).inc();
    }

    /// Counts a retry or resume of a request.
    pub fn count_retry(&self, kind: RetryKind) {
        let kind = match kind {
            RetryKind::Retry => "retry",
            RetryKind::Resume => "resume",
        };
        self.retries.with_label_values(&[kind]).inc();
    }

    /// Counts a request that is sent to a target.
    pub fn count_upstream_request(&self) {
        self.upstream_requests.inc();
    }

    /// Encodes all metrics in the Prometheus text format.
    pub fn encode(&self, freshness_age: Option<Duration>) -> String {
        let age = freshness_age.map_or(f64::INFINITY, |age| age.as_secs_f64());
        self.freshness_age.set(age);
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .unwrap_or_default()
    }
}

/// Whether an error is caused by the system rather than by the caller's request or rate.
fn is_system_fault(code: ResultCode) -> bool {
    matches!(
        code,
        ResultCode::QueueFull
            | ResultCode::DeadlineExceeded
            | ResultCode::StaleConfiguration
            | ResultCode::ShuttingDown
            | ResultCode::ClaimUnavailable
            | ResultCode::NoTarget
            | ResultCode::TargetUnreachable
            | ResultCode::TargetTimeout
            | ResultCode::TargetRefused
            | ResultCode::AnswerCut
            | ResultCode::AnswerMismatch
            | ResultCode::Internal
    )
}
