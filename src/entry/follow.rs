use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use reqwest::Client;
use spdlog::prelude::*;
use tokio::sync::Semaphore;

use super::{
    allowance::SharedAllowance, demand::DemandCounter, poll::PolledReports, view::SharedView,
};
use crate::{
    allowance::ShareReport,
    config::EntryConfig,
    error::{Error, Result},
    ids::{Incarnation, TeamId},
    sync::{self, SECRET_HEADER, SYNC_PATH, SyncReply, SyncRequest},
};

/// Time that the leader may hold a sync when there is no news.
const HOLD: Duration = Duration::from_millis(400);
/// Time that the leader may hold a sync which asks for tokens that a request waits for.
const URGENT_HOLD: Duration = Duration::from_millis(200);
/// Syncs for waiting requests that may run beside the regular one.
const URGENT_SYNCS: usize = 2;
/// Time after which a sync counts as lost and another control daemon is tried.
const SYNC_TIMEOUT: Duration = Duration::from_millis(900);
/// Wait after a failed sync, so that a fleet without a leader is not flooded.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Share reports with the time that names them.
type TimedReports = (Vec<ShareReport>, Duration);

/// Keeps an entry's view and allowance up to date by syncing with the leader.
pub struct SyncFollower {
    config: EntryConfig,
    secret: String,
    view: Arc<SharedView>,
    demand: Arc<DemandCounter>,
    polled: Arc<PolledReports>,
    allowance: Arc<SharedAllowance>,
    client: Client,
    incarnation: Incarnation,
    serial: AtomicU64,
    /// Index of the control daemon that answered last.
    leader: AtomicUsize,
    is_leaving: AtomicBool,
}

/// Parts of the entry that a sync reads and updates.
pub struct SyncContext {
    /// View that the replies update.
    pub view: Arc<SharedView>,
    /// Demand that the requests carry.
    pub demand: Arc<DemandCounter>,
    /// Reports that the requests carry.
    pub polled: Arc<PolledReports>,
    /// Allowance that requests and replies exchange.
    pub allowance: Arc<SharedAllowance>,
}

impl SyncFollower {
    /// Prepares a follower of a process that has just started.
    #[must_use]
    pub fn new(config: &EntryConfig, secret: String, parts: SyncContext, client: Client) -> Self {
        Self {
            config: config.clone(),
            secret,
            view: parts.view,
            demand: parts.demand,
            polled: parts.polled,
            allowance: parts.allowance,
            client,
            incarnation: rand::random(),
            serial: AtomicU64::new(0),
            leader: AtomicUsize::new(0),
            is_leaving: AtomicBool::new(false),
        }
    }

    /// Life of this process, as the leader knows it.
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
                if self.sync_once(HOLD, shares).await.is_err() {
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        };
        tokio::join!(regular, urgent);
    }

    /// Asks for tokens at once when a request waits for them, beside the regular sync.
    async fn run_urgent(self: Arc<Self>) {
        let permits = Arc::new(Semaphore::new(URGENT_SYNCS));
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
                if follower.sync_once(URGENT_HOLD, shares).await.is_err() {
                    tokio::time::sleep(RETRY_DELAY).await;
                }
                drop(permit);
                follower.allowance.finish_urgent_reports(&teams);
            });
        }
    }

    /// Hands back all allowance and tells the leader that this entry leaves.
    ///
    /// # Errors
    /// The last sync's error, after each control daemon was tried once.
    pub async fn deregister(&self) -> Result<()> {
        self.is_leaving.store(true, Ordering::Relaxed);
        self.allowance.begin_shutdown();
        let mut last = Ok(());
        for _ in &self.config.control {
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
        let turn = self.leader.load(Ordering::Relaxed);
        let control = self.config.control[turn % self.config.control.len()];
        let synced = self.exchange(control, hold, shares).await;
        if let Err(error) = &synced {
            debug!("sync: {error}");
            // Another task may have moved on already.
            let next = turn.wrapping_add(1);
            let _ = self
                .leader
                .compare_exchange(turn, next, Ordering::Relaxed, Ordering::Relaxed);
        }
        synced
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
            is_shutting_down: self.is_leaving.load(Ordering::Relaxed),
            shares,
            demand: self.demand.take(),
            reports,
            observations,
            hold_ms: u64::try_from(hold.as_millis()).unwrap_or(u64::MAX),
        };
        // Demand of a lost sync is lost with it: the planner smooths it, and a doubled count would
        // be worse than a missed one.
        let asked = Instant::now();
        let reply = self.send(control, &request).await?;
        if reply.serial != serial {
            return Err(Error::Decode {
                what: "sync reply",
                reason: "wrong serial".to_owned(),
            });
        }
        self.allowance.apply_grants(&reply.grants, reported_at);
        self.polled.assign(&reply.assigned, &view.index);
        if let Some(revision) = self.view.update(reply, asked) {
            info!("sync: revision {revision} is in force");
        }
        Ok(())
    }

    async fn send(&self, control: SocketAddr, request: &SyncRequest) -> Result<SyncReply> {
        let transport = |error: reqwest::Error| Error::Transport {
            peer: control.to_string(),
            reason: error.to_string(),
        };
        let answer = self
            .client
            .post(format!("http://{control}{SYNC_PATH}"))
            .header(SECRET_HEADER, &self.secret)
            .timeout(SYNC_TIMEOUT)
            .body(sync::encode(request)?)
            .send()
            .await
            .and_then(reqwest::Response::error_for_status)
            .map_err(transport)?;
        sync::decode("sync reply", &answer.bytes().await.map_err(transport)?)
    }
}
