use std::{future::Future, sync::Arc, time::Duration};

use futures::future::BoxFuture;
use spdlog::prelude::*;
use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    sync::watch,
    task::JoinHandle,
    time::timeout,
};

use super::{
    allowance::SharedAllowance,
    caller_port::CallerPort,
    control_client::ControlClient,
    crash::CrashRegistry,
    demand::DemandCounter,
    follow::{SyncContext, SyncFollower},
    in_flight::InFlight,
    management::ManagementPort,
    metrics::EntryMetrics,
    phase::{EntryPhase, PhaseReceiver, PhaseSender},
    poll::{PolledReports, ReportPoller},
    proxy::CallerProxy,
    retries::RetryLimits,
    scheduler::Scheduler,
    target_sync::TargetSync,
    view::SharedView,
};
use crate::{
    client::{self, ConnectCounter},
    config::{self, EntryConfig},
    error::{Error, Result},
    fleet::KeyHasher,
    ids::EntryKey,
    logger,
};

/// Time that the last sync and the closing of connections may take.
const LEAVE_LIMIT: Duration = Duration::from_secs(3);

/// One entry daemon.
pub struct EntryDaemon<'c> {
    config: &'c EntryConfig,
}

/// An entry that serves callers.
struct ServingEntry {
    drain_delay: Duration,
    drain_timeout: Duration,
    phase: PhaseSender,
    in_flight: Arc<InFlight>,
    stop: watch::Sender<bool>,
    callers: JoinHandle<()>,
    following: JoinHandle<()>,
    polling: JoinHandle<()>,
    follower: Arc<SyncFollower>,
    management: BoxFuture<'static, Result<()>>,
}

/// An entry that refuses new work.
struct DrainingEntry(ServingEntry);

impl<'c> EntryDaemon<'c> {
    /// Prepares a daemon with these settings.
    #[must_use]
    pub fn new(config: &'c EntryConfig) -> Self {
        Self { config }
    }

    /// Serves until SIGTERM, then completes what runs. A second SIGTERM ends the process at once.
    ///
    /// # Errors
    /// [`Error::File`] when a secret is not readable, [`Error::Server`] when a port is taken.
    pub async fn run(self) -> Result<()> {
        logger::set_format(self.config.log);
        let mut signals = signal(SignalKind::terminate()).map_err(|error| Error::Server {
            reason: error.to_string(),
        })?;
        let serving = self.start().await?;
        let draining = serving.serve(wait_for(&mut signals)).await?;
        tokio::select! {
            () = draining.finish() => Ok(()),
            () = wait_for(&mut signals) => {
                warn!("entry: second SIGTERM; running requests are aborted");
                std::process::exit(1);
            }
        }
    }

    /// Serves until `stop` completes, then completes what runs.
    ///
    /// # Errors
    /// [`Error::File`] when a secret is not readable, [`Error::Server`] when a port is taken.
    pub async fn run_until(self, stop: impl Future<Output = ()>) -> Result<()> {
        let serving = self.start().await?;
        serving.serve(stop).await?.finish().await;
        Ok(())
    }

    async fn start(self) -> Result<ServingEntry> {
        let config = self.config;
        let view = Arc::new(SharedView::default());
        let client = client::http_client()?;
        let secret = config::read_secret(&config.system_secret_file)?;
        let hash_secret = config::read_secret(&config.key_hash_secret_file)?;
        let hasher = KeyHasher::new(&hash_secret);
        let demand = Arc::new(DemandCounter::default());
        let polled = Arc::new(PolledReports::default());
        let allowance = Arc::new(SharedAllowance::new());
        let engine_poller = ReportPoller::new(Arc::clone(&polled), client.clone());
        let parts = SyncContext {
            view: Arc::clone(&view),
            demand: Arc::clone(&demand),
            polled,
            allowance: Arc::clone(&allowance),
        };
        let follower = SyncFollower::new(config, secret.clone(), parts, client.clone());
        let follower = Arc::new(follower);
        let key = EntryKey {
            vm: config.vm.clone(),
            incarnation: follower.incarnation(),
        };
        let metrics = Arc::new(EntryMetrics::new(config));
        let counter = ConnectCounter::new(metrics.upstream_connections.clone());
        let distances: Vec<_> = config
            .data_centre_rtt_ms
            .iter()
            .map(|(name, rtt)| (name.clone(), Duration::from_millis(*rtt)))
            .collect();
        let scheduler = Scheduler::new(Arc::clone(&view), counter, &distances)?;
        let scheduler = Arc::new(scheduler);
        let targets = TargetSync::new(Arc::clone(&view), Arc::clone(&scheduler));
        let in_flight = InFlight::new(metrics.in_flight.clone());
        let phase = watch::channel(EntryPhase::Serving).0;
        let freshness_bound = Duration::from_millis(config.freshness_bound_ms);
        let control = ControlClient::new(key, config.control.clone(), secret, client);
        let control = Arc::new(control);
        let proxy = CallerProxy {
            view: Arc::clone(&view),
            hasher,
            demand,
            allowance,
            scheduler,
            crashes: CrashRegistry::new(Arc::clone(&control), &hash_secret),
            control,
            retries: RetryLimits::new(),
            metrics: Arc::clone(&metrics),
            in_flight: Arc::clone(&in_flight),
            phase: PhaseReceiver::new(&phase),
            freshness_bound,
        };
        let management = ManagementPort {
            view,
            metrics,
            phase: PhaseReceiver::new(&phase),
            freshness_bound,
        };
        let management: BoxFuture<'static, Result<()>> = match config.manage_listen {
            Some(listen) => Box::pin(management.run(listen)),
            None => Box::pin(std::future::pending()),
        };
        let (stop, stopping) = watch::channel(false);
        let port = CallerPort::open(&config.listen, Arc::new(proxy)).await?;
        info!(
            "entry: {} serves callers at {}",
            config.vm,
            config.listen.socket()
        );
        Ok(ServingEntry {
            drain_delay: Duration::from_millis(config.drain_delay_ms),
            drain_timeout: Duration::from_millis(config.drain_timeout_ms),
            phase,
            in_flight,
            stop,
            callers: tokio::spawn(port.run(stopping)),
            following: tokio::spawn(Arc::clone(&follower).run()),
            polling: tokio::spawn(async move {
                tokio::join!(engine_poller.run(), targets.run());
            }),
            follower,
            management,
        })
    }
}

impl ServingEntry {
    /// Serves until `stop` completes; readiness fails before new work is refused.
    async fn serve(mut self, stop: impl Future<Output = ()>) -> Result<DrainingEntry> {
        tokio::select! {
            () = stop => {}
            result = &mut self.management => {
                result?;
                let reason = "the management port has stopped".to_owned();
                return Err(Error::Server { reason });
            }
        }
        info!("entry: leaving; readiness fails from now on");
        self.phase.send_replace(EntryPhase::Leaving);
        let _ = timeout(self.drain_delay, &mut self.management).await;
        self.phase.send_replace(EntryPhase::Draining);
        let count = self.in_flight.count();
        info!("entry: new work is refused; {count} requests run");
        Ok(DrainingEntry(self))
    }
}

impl DrainingEntry {
    /// Waits for running requests, hands back what the leader lent, and closes all connections.
    async fn finish(self) {
        let ServingEntry {
            drain_delay,
            drain_timeout,
            in_flight,
            stop,
            callers,
            following,
            polling,
            follower,
            mut management,
            ..
        } = self.0;
        let limit = drain_timeout.saturating_sub(drain_delay);
        let idle = async {
            tokio::select! {
                () = in_flight.wait_until_idle() => {}
                // Health checks are answered to the end.
                _ = &mut management => in_flight.wait_until_idle().await,
            }
        };
        if timeout(limit, idle).await.is_err() {
            let count = in_flight.count();
            warn!("entry: {count} requests still run at the end of drain_timeout_ms");
        }
        // A regular sync that replied later would bring new allowance.
        following.abort();
        polling.abort();
        if !matches!(
            timeout(LEAVE_LIMIT, follower.deregister()).await,
            Ok(Ok(()))
        ) {
            warn!("sync: no leader took note that this entry leaves");
        }
        stop.send_replace(true);
        let abort = callers.abort_handle();
        if timeout(Duration::from_millis(500), callers).await.is_err() {
            abort.abort();
        }
        info!("entry: stopped");
    }
}

async fn wait_for(signals: &mut Signal) {
    if signals.recv().await.is_none() {
        std::future::pending::<()>().await;
    }
}
