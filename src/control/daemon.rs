use std::{sync::Arc, time::Duration};

use rocket::{Build, Rocket, routes};
use spdlog::prelude::*;
use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    sync::watch,
    task::JoinHandle,
};

use super::{
    admin::{self, AdminToken},
    bootstrap::FleetBootstrap,
    claims, crashes, health, members,
    order_dispatcher::OrderDispatcher,
    peer_sender::HttpPeerSender,
    placement_controller::PlacementController,
    platform::LeavingVms,
    raft_api,
    refused_joins::RefusedJoins,
    saved_addresses::read_addresses,
    sync_service::SyncService,
    system::{self, SystemSecret},
};
use crate::{
    client,
    config::{self, ControlConfig, ListenAddress, VoterAddress},
    error::{Error, Result},
    journal::DataFolder,
    server,
    voter::{AddressBook, PartRecorder, VoterHandle, VoterPhase, VoterSettings},
};

/// Timeout of the transfer of leadership at a shutdown: the rest of the lease, then an election
/// that starts without an election timeout.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(3);

/// One control daemon.
pub struct ControlDaemon<'c> {
    config: &'c ControlConfig,
    settings: VoterSettings,
}

impl<'c> ControlDaemon<'c> {
    /// Creates a daemon with these settings.
    #[must_use]
    pub fn new(config: &'c ControlConfig) -> Self {
        Self {
            config,
            settings: VoterSettings::new(config.vm.clone()),
        }
    }

    /// Replaces the settings of the voter, for measurements and tests.
    #[must_use]
    pub fn with_voter(mut self, settings: VoterSettings) -> Self {
        self.settings = settings;
        self
    }

    /// Serves until SIGTERM, then transfers leadership and stops. A second SIGTERM ends the process
    /// at once.
    ///
    /// # Errors
    /// As [`ControlDaemon::run_until`].
    pub async fn run(self) -> Result<()> {
        let mut signals = signal(SignalKind::terminate()).map_err(|error| Error::Server {
            reason: error.to_string(),
        })?;
        self.run_until(wait_for_sigterm(&mut signals)).await
    }

    /// Serves until `stop` is ready, then transfers leadership and stops.
    ///
    /// # Errors
    /// [`Error::File`] when a secret or the data folder cannot be used, [`Error::Server`] when a
    /// port is taken, [`Error::Stopped`] when the voter stopped because of a failed file operation.
    pub async fn run_until(self, stop: impl Future<Output = ()>) -> Result<()> {
        let serving = self.start()?;
        serving.serve(stop).await
    }

    /// Restores the voter and starts to serve.
    ///
    /// # Errors
    /// [`Error::File`] when a secret or the data folder cannot be used.
    pub fn start(self) -> Result<ServingControl> {
        let config = self.config;
        let secret = config::read_secret(&config.system_secret_file)?;
        let token = AdminToken(config::read_secret(&config.admin_token_file)?);
        let folder = DataFolder::open(&config.data_folder)?;
        let own = own_address(config);
        let members = read_addresses(config);
        let members = members.into_iter().chain(config.voters.iter().cloned());
        let addresses = Arc::new(AddressBook::new(own, members));
        let level = self.settings.supported_level;
        let peers = HttpPeerSender::new(Arc::clone(&addresses), secret.clone(), level);
        let journal = folder.open_journal(&config.vm, self.settings.journal)?;
        let voter = VoterHandle::start(journal, self.settings, addresses, Box::new(peers))?;
        let leaving = LeavingVms::default();
        let service = Arc::new(SyncService::new(voter.clone(), leaving.clone()));
        let part_recorder = Arc::new(PartRecorder::new(voter.clone()));
        let client = client::http_client()?;
        let system = build_server(&config.system_listen)
            .manage(SystemSecret(secret.clone()))
            .manage(voter.clone())
            .manage(Arc::clone(&service))
            .manage(Arc::clone(&part_recorder))
            .manage(RefusedJoins::default())
            .mount(
                "/",
                routes![
                    system::sync_entry,
                    claims::submit_claim,
                    crashes::submit_crash
                ],
            )
            .mount("/", raft_api::raft_routes())
            .attach(system::name_leader());
        let admin = build_server(&config.admin_listen)
            .manage(token)
            .manage(SystemSecret(secret.clone()))
            .manage(voter.clone())
            .manage(client.clone())
            .manage(Arc::clone(&service))
            .mount("/", routes![health::health, health::readiness])
            .mount(
                "/",
                routes![
                    members::list_members,
                    members::add_member,
                    members::promote_member,
                    members::remove_member
                ],
            );
        let admin = admin::mount(admin);
        let bootstrap = FleetBootstrap::new(config.clone(), voter.clone(), client.clone(), secret);
        let dispatcher = Arc::new(OrderDispatcher::new(voter.clone(), client));
        let controller = PlacementController::new(voter.clone(), service, dispatcher);
        info!(
            "control: {} is serving entries at {}",
            config.vm,
            config.system_listen.socket()
        );
        let mut tasks = vec![
            tokio::spawn(bootstrap.run()),
            tokio::spawn(controller.run()),
            tokio::spawn(part_recorder.run()),
        ];
        if let Some(source) = config.platform_list.clone() {
            tasks.push(tokio::spawn(leaving.poll(source, client::http_client()?)));
        }
        let (stop, stopped) = watch::channel(false);
        let servers = [system, admin].map(|rocket| {
            let mut stopped = stopped.clone();
            let stopped = async move {
                // An error means that the daemon was dropped, which must stop the servers too.
                let _ = stopped.wait_for(|stop| *stop).await;
            };
            tokio::spawn(server::launch_until(rocket, stopped))
        });
        Ok(ServingControl {
            voter,
            stop,
            servers,
            tasks,
        })
    }
}

/// A running control daemon.
pub struct ServingControl {
    voter: VoterHandle,
    stop: watch::Sender<bool>,
    servers: [JoinHandle<Result<()>>; 2],
    tasks: Vec<JoinHandle<()>>,
}

impl ServingControl {
    /// Returns the handle of the daemon's voter.
    #[must_use]
    pub fn voter(&self) -> &VoterHandle {
        &self.voter
    }

    /// Serves until `stop` is ready, then transfers leadership and stops.
    ///
    /// # Errors
    /// [`Error::Server`] when a port is taken, [`Error::Stopped`] when the voter has stopped.
    pub async fn serve(mut self, stop: impl Future<Output = ()>) -> Result<()> {
        let mut phase = self.voter.watch_phase();
        let [system, admin] = &mut self.servers;
        let outcome = tokio::select! {
            result = system => Some(flatten_join(result)),
            result = admin => Some(flatten_join(result)),
            _ = phase.wait_for(|phase| *phase == VoterPhase::Stopped) => {
                Some(Err(Error::Stopped { part: "voter" }))
            }
            () = stop => None,
        };
        if let Some(outcome) = outcome {
            self.stop.send_replace(true);
            self.voter.stop().await;
            return outcome;
        }
        info!("control: shutting down");
        if self.voter.status().membership.voters.len() > 1 {
            self.voter.transfer_leadership(TRANSFER_TIMEOUT).await;
        }
        for task in &self.tasks {
            task.abort();
        }
        self.stop.send_replace(true);
        for server in self.servers {
            flatten_join(server.await)?;
        }
        self.voter.stop().await;
        info!("control: has stopped");
        Ok(())
    }
}

/// Returns the address at which others reach this daemon: the one in its `voters` entry, which may
/// differ from the listen address.
fn own_address(config: &ControlConfig) -> VoterAddress {
    let named = config.voters.iter().find(|voter| voter.vm == config.vm);
    named.cloned().unwrap_or_else(|| VoterAddress {
        vm: config.vm.clone(),
        data_centre: config.data_centre.clone(),
        system: config.system_listen.socket(),
        admin: config.admin_listen.socket(),
    })
}

fn flatten_join(result: Result<Result<()>, tokio::task::JoinError>) -> Result<()> {
    result.map_err(|error| Error::Server {
        reason: error.to_string(),
    })?
}

/// Waits for SIGTERM. A second one ends the process at once, with the exit status of a process that
/// was killed by the signal.
async fn wait_for_sigterm(signals: &mut Signal) {
    signals.recv().await;
    if let Ok(mut second) = signal(SignalKind::terminate()) {
        tokio::spawn(async move {
            second.recv().await;
            warn!("control: received a second SIGTERM, exiting at once");
            std::process::exit(128 + 15);
        });
    }
}

fn build_server(listen: &ListenAddress) -> Rocket<Build> {
    // A sync is held for at most 0.4 s, so running requests end within the grace period.
    let figment = server::figment(listen)
        .merge(("shutdown.grace", 1))
        .merge(("shutdown.mercy", 1));
    rocket::custom(figment)
}
