use std::{
    collections::HashSet,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use rocket::{
    Request, Response, State,
    fairing::{Fairing, Info, Kind},
    get,
    http::Header,
    put, routes,
    serde::json::Json,
};

use super::{
    engine_calls, engine_orders,
    engine_state::EngineState,
    fault::{FaultPlan, Faults},
    options::{EngineOptions, Switch},
    prefix_cache::PrefixCache,
    record::{RequestRecord, SharedRecord},
    slots::SlotQueue,
};
use crate::{config::ListenAddress, error::Result, server};

/// A model engine that echoes the prompt word by word, with faults on demand.
pub struct FakeEngine {
    listen: ListenAddress,
    options: EngineOptions,
    faults: Faults,
}

/// What the handlers of an engine share.
#[derive(Clone)]
pub struct EngineShared {
    /// Behaviour.
    pub options: EngineOptions,
    /// Faults to commit.
    pub faults: FaultPlan,
    /// What was received.
    pub record: SharedRecord,
    /// Slots and internal queue.
    pub slots: SlotQueue,
    state: Arc<Mutex<EngineState>>,
    cache: Arc<Mutex<PrefixCache>>,
    cancelled: Arc<Mutex<HashSet<String>>>,
}

impl FakeEngine {
    /// Prepares an engine with one accelerator of `memory_mib` MiB.
    #[must_use]
    pub fn new(listen: ListenAddress, memory_mib: u64) -> Self {
        Self::with_options(
            listen,
            EngineOptions {
                memory_mib,
                ..EngineOptions::default()
            },
        )
    }

    /// Prepares an engine with these options.
    #[must_use]
    pub fn with_options(listen: ListenAddress, options: EngineOptions) -> Self {
        Self {
            listen,
            options,
            faults: Faults::default(),
        }
    }

    /// Returns the engine with faults that it commits from the start.
    #[must_use]
    pub fn with_faults(self, faults: Faults) -> Self {
        Self { faults, ..self }
    }

    /// Serves until the process is told to stop.
    ///
    /// # Errors
    /// [`crate::error::Error::Server`] when the port is taken.
    pub async fn run(self) -> Result<()> {
        let options = self.options;
        let faults = FaultPlan::default();
        faults.set(self.faults);
        let shared = EngineShared {
            faults: faults.clone(),
            record: SharedRecord::default(),
            slots: SlotQueue::new(options.slots),
            state: Arc::new(Mutex::new(EngineState::new(options.clone()))),
            cache: Arc::new(Mutex::new(PrefixCache::new(
                options.cache_blocks,
                Duration::from_millis(options.event_delay_ms),
                options.event_gap,
            ))),
            cancelled: Arc::default(),
            options: options.clone(),
        };
        let rocket = rocket::custom(server::figment(&self.listen))
            .manage(shared)
            .attach(IdEcho {
                switch: options.echoes_ids,
                faults,
            })
            .mount("/", routes![get_faults, set_faults, get_record])
            .mount("/", engine_orders::routes())
            .mount("/", engine_calls::routes());
        server::launch(rocket).await
    }
}

impl EngineShared {
    /// Locks copies, memory and orders.
    pub fn state(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the prefix cache.
    pub fn cache(&self) -> MutexGuard<'_, PrefixCache> {
        self.cache.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the ids of cancelled requests.
    pub fn cancelled(&self) -> MutexGuard<'_, HashSet<String>> {
        self.cancelled
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

#[get("/fake/v1/faults")]
fn get_faults(shared: &State<EngineShared>) -> Json<Faults> {
    Json(shared.faults.get())
}

#[put("/fake/v1/faults", data = "<faults>")]
fn set_faults(faults: Json<Faults>, shared: &State<EngineShared>) {
    shared.faults.set(faults.into_inner());
}

#[get("/fake/v1/record")]
fn get_record(shared: &State<EngineShared>) -> Json<RequestRecord> {
    let max_used_mib = shared.state().max_used_mib();
    Json(RequestRecord {
        max_used_mib,
        ..shared.record.get()
    })
}

/// Echoes `X-Request-Id`, or another id when that fault is due.
pub struct IdEcho {
    /// Whether ids are echoed.
    pub switch: Switch,
    /// Faults to commit.
    pub faults: FaultPlan,
}

#[rocket::async_trait]
impl Fairing for IdEcho {
    fn info(&self) -> Info {
        Info {
            name: "request id echo",
            kind: Kind::Response,
        }
    }

    async fn on_response<'r>(&self, request: &'r Request<'_>, response: &mut Response<'r>) {
        let Some(id) = request.headers().get_one("x-request-id") else {
            return;
        };
        if self.faults.take_wrong_id() {
            response.set_header(Header::new("x-request-id", format!("{id}-of-another")));
        } else if self.switch.is_on() {
            response.set_header(Header::new("x-request-id", id.to_owned()));
        }
    }
}
