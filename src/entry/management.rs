use std::{sync::Arc, time::Duration};

use rocket::{State, get, http::Status, routes};

use super::{
    metrics::EntryMetrics,
    phase::{EntryPhase, PhaseReceiver},
    view::SharedView,
};
use crate::{config::ListenAddress, error::Result, server};

/// The port for health checks and metrics.
pub struct ManagementPort {
    /// What the entry knows of the fleet.
    pub view: Arc<SharedView>,
    /// Counters.
    pub metrics: Arc<EntryMetrics>,
    /// Phase of the entry's life.
    pub phase: PhaseReceiver,
    /// Greatest age of the freshness proof with which the entry is ready.
    pub freshness_bound: Duration,
}

impl ManagementPort {
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

/// The process is alive.
#[get("/healthz")]
fn health() -> &'static str {
    "ok\n"
}

/// The entry takes new callers.
#[get("/readyz")]
fn readiness(port: &State<ManagementPort>) -> (Status, &'static str) {
    match port.phase.get() {
        EntryPhase::Serving if port.view.get().is_fresh(port.freshness_bound) => {
            (Status::Ok, "ready\n")
        }
        EntryPhase::Serving => (
            Status::ServiceUnavailable,
            "the configuration is not proved current\n",
        ),
        EntryPhase::Leaving | EntryPhase::Draining => {
            (Status::ServiceUnavailable, "shutting down\n")
        }
    }
}

/// All metrics as text.
#[get("/metrics")]
fn metrics(port: &State<ManagementPort>) -> String {
    let confirmed_at = port.view.get().confirmed_at;
    port.metrics
        .encode(confirmed_at.map(|asked| asked.elapsed()))
}
