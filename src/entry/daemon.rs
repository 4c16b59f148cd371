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
    caller_server::CallerServer,
    control_client::ControlClient,
    crash_registry::CrashRegistry,
    demand::DemandCounter,
    entry_phase::{EntryPhase, PhaseReceiver, PhaseSender},
    in_flight::InFlight,
    management_server::ManagementServer,
    metrics::EntryMetrics,
    part_reporter,
    proxy::CallerProxy,
    report_poller::{PolledReports, ReportPoller},
    retry_limits::RetryLimits,
    scheduler::Scheduler,
    sync_follower::{SyncContext, SyncFollower},
    target_sync::TargetSync,
    view::SharedView,
};
use crate::{
    client::{self, ConnectCounter},
    config::{self, EntryConfig},
    error::{Error, Result},
    fleet::KeyHasher,
    gateway::CrashWatch,
    ids::EntryKey,
    logger,
};

/// Timeout of the last sync, which deregisters the entry.
const DEREGISTER_TIMEOUT: Duration = Duration::from_secs(3);

/// The entry daemon.
pub struct EntryDaemon<'c> {
    config: &'c EntryConfig,
}

/// A running entry that accepts requests.
struct ServingEntry {
    drain_delay: Duration,
    drain_timeout: Duration,
    phase: PhaseSender,
    in_flight: Arc<InFlight>,
    stop: watch::Sender<bool>,
    server_task: JoinHandle<()>,
    sync_task: JoinHandle<()>,
    poll_task: JoinHandle<()>,
    follower: Arc<SyncFollower>,
    management: BoxFuture<'static, Result<()>>,
}

/// A running entry that refuses new requests and completes those in flight.
struct DrainingEntry(ServingEntry);

impl<'c> EntryDaemon<'c> {
    /// Creates a daemon with the given settings.
    #[must_use]
    pub fn new(config: &'c EntryConfig) -> Self {
        Self { config }
    }

    /// Serves until SIGTERM, then completes requests in flight. A second SIGTERM ends the process
    /// at once.
    ///
    /// # Errors
    /// [`Error::File`] when a secret is not readable, [`Error::Server`] when a port is taken.
    pub async fn run(self) -> Result<()> {
        logger::set_format(self.config.log);
        let mut signals = signal(SignalKind::terminate()).map_err(|error| Error::Server {
            reason: error.to_string(),
        })?;
        let serving = self.start().await?;
        let draining = serving.serve(next_signal(&mut signals)).await?;
        tokio::select! {
            () = draining.finish() => Ok(()),
            () = next_signal(&mut signals) => {
                warn!("entry: second SIGTERM; aborting the requests in flight");
                std::process::exit(1);
            }
        }
    }

    /// Serves until `stop` completes, then completes requests in flight.
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
        let parts = Arc::new(CrashWatch::new(&config.vm));
        let context = SyncContext {
            view: Arc::clone(&view),
            demand: Arc::clone(&demand),
            polled,
            allowance: Arc::clone(&allowance),
            parts: Arc::clone(&parts),
        };
        let follower = SyncFollower::new(config, secret.clone(), context, client.clone());
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
        tokio::spawn(part_reporter::run(Arc::clone(&control), Arc::clone(&parts)));
        let proxy = CallerProxy {
            view: Arc::clone(&view),
            hasher,
            demand,
            allowance,
            scheduler,
            crashes: CrashRegistry::new(Arc::clone(&control), Arc::clone(&parts), &hash_secret),
            control,
            retries: RetryLimits::new(),
            metrics: Arc::clone(&metrics),
            in_flight: Arc::clone(&in_flight),
            phase: PhaseReceiver::new(&phase),
            freshness_bound,
        };
        let management = ManagementServer {
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
        let server = CallerServer::bind(&config.listen, Arc::new(proxy)).await?;
        info!(
            "entry: {} listens for callers at {}",
            config.vm,
            config.listen.socket()
        );
        Ok(ServingEntry {
            drain_delay: Duration::from_millis(config.drain_delay_ms),
            drain_timeout: Duration::from_millis(config.drain_timeout_ms),
            phase,
            in_flight,
            stop,
            server_task: tokio::spawn(server.run(stopping)),
            sync_task: tokio::spawn(Arc::clone(&follower).run()),
            poll_task: tokio::spawn(async move {
                tokio::join!(engine_poller.run(), targets.run());
            }),
            follower,
            management,
        })
    }
}

impl ServingEntry {
    /// Serves until `stop` completes; the readiness check then fails for the drain delay before new
    /// requests are refused.
    async fn serve(mut self, stop: impl Future<Output = ()>) -> Result<DrainingEntry> {
        tokio::select! {
            () = stop => {}
            result = &mut self.management => {
                result?;
                let reason = "the management port has stopped".to_owned();
                return Err(Error::Server { reason });
            }
        }
        info!("entry: shutting down; the readiness check fails from now on");
        self.phase.send_replace(EntryPhase::NotReady);
        let _ = timeout(self.drain_delay, &mut self.management).await;
        self.phase.send_replace(EntryPhase::Draining);
        let count = self.in_flight.count();
        info!("entry: refusing new requests; waiting for {count} requests in flight");
        Ok(DrainingEntry(self))
    }
}

impl DrainingEntry {
    /// Waits for requests in flight, returns the granted allowance to the leader, and closes all
    /// connections.
    async fn finish(self) {
        let ServingEntry {
            drain_delay,
            drain_timeout,
            in_flight,
            stop,
            server_task,
            sync_task,
            poll_task,
            follower,
            mut management,
            ..
        } = self.0;
        let limit = drain_timeout.saturating_sub(drain_delay);
        let idle = async {
            tokio::select! {
                () = in_flight.wait_until_idle() => {}
                // Health checks are answered until the end.
                _ = &mut management => in_flight.wait_until_idle().await,
            }
        };
        if timeout(limit, idle).await.is_err() {
            let count = in_flight.count();
            warn!(
                "entry: {count} requests still in flight after drain_timeout_ms; shutting down anyway"
            );
        }
        // The reply to a concurrent regular sync could grant new allowance.
        sync_task.abort();
        poll_task.abort();
        if !matches!(
            timeout(DEREGISTER_TIMEOUT, follower.deregister()).await,
            Ok(Ok(()))
        ) {
            warn!("sync: no leader confirmed the deregistration within 3 s; stopping anyway");
        }
        stop.send_replace(true);
        let abort = server_task.abort_handle();
        if timeout(Duration::from_millis(500), server_task)
            .await
            .is_err()
        {
            abort.abort();
        }
        info!("entry: stopped");
    }
}

async fn next_signal(signals: &mut Signal) {
    if signals.recv().await.is_none() {
        std::future::pending::<()>().await;
    }
}
