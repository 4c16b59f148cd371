use std::{sync::Arc, time::Duration};

use rocket::{State, get, http::Status, routes};

use super::{
    entry_phase::{EntryPhase, PhaseReceiver},
    metrics::EntryMetrics,
    view::SharedView,
};
use crate::{config::ListenAddress, error::Result, server};

/// HTTP server for health checks and metrics.
pub struct ManagementServer {
    /// Current view of the fleet.
    pub view: Arc<SharedView>,
    /// Metrics of the entry.
    pub metrics: Arc<EntryMetrics>,
    /// Phase of the entry's lifecycle.
    pub phase: PhaseReceiver,
    /// Maximum age of the leader's last confirmation for which the entry is ready.
    pub freshness_bound: Duration,
}

impl ManagementServer {
    /// Serves until the task is dropped.
    ///
    /// # Errors
    /// [`crate::error::Error::Server`] when the port is taken.
    pub async fn run(self, listen: ListenAddress) -> Result<()> {
        let rocket = rocket::custom(server::figment(&listen))
            .manage(self)
            .mount("/", routes![health, readiness, metrics]);
        server::launch(rocket).await
    }
}

/// Liveness check.
#[get("/healthz")]
fn health() -> &'static str {
    "ok\n"
}

/// Readiness check: succeeds while the entry accepts new callers.
#[get("/readyz")]
fn readiness(server: &State<ManagementServer>) -> (Status, &'static str) {
    match server.phase.get() {
        EntryPhase::Serving if server.view.get().is_fresh(server.freshness_bound) => {
            (Status::Ok, "ready\n")
        }
        EntryPhase::Serving => (
            Status::ServiceUnavailable,
            "the configuration is not proved current\n",
        ),
        EntryPhase::NotReady | EntryPhase::Draining => {
            (Status::ServiceUnavailable, "shutting down\n")
        }
    }
}

/// Returns all metrics in the Prometheus text format.
#[get("/metrics")]
fn metrics(server: &State<ManagementServer>) -> String {
    let confirmed_at = server.view.get().confirmed_at;
    server
        .metrics
        .encode(confirmed_at.map(|requested_at| requested_at.elapsed()))
}
