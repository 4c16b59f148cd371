//! A control daemon as far as an entry sees it, so that tests decide what each sync says.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use rocket::{State, data::ToByteUnit, http::Status, post, routes};
use serde_json::Value;
use waxwinglatch::{
    allowance::ShareGrant,
    border::FleetConfig,
    config::ListenAddress,
    server,
    sync::{self, ConfigSection, ResidencySection, ResidentModel, SyncReply, SyncRequest},
};

/// Whether the stub replies to syncs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StubMode {
    Replying,
    Silent,
}

struct StubState {
    mode: StubMode,
    revision: u64,
    config: FleetConfig,
    residency_version: u64,
    copies: Vec<ResidentModel>,
    leaving_seen: bool,
}

/// The stub's handle.
#[derive(Clone)]
pub struct StubControl(Arc<Mutex<StubState>>);

impl StubControl {
    /// Serves at a port with a configuration and a residency table.
    pub fn start(port: u16, config: &Value, copies: Vec<ResidentModel>) -> Self {
        let stub = Self(Arc::new(Mutex::new(StubState {
            mode: StubMode::Replying,
            revision: 1,
            config: serde_json::from_value(config.clone()).expect("the configuration is usable"),
            residency_version: 1,
            copies,
            leaving_seen: false,
        })));
        let listen = ListenAddress {
            address: [127, 0, 0, 1].into(),
            port,
        };
        let rocket = rocket::custom(server::figment(&listen))
            .manage(stub.clone())
            .mount("/", routes![reply]);
        tokio::spawn(server::launch(rocket));
        stub
    }

    fn state(&self) -> MutexGuard<'_, StubState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts or stops replying.
    pub fn set_mode(&self, mode: StubMode) {
        self.state().mode = mode;
    }

    /// Puts a changed configuration in force.
    pub fn change(&self, change: impl FnOnce(&mut FleetConfig)) {
        let mut state = self.state();
        change(&mut state.config);
        state.revision += 1;
    }

    /// Replaces the residency table.
    pub fn set_copies(&self, copies: Vec<ResidentModel>) {
        let mut state = self.state();
        state.copies = copies;
        state.residency_version += 1;
    }

    fn has_news(&self, request: &SyncRequest) -> bool {
        let state = self.state();
        state.revision != request.revision || state.residency_version != request.residency_version
    }

    /// Whether an entry said that it leaves.
    pub fn leaving_seen(&self) -> bool {
        self.state().leaving_seen
    }
}

#[post("/sync/v1", data = "<body>")]
async fn reply(body: rocket::Data<'_>, stub: &State<StubControl>) -> Result<Vec<u8>, Status> {
    let bytes = body.open(16.mebibytes()).into_bytes().await;
    let bytes = bytes.map_err(|_| Status::BadRequest)?;
    let request: SyncRequest = sync::decode("sync", &bytes).map_err(|_| Status::BadRequest)?;
    for _ in 0..10 {
        if request.is_shutting_down || stub.has_news(&request) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let mut state = stub.state();
    if state.mode == StubMode::Silent {
        return Err(Status::ServiceUnavailable);
    }
    state.leaving_seen |= request.is_shutting_down;
    let config = if state.revision == request.revision {
        ConfigSection::Current
    } else {
        ConfigSection::Snapshot(state.revision, Box::new(state.config.clone()))
    };
    let residency = if state.residency_version == request.residency_version {
        ResidencySection::Current
    } else {
        ResidencySection::Snapshot(state.residency_version, state.copies.clone())
    };
    let teams = state.config.teams.iter();
    let grants = teams
        .map(|team| {
            // Tokens that were handed back are granted anew.
            let share = request.shares.iter().find(|share| share.team == team.id);
            let spent = share.map_or(0, |share| share.used + share.returned);
            ShareGrant {
                team: team.id.clone(),
                epoch: 1 << 40,
                granted: spent + 1_000_000,
                recall: 0,
                urgent_granted: 0,
                urgent_valid: 0,
                held_ms: 0,
                shortage: None,
            }
        })
        .collect();
    sync::encode(&SyncReply {
        parts: None,
        serial: request.serial,
        term: 1,
        config,
        residency,
        avoided: None,
        loads: Vec::new(),
        crashes: None,
        grants,
        served_elsewhere: Vec::new(),
        assigned: Vec::new(),
    })
    .map_err(|_| Status::InternalServerError)
}
