use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use spdlog::prelude::*;
use tokio::{
    net::{TcpListener, UdpSocket},
    sync::watch,
};

use super::{
    config::GatewayConfig,
    connections::TargetConnections,
    follower::{FollowerParts, GatewayFollower},
    grants::GrantClient,
    loads::LoadExchange,
    port,
    proxy::GatewayProxy,
    ready::ReadyPort,
    targets::TargetTable,
    view::{ModelDemand, PlanView},
};
use crate::{
    adapter::PlatformAdapter,
    client,
    entry::SharedAllowance,
    error::{Error, Result},
    ids::EntryKey,
    route::RetryBudget,
};

/// Time after SIGTERM during which requests are taken as before: the load balancer asks once a
/// second and takes a gateway out after two answers. A stream that begins later may not end before
/// the process must.
const ROTATION_TIME: Duration = Duration::from_millis(2_700);
/// Time before the end of the grace time at which the process ends, whatever runs.
const EXIT_MARGIN: Duration = Duration::from_millis(700);
/// Time between two checks for silent targets.
const PULSE_PERIOD: Duration = Duration::from_millis(100);
/// Time between two sweeps of idle connections.
const SWEEP_PERIOD: Duration = Duration::from_secs(1);

/// One gateway.
pub struct GatewayDaemon {
    config: GatewayConfig,
    adapter: Arc<dyn PlatformAdapter>,
    secret: String,
}

impl GatewayDaemon {
    /// Prepares a gateway on a platform.
    #[must_use]
    pub fn new(config: GatewayConfig, adapter: Arc<dyn PlatformAdapter>, secret: String) -> Self {
        Self {
            config,
            adapter,
            secret,
        }
    }

    /// Serves until `stop` is ready, then lets running requests end.
    ///
    /// # Errors
    /// [`Error::Server`] when a port is taken.
    pub async fn run_until(self, stop: impl Future<Output = ()>) -> Result<()> {
        let config = self.config;
        let callers = listen(config.listen).await?;
        let ready = listen(config.ready_listen).await?;
        let view = Arc::new(PlanView::default());
        let targets = Arc::new(TargetTable::new(&config.data_centre));
        let allowance = Arc::new(SharedAllowance::new());
        let demand = Arc::new(ModelDemand::default());
        let incarnation = rand::random();
        let socket = UdpSocket::bind(config.load_listen).await;
        let socket = socket.map_err(|error| Error::Server {
            reason: format!("{}: {error}", config.load_listen),
        })?;
        let loads = LoadExchange::new(socket, incarnation, Arc::clone(&targets));
        let loads = Arc::new(loads);
        let parts = FollowerParts {
            loads: Arc::clone(&loads),
            adapter: Arc::clone(&self.adapter),
            view: Arc::clone(&view),
            targets: Arc::clone(&targets),
            allowance: Arc::clone(&allowance),
            demand: Arc::clone(&demand),
        };
        let client = client::http_client()?;
        let follower =
            GatewayFollower::new(config.clone(), incarnation, parts, client, self.secret);
        let follower = Arc::new(follower);
        let key = EntryKey {
            vm: config.vm.clone(),
            incarnation,
        };
        let grants = GrantClient::open(
            config.load_listen,
            key,
            Arc::clone(&allowance),
            Arc::clone(&follower),
        );
        let grants = grants.await?;
        let connections = Arc::new(TargetConnections::default());
        let (refuse, refusing) = watch::channel(false);
        let proxy = Arc::new(GatewayProxy {
            adapter: self.adapter,
            view: Arc::clone(&view),
            targets: Arc::clone(&targets),
            connections: Arc::clone(&connections),
            allowance: Arc::clone(&allowance),
            demand,
            follower: Arc::clone(&follower),
            retries: RetryBudget::new().into(),
            started: Instant::now(),
            is_closing: AtomicBool::new(false),
            refusing,
        });
        let (begin_stop, stopping) = watch::channel(false);
        let ready_port = Arc::new(ReadyPort {
            view,
            targets: Arc::clone(&targets),
            stopping,
        });
        let (close, closing) = watch::channel(false);
        tokio::spawn(ready_port.run(ready));
        tokio::spawn(async move { follower.run().await });
        tokio::spawn(grants.run());
        tokio::spawn(async move { loads.run().await });
        tokio::spawn(async move {
            let mut swept = Instant::now();
            loop {
                tokio::time::sleep(PULSE_PERIOD).await;
                targets.check_pulses();
                if swept.elapsed() >= SWEEP_PERIOD {
                    swept = Instant::now();
                    connections.sweep(|target| targets.contains(target));
                }
            }
        });
        let serving = tokio::spawn(port::run(callers, Arc::clone(&proxy), closing));
        info!("gateway: {} serves callers at {}", config.vm, config.listen);
        stop.await;
        info!("gateway: shuts down");
        let end = Instant::now() + config.grace.saturating_sub(EXIT_MARGIN);
        begin_stop.send_replace(true);
        proxy.is_closing.store(true, Ordering::Relaxed);
        tokio::time::sleep(ROTATION_TIME.min(config.grace / 2)).await;
        refuse.send_replace(true);
        // Before this moment requests are served, which takes tokens.
        allowance.begin_shutdown();
        close.send_replace(true);
        let ended = tokio::time::timeout_at(end.into(), serving).await;
        if ended.is_ok() {
            info!("gateway: has stopped");
        } else {
            warn!("gateway: stops with requests that still run");
        }
        Ok(())
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .map_err(|error| Error::Server {
            reason: format!("{address}: {error}"),
        })
}
