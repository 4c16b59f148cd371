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
    bootstrap::{self, FleetBootstrap},
    claims, crashes, health, members,
    order_dispatcher::OrderDispatcher,
    peer_sender::HttpPeerSender,
    placement_controller::PlacementController,
    platform::LeavingVms,
    raft_api,
    sync_service::SyncService,
    system::{self, SystemSecret},
};
use crate::{
    client,
    config::{self, ControlConfig, ListenAddress, VoterAddress},
    error::{Error, Result},
    journal::DataFolder,
    server,
    voter::{AddressBook, VoterHandle, VoterPhase, VoterSettings},
};

/// Time that handing leadership over may take at a shutdown: the rest of the lease, then an
/// election without a timeout.
const TRANSFER_LIMIT: Duration = Duration::from_secs(3);

/// One control daemon.
pub struct ControlDaemon<'c> {
    config: &'c ControlConfig,
    settings: VoterSettings,
}

impl<'c> ControlDaemon<'c> {
    /// Prepares a daemon with these settings.
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

    /// Serves until SIGTERM, then hands leadership over and stops. A second SIGTERM ends the
    /// process at once.
    ///
    /// # Errors
    /// As [`ControlDaemon::run_until`].
    pub async fn run(self) -> Result<()> {
        let mut signals = signal(SignalKind::terminate()).map_err(|error| Error::Server {
            reason: error.to_string(),
        })?;
        self.run_until(terminated(&mut signals)).await
    }

    /// Serves until `stop` is ready, then hands leadership over and stops.
    ///
    /// # Errors
    /// [`Error::File`] when a secret or the data folder is not usable, [`Error::Server`] when a port
    /// is taken, [`Error::Stopped`] when the voter stopped because of a failed file operation.
    pub async fn run_until(self, stop: impl Future<Output = ()>) -> Result<()> {
        let serving = self.start()?;
        serving.serve(stop).await
    }

    /// Restores the voter and starts to serve.
    ///
    /// # Errors
    /// [`Error::File`] when a secret or the data folder is not usable.
    pub fn start(self) -> Result<ServingControl> {
        let config = self.config;
        let secret = config::read_secret(&config.system_secret_file)?;
        let token = AdminToken(config::read_secret(&config.admin_token_file)?);
        let folder = DataFolder::open(&config.data_folder)?;
        let own = own_address(config);
        let known = bootstrap::read_addresses(config);
        let known = known.into_iter().chain(config.voters.iter().cloned());
        let addresses = Arc::new(AddressBook::new(own, known));
        let level = self.settings.supported_level;
        let peers = HttpPeerSender::new(Arc::clone(&addresses), secret.clone(), level);
        let journal = folder.open_journal(&config.vm, self.settings.journal)?;
        let voter = VoterHandle::start(journal, self.settings, addresses, Box::new(peers))?;
        let leaving = LeavingVms::default();
        let hub = Arc::new(SyncService::new(voter.clone(), leaving.clone()));
        let client = client::http_client()?;
        let system = build(&config.system_listen)
            .manage(SystemSecret(secret.clone()))
            .manage(voter.clone())
            .manage(Arc::clone(&hub))
            .mount(
                "/",
                routes![system::sync_entry, claims::take_claim, crashes::take_crash],
            )
            .mount("/", raft_api::raft_routes());
        let admin = build(&config.admin_listen)
            .manage(token)
            .manage(SystemSecret(secret.clone()))
            .manage(voter.clone())
            .manage(client.clone())
            .manage(Arc::clone(&hub))
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
        let founder = FleetBootstrap::new(config.clone(), voter.clone(), client.clone(), secret);
        let desk = Arc::new(OrderDispatcher::new(voter.clone(), client));
        let placer = PlacementController::new(voter.clone(), hub, desk);
        info!(
            "control: {} serves entries at {}",
            config.vm,
            config.system_listen.socket()
        );
        let mut duties = vec![tokio::spawn(founder.run()), tokio::spawn(placer.run())];
        if let Some(source) = config.platform_list.clone() {
            duties.push(tokio::spawn(leaving.follow(source, client::http_client()?)));
        }
        let (stop, stopped) = watch::channel(false);
        let serving = [system, admin].map(|rocket| {
            let mut stopped = stopped.clone();
            let stopped = async move {
                // An error means that the daemon was dropped, which stops the servers too.
                let _ = stopped.wait_for(|stop| *stop).await;
            };
            tokio::spawn(server::launch_until(rocket, stopped))
        });
        Ok(ServingControl {
            voter,
            stop,
            serving,
            duties,
        })
    }
}

/// A control daemon that serves.
pub struct ServingControl {
    voter: VoterHandle,
    stop: watch::Sender<bool>,
    serving: [JoinHandle<Result<()>>; 2],
    duties: Vec<JoinHandle<()>>,
}

impl ServingControl {
    /// Returns the handle of the daemon's voter.
    #[must_use]
    pub fn voter(&self) -> &VoterHandle {
        &self.voter
    }

    /// Serves until `stop` is ready, then hands leadership over and stops.
    ///
    /// # Errors
    /// [`Error::Server`] when a port is taken, [`Error::Stopped`] when the voter has stopped.
    pub async fn serve(mut self, stop: impl Future<Output = ()>) -> Result<()> {
        let mut phase = self.voter.watch_phase();
        let [system, admin] = &mut self.serving;
        let ended = tokio::select! {
            served = system => Some(joined(served)),
            served = admin => Some(joined(served)),
            _ = phase.wait_for(|phase| *phase == VoterPhase::Stopped) => {
                Some(Err(Error::Stopped { part: "voter" }))
            }
            () = stop => None,
        };
        if let Some(ended) = ended {
            self.stop.send_replace(true);
            self.voter.stop().await;
            return ended;
        }
        info!("control: shuts down");
        if self.voter.status().membership.voters.len() > 1 {
            self.voter.transfer_leadership(TRANSFER_LIMIT).await;
        }
        for duty in &self.duties {
            duty.abort();
        }
        self.stop.send_replace(true);
        for serving in self.serving {
            joined(serving.await)?;
        }
        self.voter.stop().await;
        info!("control: has stopped");
        Ok(())
    }
}

/// Where others reach this daemon: as its entry in the settings says, which may differ from where it
/// listens.
fn own_address(config: &ControlConfig) -> VoterAddress {
    let named = config.voters.iter().find(|voter| voter.vm == config.vm);
    named.cloned().unwrap_or_else(|| VoterAddress {
        vm: config.vm.clone(),
        data_centre: config.data_centre.clone(),
        system: config.system_listen.socket(),
        admin: config.admin_listen.socket(),
    })
}

fn joined(served: Result<Result<()>, tokio::task::JoinError>) -> Result<()> {
    served.map_err(|error| Error::Server {
        reason: error.to_string(),
    })?
}

/// Waits for SIGTERM. A later one ends the process at once, with the status of a process that the
/// signal killed.
async fn terminated(signals: &mut Signal) {
    signals.recv().await;
    if let Ok(mut again) = signal(SignalKind::terminate()) {
        tokio::spawn(async move {
            again.recv().await;
            warn!("control: second SIGTERM; ends at once");
            std::process::exit(128 + 15);
        });
    }
}

fn build(listen: &ListenAddress) -> Rocket<Build> {
    // Entries hold a sync for at most 0.4 s, so running requests end within the grace time.
    let figment = server::figment(listen)
        .merge(("shutdown.grace", 1))
        .merge(("shutdown.mercy", 1));
    rocket::custom(figment)
}
