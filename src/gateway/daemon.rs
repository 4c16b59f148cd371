use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use futures::future::{JoinAll, join_all};
use spdlog::prelude::*;
use tokio::{
    net::{TcpListener, UdpSocket},
    sync::watch,
    task::JoinHandle,
};

use super::{
    admission_queues::AdmissionQueues,
    caller_server,
    config::GatewayConfig,
    connections::TargetConnections,
    crash_watch::CrashWatch,
    grants::GrantClient,
    links,
    loads::LoadExchange,
    neighbours::NeighbourTable,
    passing::RequestPassing,
    plan_news::PlanNewsReceiver,
    proxy::{GatewayProxy, RequestOrigin},
    readiness::ReadinessServer,
    regions::log_regions,
    standing_watch::StandingWatch,
    stream_origins::StreamOrigins,
    sync_client::{SyncClient, SyncParts},
    targets::TargetTable,
    view::{ModelDemand, PlanView},
};
use crate::{
    adapter::{PlatformAdapter, SeedList, SeedSource},
    client,
    entry::SharedAllowance,
    error::{Error, Result},
    ids::EntryKey,
    route::RetryBudget,
};

/// Time after SIGTERM during which requests are still accepted: the load balancer checks readiness
/// once a second and takes a gateway out of rotation after two failed checks. A stream that starts
/// later may not end before the process must exit.
const ROTATION_DELAY: Duration = Duration::from_millis(2_700);
/// Time before the end of the grace period at which the process exits, even if requests still run.
const EXIT_MARGIN: Duration = Duration::from_millis(700);
/// Interval at which targets are checked for silence.
const LIVENESS_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which expired idle connections to targets are closed.
const POOL_CLEANUP_INTERVAL: Duration = Duration::from_secs(1);

/// The daemon of one gateway.
pub struct GatewayDaemon {
    config: GatewayConfig,
    adapter: Arc<dyn PlatformAdapter>,
    secret: String,
    seeds: SeedList,
}

impl GatewayDaemon {
    /// Creates the daemon of a gateway on the platform that `adapter` connects to.
    #[must_use]
    pub fn new(config: GatewayConfig, adapter: Arc<dyn PlatformAdapter>, secret: String) -> Self {
        Self {
            seeds: SeedList::new(config.coordinators.clone()),
            config,
            adapter,
            secret,
        }
    }

    /// Sets the source from which the addresses of coordinators are read again while none of them answers.
    #[must_use]
    pub fn with_seed_source(mut self, source: Arc<dyn SeedSource>) -> Self {
        self.seeds = self.seeds.with_source(source);
        self
    }

    /// Serves until `stop` is ready, then shuts down after the requests in progress have ended or
    /// the grace period is over.
    ///
    /// # Errors
    /// [`Error::Server`] when a port is already in use.
    pub async fn run_until(self, stop: impl Future<Output = ()>) -> Result<()> {
        let config = self.config;
        let listener = listen(config.caller_listen).await?;
        let ready_listener = listen(config.ready_listen).await?;
        // The port number of load messages is free for TCP.
        let neighbour_listener = listen(config.load_listen).await?;
        let view = Arc::new(PlanView::default());
        let targets = TargetTable::new(&config.data_centre);
        let targets = Arc::new(targets.with_warmup_bounds(config.warmup_bounds));
        let allowance = Arc::new(SharedAllowance::new());
        let demand = Arc::new(ModelDemand::default());
        let queues = Arc::new(AdmissionQueues::new());
        let incarnation = rand::random();
        let socket = bind_udp(config.load_listen).await?;
        let loads = Arc::new(LoadExchange::new(socket, incarnation, &targets, &queues));
        let crash_watch = Arc::new(CrashWatch::new(&config.vm));
        let stream_origins = Arc::new(StreamOrigins::new());
        let (news_socket, news_address) = PlanNewsReceiver::bind(config.load_listen).await?;
        let neighbours = Arc::new(NeighbourTable::new());
        let parts = SyncParts {
            neighbours: Arc::clone(&neighbours),
            news_address,
            seeds: self.seeds,
            crash_watch: Arc::clone(&crash_watch),
            stream_origins: Arc::clone(&stream_origins),
            loads: Arc::clone(&loads),
            adapter: Arc::clone(&self.adapter),
            view: Arc::clone(&view),
            targets: Arc::clone(&targets),
            allowance: Arc::clone(&allowance),
            demand: Arc::clone(&demand),
        };
        let passing = RequestPassing::new(neighbours, self.secret.clone());
        tokio::spawn(close_expired(Arc::clone(&passing.connections)));
        let http_client = client::http_client()?;
        let sync_client =
            SyncClient::new(config.clone(), incarnation, parts, http_client, self.secret);
        let sync_client = Arc::new(sync_client);
        let key = EntryKey {
            vm: config.vm.clone(),
            incarnation,
        };
        let news = PlanNewsReceiver::new(news_socket, key.clone(), Arc::clone(&sync_client));
        let grants = GrantClient::open(
            config.load_listen,
            key,
            Arc::clone(&allowance),
            Arc::clone(&sync_client),
        );
        let grants = grants.await?;
        let connections = Arc::new(TargetConnections::default());
        let (refusal_sender, is_refusing) = watch::channel(false);
        let proxy = Arc::new(GatewayProxy {
            adapter: self.adapter,
            view: Arc::clone(&view),
            targets: Arc::clone(&targets),
            connections: Arc::clone(&connections),
            allowance: Arc::clone(&allowance),
            demand,
            sync_client: Arc::clone(&sync_client),
            crash_watch,
            stream_origins,
            retry_budget: RetryBudget::new().into(),
            started_at: Instant::now(),
            plan_lease: config.plan_lease,
            standing_watch: StandingWatch::default(),
            regions: Arc::clone(&config.regions),
            admission_order: config.admission_order,
            queues: Arc::clone(&queues),
            passing,
            is_closing: AtomicBool::new(false),
            is_refusing,
        });
        let (stop_sender, is_stopping) = watch::channel(false);
        let readiness_server = Arc::new(ReadinessServer {
            view,
            targets: Arc::clone(&targets),
            is_stopping,
        });
        let (close_sender, is_closing) = watch::channel(false);
        tokio::spawn(readiness_server.run(ready_listener));
        tokio::spawn(grants.run());
        tokio::spawn(news.run());
        spawn_upkeep(sync_client, loads, queues, targets, connections);
        let servers = serve([listener, neighbour_listener], &proxy, &is_closing);
        info!(
            "gateway: {} accepts callers' connections at {}",
            config.vm, config.caller_listen
        );
        log_regions(&config);
        stop.await;
        let signals = StopSignals {
            stop: stop_sender,
            refusal: refusal_sender,
            close: close_sender,
        };
        signals
            .shut_down(config.grace_period, &proxy, servers)
            .await;
        Ok(())
    }
}

/// Signals that end the service of a gateway, in the order in which they are sent.
struct StopSignals {
    stop: watch::Sender<bool>,
    refusal: watch::Sender<bool>,
    close: watch::Sender<bool>,
}

impl StopSignals {
    /// Stops the servers, and waits until the requests in progress have ended or the grace period is over.
    async fn shut_down(
        self,
        grace_period: Duration,
        proxy: &GatewayProxy,
        servers: RequestServers,
    ) {
        info!("gateway: shutting down; waiting for the load balancer and for requests in progress");
        let deadline = Instant::now() + grace_period.saturating_sub(EXIT_MARGIN);
        self.stop.send_replace(true);
        proxy.is_closing.store(true, Ordering::Relaxed);
        tokio::time::sleep(ROTATION_DELAY.min(grace_period / 2)).await;
        self.refusal.send_replace(true);
        // Until now requests were accepted, which consumes tokens.
        proxy.allowance.begin_shutdown();
        self.close.send_replace(true);
        let stopped = tokio::time::timeout_at(deadline.into(), servers).await;
        if stopped.is_ok() {
            info!("gateway: stopped; all requests have ended");
        } else {
            warn!("gateway: grace period over; stopping while requests are still running");
        }
    }
}

/// Servers of callers and of other gateways.
type RequestServers = JoinAll<JoinHandle<()>>;

/// Starts the servers of callers and of other gateways.
fn serve(
    [callers, neighbours]: [TcpListener; 2],
    proxy: &Arc<GatewayProxy>,
    is_closing: &watch::Receiver<bool>,
) -> RequestServers {
    let servers = [
        (callers, RequestOrigin::Caller),
        (neighbours, RequestOrigin::Neighbour),
    ];
    join_all(servers.map(|(listener, origin)| {
        let (proxy, is_closing) = (Arc::clone(proxy), is_closing.clone());
        tokio::spawn(caller_server::run(listener, proxy, origin, is_closing))
    }))
}

/// Starts the tasks that keep the gateway's view of the fleet up to date.
fn spawn_upkeep(
    sync_client: Arc<SyncClient>,
    loads: Arc<LoadExchange>,
    queues: Arc<AdmissionQueues>,
    targets: Arc<TargetTable>,
    connections: Arc<TargetConnections>,
) {
    tokio::spawn(links::watch(Arc::clone(&targets), Arc::clone(&sync_client)));
    tokio::spawn(async move { sync_client.run().await });
    tokio::spawn(async move { loads.run().await });
    tokio::spawn(queues.run(Arc::clone(&targets)));
    tokio::spawn(maintain(targets, connections));
}

/// Checks targets for silence and closes expired connections until the task is dropped.
async fn maintain(targets: Arc<TargetTable>, connections: Arc<TargetConnections>) {
    let mut last_cleanup = Instant::now();
    loop {
        tokio::time::sleep(LIVENESS_CHECK_INTERVAL).await;
        targets.check_liveness();
        if last_cleanup.elapsed() >= POOL_CLEANUP_INTERVAL {
            last_cleanup = Instant::now();
            connections.close_expired(|target| targets.contains(target));
        }
    }
}

/// Closes expired connections to neighbours until the task is dropped.
async fn close_expired(connections: Arc<TargetConnections>) {
    loop {
        tokio::time::sleep(POOL_CLEANUP_INTERVAL).await;
        connections.close_expired(|_| true);
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .map_err(|error| Error::Server {
            reason: format!("{address}: {error}"),
        })
}

async fn bind_udp(address: SocketAddr) -> Result<UdpSocket> {
    UdpSocket::bind(address)
        .await
        .map_err(|error| Error::Server {
            reason: format!("{address}: {error}"),
        })
}
