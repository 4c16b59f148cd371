use std::{io::ErrorKind, net::SocketAddr, pin::pin, sync::Arc, time::Duration};

use rocket::{Build, Rocket, Route, routes};
use spdlog::prelude::*;
use tokio::{runtime::Handle, sync::watch, task::JoinSet};

use super::{
    api::{self, SyncRuntimes},
    config::CoordinatorConfig,
    delegate_client::DelegateClient,
    evacuation_store::EvacuationStore,
    grant_server::GrantServer,
    order_dispatcher::OrderDispatcher,
    plan_pusher::PlanPusher,
    plan_store::PlanStore,
    state::CoordinatorState,
    thread_runtime::ThreadRuntime,
};
use crate::{
    adapter::{PlatformAdapter, SeedList, SeedSource},
    client,
    config::{ControlConfig, ListenAddress, VoterAddress},
    control::{
        FleetBootstrap, HttpPeerSender, MemberReturn, RefusedJoins, SystemSecret, hand_over_seat,
        raft_routes, read_addresses,
    },
    error::{Error, Result},
    journal::{DataFolder, OpenedJournal},
    raft::ReplacementPolicy,
    server,
    voter::{AddressBook, VoterHandle, VoterPhase, VoterSettings},
};

/// Maximum time for transferring leadership at shutdown.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum time for giving a voter's seat to a learner at shutdown.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time after which a change that is not committed is reported as unconfirmed. Operators try
/// another daemon after one second.
const PROPOSAL_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Interval of attempts to open the journal on a full disk.
const DISK_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Process of one coordinator.
pub struct CoordinatorDaemon {
    config: CoordinatorConfig,
    adapter: Arc<dyn PlatformAdapter>,
    secret: String,
    operator_routes: Vec<Route>,
    seeds: SeedList,
}

impl CoordinatorDaemon {
    /// Returns a coordinator for the platform of an adapter. It does not run yet.
    #[must_use]
    pub fn new(
        config: CoordinatorConfig,
        adapter: Arc<dyn PlatformAdapter>,
        secret: String,
    ) -> Self {
        Self {
            seeds: SeedList::new(config.seeds.clone()),
            config,
            adapter,
            secret,
            operator_routes: Vec::new(),
        }
    }

    /// Sets the routes of the operators' API, which find the [`PlanStore`] and the [`EvacuationStore`] in Rocket's state.
    #[must_use]
    pub fn with_operator_routes(mut self, routes: Vec<Route>) -> Self {
        self.operator_routes = routes;
        self
    }

    /// Sets the source from which the seeds are read again while no leader is reached.
    #[must_use]
    pub fn with_seed_source(mut self, source: Arc<dyn SeedSource>) -> Self {
        self.seeds = self.seeds.with_source(source);
        self
    }

    /// Runs until `stop` is ready, then transfers leadership and shuts down.
    ///
    /// # Errors
    /// [`Error::File`] when the data folder is not usable, [`Error::Server`] when a port is taken,
    /// [`Error::Stopped`] when the voter has stopped because of a failed file operation.
    pub async fn run_until(self, stop: impl Future<Output = ()>) -> Result<()> {
        let config = &self.config;
        let control = control_config(config);
        let own = own_address(config, &control);
        let addresses = Arc::new(AddressBook::new(own, read_addresses(&control)));
        let settings = VoterSettings {
            proposal_timeout: PROPOSAL_TIMEOUT,
            replacement: Some(ReplacementPolicy::new(config.voter_count, config.catch_up)),
            ..VoterSettings::new(config.vm.clone())
        };
        let level = settings.supported_level;
        let log_runtime = ThreadRuntime::start("log")?;
        let delegate_runtime = ThreadRuntime::start("delegates")?;
        let peers = HttpPeerSender::on(
            log_runtime.handle().clone(),
            Arc::clone(&addresses),
            self.secret.clone(),
            level,
        );
        let mut stop = pin!(stop);
        let journal = tokio::select! {
            journal = open_journal(config, &settings) => journal?,
            () = &mut stop => return Ok(()),
        };
        let voter = VoterHandle::start(journal, settings, addresses, Box::new(peers))?;
        let client = client::http_client()?;
        let state = CoordinatorState::new(voter.clone(), self.adapter, config.plan_lease);
        let state = state
            .with_warmup_bounds(config.warmup_bounds)
            .with_regions(Arc::clone(&config.regions));
        let state = Arc::new(state);
        let delegate = DelegateClient::new(Arc::clone(&state), client.clone(), self.secret.clone());
        // The set is dropped with the daemon, which aborts the tasks and frees the port.
        let _services =
            spawn_services(control.system_listen.socket(), Arc::clone(&state), delegate).await?;
        let system = build(&control.system_listen)
            .manage(SystemSecret(self.secret.clone()))
            .manage(SyncRuntimes::new(
                Handle::current(),
                delegate_runtime.handle(),
            ))
            .manage(voter.clone())
            .manage(Arc::clone(&state))
            .manage(RefusedJoins::default())
            .mount("/", raft_routes())
            .mount("/", routes![api::sync_gateway, api::sync_delegate]);
        let operator = build(&listen_address(config.operator_listen))
            .manage(Arc::new(PlanStore::new(Arc::clone(&state))))
            .manage(Arc::new(EvacuationStore::new(Arc::clone(&state))))
            .mount("/", self.operator_routes);
        let founder =
            FleetBootstrap::new(control, voter.clone(), client.clone(), self.secret.clone())
                .with_return(MemberReturn::Always)
                .with_seeds(self.seeds);
        let dispatcher = OrderDispatcher::new(state, config.vm.clone(), config.holder_lease);
        let founding = tokio::spawn(founder.run());
        tokio::spawn(Arc::new(dispatcher).run());
        let (close, closing) = watch::channel(false);
        let serve = |rocket: Rocket<Build>, runtime: &Handle| {
            let mut closing = closing.clone();
            let closed = async move {
                // An error means that the daemon was dropped, which must stop the servers as well.
                let _ = closing.wait_for(|closed| *closed).await;
            };
            runtime.spawn(server::launch_until(rocket, closed))
        };
        let mut serving = [
            serve(system, log_runtime.handle()),
            serve(operator, &Handle::current()),
        ];
        info!(
            "coordinator: {} started, operators' API at {}",
            config.vm, config.operator_listen
        );
        let mut phase = voter.watch_phase();
        let [system, operator] = &mut serving;
        let ended = tokio::select! {
            served = system => Some(joined(served)),
            served = operator => Some(joined(served)),
            _ = phase.wait_for(|phase| *phase == VoterPhase::Stopped) => {
                Some(Err(Error::Stopped { part: "voter" }))
            }
            () = &mut stop => None,
        };
        if let Some(ended) = ended {
            voter.stop().await;
            return ended;
        }
        info!("coordinator: shutting down");
        // A voter hears of its removal, and would ask for a seat again.
        founding.abort();
        if voter.status().membership.voters.len() > 1 {
            voter.transfer_leadership(TRANSFER_TIMEOUT).await;
            hand_over_seat(&voter, &client, &self.secret, HANDOVER_TIMEOUT).await;
        }
        close.send_replace(true);
        for serving in serving {
            joined(serving.await)?;
        }
        voter.stop().await;
        info!("coordinator: stopped");
        Ok(())
    }
}

/// Starts the tasks that serve gateways: tokens, news of plans, and what other coordinators and the log bring.
async fn spawn_services(
    address: SocketAddr,
    state: Arc<CoordinatorState>,
    delegate: DelegateClient,
) -> Result<JoinSet<()>> {
    let grants = GrantServer::bind(address, Arc::clone(&state)).await?;
    let pusher = PlanPusher::open(address, Arc::clone(&state)).await?;
    let part_recorder = Arc::clone(&state.part_recorder);
    let plan_follower = Arc::clone(&state);
    let mut services = JoinSet::new();
    services.spawn(grants.run());
    services.spawn(pusher.run());
    services.spawn(delegate.run());
    services.spawn(part_recorder.run());
    services.spawn(async move { state.work.run(|| state.tokens()).await });
    services.spawn(async move { plan_follower.follow_plans().await });
    Ok(services)
}

/// Opens the journal, and retries while the disk is full. Ending the process would not help, since
/// it would only be started again.
async fn open_journal(
    config: &CoordinatorConfig,
    settings: &VoterSettings,
) -> Result<OpenedJournal> {
    let mut is_logged = false;
    loop {
        let folder = DataFolder::open(&config.data_folder);
        match folder.and_then(|folder| folder.open_journal(&config.vm, settings.journal)) {
            Err(Error::File { path, source }) if source.kind() == ErrorKind::StorageFull => {
                if !is_logged {
                    warn!(
                        "coordinator: waits for room on the disk: {}: {source}",
                        path.display()
                    );
                    is_logged = true;
                }
                tokio::time::sleep(DISK_RETRY_INTERVAL).await;
            }
            opened => return opened,
        }
    }
}

fn joined(served: std::result::Result<Result<()>, tokio::task::JoinError>) -> Result<()> {
    served.map_err(|error| Error::Server {
        reason: error.to_string(),
    })?
}

fn listen_address(socket: SocketAddr) -> ListenAddress {
    ListenAddress {
        address: socket.ip(),
        port: socket.port(),
    }
}

fn own_address(config: &CoordinatorConfig, control: &ControlConfig) -> VoterAddress {
    VoterAddress {
        vm: config.vm.clone(),
        data_centre: config.data_centre.clone(),
        system: control.system_listen.socket(),
        admin: config.operator_listen,
    }
}

fn control_config(config: &CoordinatorConfig) -> ControlConfig {
    ControlConfig {
        vm: config.vm.clone(),
        data_centre: config.data_centre.clone(),
        data_folder: config.data_folder.clone(),
        system_listen: ListenAddress {
            address: config.address,
            port: config.system_port,
        },
        admin_listen: listen_address(config.operator_listen),
        voters: Vec::new(),
        seeds: config.seeds.clone(),
        join: !config.is_bootstrap,
        system_secret_file: "".into(),
        admin_token_file: "".into(),
        platform_list: None,
    }
}

fn build(listen: &ListenAddress) -> Rocket<Build> {
    let figment = server::figment(listen)
        .merge(("shutdown.grace", 1))
        .merge(("shutdown.mercy", 1));
    rocket::custom(figment)
}
