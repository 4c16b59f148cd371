use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use reqwest::Client;
use spdlog::prelude::*;
use tokio::sync::Semaphore;

use super::{
    allowance::SharedAllowance,
    control_peers::{ControlPeers, check_response},
    demand::DemandCounter,
    report_poller::PolledReports,
    view::SharedView,
};
use crate::{
    allowance::ShareReport,
    client,
    clock::BootInstant,
    config::EntryConfig,
    error::{Error, Result},
    gateway::CrashWatch,
    ids::{Incarnation, TeamId},
    sync::{self, SECRET_HEADER, SYNC_PATH, SyncReply, SyncRequest},
};

/// Time for which the leader may hold a sync while there are no changes.
const MAX_HOLD: Duration = Duration::from_millis(400);
/// Time for which the leader may hold an urgent sync, which requests tokens for waiting requests.
const MAX_URGENT_HOLD: Duration = Duration::from_millis(200);
/// Maximum number of urgent syncs concurrent with the regular one.
const MAX_URGENT_SYNCS: usize = 2;
/// Timeout of a sync, after which another control daemon is tried.
const SYNC_TIMEOUT: Duration = Duration::from_millis(900);
/// Delay after a failed sync, which limits the request rate to a fleet without a leader.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Share reports with the time that identifies them.
type TimedReports = (Vec<ShareReport>, Duration);

/// Keeps an entry's view and allowance up to date by syncing with the leader.
pub struct SyncFollower {
    config: EntryConfig,
    secret: String,
    view: Arc<SharedView>,
    demand: Arc<DemandCounter>,
    polled: Arc<PolledReports>,
    allowance: Arc<SharedAllowance>,
    parts: Arc<CrashWatch>,
    client: Client,
    incarnation: Incarnation,
    serial: AtomicU64,
    control: ControlPeers,
    is_shutting_down: AtomicBool,
}

/// State of the entry that a sync reads and updates.
pub struct SyncContext {
    /// View updated from sync replies.
    pub view: Arc<SharedView>,
    /// Demand reported in sync requests.
    pub demand: Arc<DemandCounter>,
    /// Engine reports forwarded in sync requests.
    pub polled: Arc<PolledReports>,
    /// Allowance reported in sync requests and granted in replies.
    pub allowance: Arc<SharedAllowance>,
    /// Parts reported to the leader and blocked by its replies.
    pub parts: Arc<CrashWatch>,
}

impl SyncFollower {
    /// Creates the follower of a process that has just started, with a new incarnation.
    #[must_use]
    pub fn new(config: &EntryConfig, secret: String, context: SyncContext, client: Client) -> Self {
        Self {
            config: config.clone(),
            secret,
            view: context.view,
            demand: context.demand,
            polled: context.polled,
            allowance: context.allowance,
            parts: context.parts,
            client,
            incarnation: rand::random(),
            serial: AtomicU64::new(0),
            control: ControlPeers::new(config.control.clone()),
            is_shutting_down: AtomicBool::new(false),
        }
    }

    /// Returns the random identifier of this process's lifetime.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Syncs until the task is dropped.
    pub async fn run(self: Arc<Self>) {
        let urgent = Arc::clone(&self).run_urgent();
        let regular = async {
            loop {
                let shares = self.allowance.make_reports();
                if self.sync_once(MAX_HOLD, shares).await.is_err() {
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        };
        tokio::join!(regular, urgent);
    }

    /// Runs an urgent sync, concurrent with the regular one, whenever a request waits for tokens.
    async fn run_urgent(self: Arc<Self>) {
        let permits = Arc::new(Semaphore::new(MAX_URGENT_SYNCS));
        loop {
            self.allowance.wait_for_shortage().await;
            let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
                return;
            };
            let Some(shares) = self.allowance.make_urgent_reports() else {
                continue;
            };
            let teams: Vec<TeamId> = shares.0.iter().map(|share| share.team.clone()).collect();
            let follower = Arc::clone(&self);
            tokio::spawn(async move {
                if follower.sync_once(MAX_URGENT_HOLD, shares).await.is_err() {
                    tokio::time::sleep(RETRY_DELAY).await;
                }
                drop(permit);
                follower.allowance.finish_urgent_reports(&teams);
            });
        }
    }

    /// Returns all allowance to the leader and reports that this entry shuts down.
    ///
    /// # Errors
    /// The error of the last sync, after one attempt at each control daemon and at a leader that they name.
    pub async fn deregister(&self) -> Result<()> {
        self.is_shutting_down.store(true, Ordering::Relaxed);
        self.allowance.begin_shutdown();
        let mut last = Ok(());
        // The leader that the last one names is asked as well.
        for _ in 0..=self.control.count() {
            last = self
                .sync_once(Duration::ZERO, self.allowance.make_reports())
                .await;
            if last.is_ok() {
                return Ok(());
            }
        }
        last
    }

    async fn sync_once(&self, hold: Duration, shares: TimedReports) -> Result<()> {
        let control = self.control.current();
        let result = self.exchange(control, hold, shares).await;
        if let Err(error) = &result {
            debug!("sync: failed, trying the next control daemon: {error}");
            self.control.record_failure(control, error);
        }
        result
    }

    async fn exchange(
        &self,
        control: SocketAddr,
        hold: Duration,
        (shares, reported_at): TimedReports,
    ) -> Result<()> {
        let serial = self.serial.fetch_add(1, Ordering::Relaxed) + 1;
        let view = self.view.get();
        let (reports, observations) = self.polled.take();
        let request = SyncRequest {
            vm: self.config.vm.clone(),
            data_centre: self.config.data_centre.clone(),
            incarnation: self.incarnation,
            serial,
            revision: view.revision,
            residency_version: view.residency_version,
            avoided_version: view.avoided_version,
            crashes_version: view.crashes.version,
            parts_version: self.parts.version(),
            is_shutting_down: self.is_shutting_down.load(Ordering::Relaxed),
            shares,
            demand: self.demand.take(),
            reports,
            observations,
            hold_ms: u64::try_from(hold.as_millis()).unwrap_or(u64::MAX),
        };
        // The demand of a failed sync is dropped: the planner smooths demand, and counting it twice
        // would be worse than missing it.
        let requested_at = BootInstant::now();
        let reply = self.send(control, &request).await?;
        if reply.serial != serial {
            return Err(Error::Decode {
                what: "sync reply",
                reason: "wrong serial".to_owned(),
            });
        }
        if let Some(section) = &reply.parts {
            self.parts.apply_section(section);
        }
        self.allowance.apply_grants(&reply.grants, reported_at);
        self.polled.assign(&reply.assigned, &view.index);
        if let Some(revision) = self.view.update(reply, requested_at) {
            info!("sync: applied configuration revision {revision}");
        }
        Ok(())
    }

    async fn send(&self, control: SocketAddr, request: &SyncRequest) -> Result<SyncReply> {
        let transport = |error: reqwest::Error| Error::Transport {
            peer: control.to_string(),
            reason: error.to_string(),
        };
        let response = self
            .client
            .post(format!("http://{control}{SYNC_PATH}"))
            .header(SECRET_HEADER, &self.secret)
            .timeout(SYNC_TIMEOUT)
            .body(sync::encode(request)?)
            .send()
            .await
            .map_err(transport)?;
        let response = check_response(control, response)?;
        let peer = control.to_string();
        let body = client::read_body(&peer, response, client::MAX_MESSAGE_BYTES).await?;
        sync::decode("sync reply", &body)
    }
}
