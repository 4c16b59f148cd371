use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use reqwest::Client;
use spdlog::prelude::*;
use tokio::sync::Notify;

use super::{
    config::GatewayConfig,
    loads::LoadExchange,
    proxy::spread,
    targets::TargetTable,
    view::{ModelDemand, PlanView},
};
use crate::{
    adapter::PlatformAdapter,
    entry::SharedAllowance,
    error::{Error, Result},
    ids::{EntryKey, Incarnation},
    plan::{DocumentDelta, PlanIndex, PlanVersion},
    sync::{
        self, GATEWAY_SYNC_PATH, GatewayReply, GatewayReport, PlanUpdate, SECRET_HEADER,
        ServedModel,
    },
};

/// Time between two syncs without a reason for an earlier one, until the leader has told another.
const FIRST_SYNC_PERIOD: Duration = Duration::from_millis(250);
/// Shortest time between two syncs.
const SHORTEST_PERIOD: Duration = Duration::from_millis(15);
/// Shortest time after which a sync counts as lost and another coordinator is tried.
const SYNC_TIMEOUT: Duration = Duration::from_millis(600);
/// Time between two syncs while the leader sends the whole plan to other gateways.
const PLAN_RETRY: [Duration; 2] = [Duration::from_millis(80), Duration::from_millis(250)];
/// Wait after a failed sync.
const RETRY_DELAY: Duration = Duration::from_millis(60);
/// Age of the leader's list after which the gateway reads the platform's list itself.
const LIST_PATIENCE: Duration = Duration::from_millis(1_800);
/// Time between two such reads.
const LIST_PERIOD: Duration = Duration::from_millis(1_000);

/// Keeps a gateway in step with the leading coordinator.
pub struct GatewayFollower {
    key: EntryKey,
    config: GatewayConfig,
    adapter: Arc<dyn PlatformAdapter>,
    view: Arc<PlanView>,
    targets: Arc<TargetTable>,
    allowance: Arc<SharedAllowance>,
    demand: Arc<ModelDemand>,
    loads: Arc<LoadExchange>,
    client: Client,
    secret: String,
    wanted: Mutex<HashMap<ServedModel, usize>>,
    hurried: Notify,
    state: Mutex<FollowerState>,
}

struct FollowerState {
    /// Coordinators, the one to ask next first.
    coordinators: Vec<SocketAddr>,
    /// When the list of targets was read from the platform.
    listed_at: Option<Instant>,
    is_connected: bool,
    synced_at: Option<Instant>,
    period: Duration,
    /// Document that the leader's changes start from, and its number.
    document: (PlanVersion, Vec<u8>),
    /// Whether the leader has a plan that it sends with a later sync.
    is_plan_awaited: bool,
}

/// Parts of the gateway that the follower reads and updates.
pub struct FollowerParts {
    pub adapter: Arc<dyn PlatformAdapter>,
    pub view: Arc<PlanView>,
    pub targets: Arc<TargetTable>,
    pub allowance: Arc<SharedAllowance>,
    pub demand: Arc<ModelDemand>,
    pub loads: Arc<LoadExchange>,
}

impl GatewayFollower {
    pub fn new(
        config: GatewayConfig,
        incarnation: Incarnation,
        parts: FollowerParts,
        client: Client,
        secret: String,
    ) -> Self {
        let state = FollowerState {
            coordinators: config.coordinators.clone(),
            listed_at: None,
            is_connected: false,
            synced_at: None,
            period: FIRST_SYNC_PERIOD,
            document: (0, Vec::new()),
            is_plan_awaited: false,
        };
        Self {
            key: EntryKey {
                vm: config.vm.clone(),
                incarnation,
            },
            config,
            adapter: parts.adapter,
            view: parts.view,
            targets: parts.targets,
            allowance: parts.allowance,
            demand: parts.demand,
            loads: parts.loads,
            client,
            secret,
            wanted: Mutex::default(),
            hurried: Notify::new(),
            state: Mutex::new(state),
        }
    }

    /// Asks the leader for a model with the next sync, which is sent at once.
    pub fn want(&self, model: &ServedModel) {
        self.wanted().entry(model.clone()).or_insert(0);
        self.hurry();
    }

    /// Makes the next sync come at once.
    pub fn hurry(&self) {
        self.hurried.notify_one();
    }

    /// Returns the time between two syncs.
    pub fn sync_period(&self) -> Duration {
        self.state().period
    }

    /// Returns the leading coordinator, while it answers.
    pub fn leader(&self) -> Option<SocketAddr> {
        let state = self.state();
        let leader = state.coordinators.first().copied();
        leader.filter(|_| state.is_connected)
    }

    /// Asks for a model until the result is dropped.
    pub fn waiting(self: &Arc<Self>, model: &ServedModel) -> WantedModel {
        *self.wanted().entry(model.clone()).or_insert(0) += 1;
        WantedModel {
            follower: Arc::clone(self),
            model: model.clone(),
        }
    }

    /// Tells whether the leader answered lately. Without it no tokens arrive, whatever a team's limit.
    pub fn is_in_touch(&self) -> bool {
        let state = self.state();
        let synced_at = state.synced_at;
        synced_at.is_some_and(|at| at.elapsed() < state.period * 2)
    }

    fn wanted(&self) -> std::sync::MutexGuard<'_, HashMap<ServedModel, usize>> {
        self.wanted.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn state(&self) -> std::sync::MutexGuard<'_, FollowerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Syncs until the task is dropped.
    pub async fn run(&self) {
        tokio::join!(self.run_syncs(), self.run_list());
    }

    async fn run_syncs(&self) {
        loop {
            let begun = Instant::now();
            let synced = self.sync_once().await;
            self.note_connection(synced.as_ref().err());
            if synced.is_err() {
                tokio::time::sleep(RETRY_DELAY).await;
                continue;
            }
            let is_plan_awaited = std::mem::take(&mut self.state().is_plan_awaited);
            let period = if is_plan_awaited {
                spread(PLAN_RETRY[0], PLAN_RETRY[1])
            } else {
                self.sync_period()
            };
            let rest = period.saturating_sub(begun.elapsed());
            tokio::select! {
                () = tokio::time::sleep(rest) => {}
                () = self.hurried.notified() => {}
            }
            tokio::time::sleep(SHORTEST_PERIOD.saturating_sub(begun.elapsed())).await;
        }
    }

    fn note_connection(&self, error: Option<&Error>) {
        let mut state = self.state();
        if state.is_connected == error.is_none() {
            return;
        }
        state.is_connected = error.is_none();
        match error {
            None => info!("gateway: the leader is reachable"),
            Some(error) => warn!("gateway: the leader is not reachable: {error}"),
        }
    }

    async fn sync_once(&self) -> Result<()> {
        let coordinator = self.state().coordinators.first().copied();
        let coordinator = coordinator.ok_or(Error::NotLeader { leader: None })?;
        let (shares, asked_at) = self.allowance.make_reports();
        let wanted: BTreeSet<ServedModel> = self.wanted().keys().cloned().collect();
        let report = GatewayReport {
            gateway: self.key.clone(),
            data_centre: self.config.data_centre.clone(),
            plan_version: self.state().document.0,
            list_version: self.targets.version(),
            shares,
            load_address: self.config.load_listen,
            demand: self.demand.take(),
            unresponsive: self.targets.silent(),
            missing_models: wanted.iter().cloned().collect(),
        };
        match self.send(coordinator, &report).await {
            Ok(reply) => {
                self.wanted()
                    .retain(|model, waiters| *waiters > 0 || !wanted.contains(model));
                self.allowance.apply_grants(&reply.grants, asked_at);
                self.accept(reply);
                Ok(())
            }
            Err(error) => {
                self.demand.put_back(&report.demand);
                self.turn(coordinator, &error);
                Err(error)
            }
        }
    }

    /// Asks another coordinator next: the leader that this one names, or the next in line.
    fn turn(&self, failed: SocketAddr, error: &Error) {
        let mut state = self.state();
        if state.coordinators.first() == Some(&failed) {
            state.coordinators.rotate_left(1);
        }
        let leader = match error {
            Error::NotLeader {
                leader: Some(leader),
            } => leader.parse().ok(),
            _ => None,
        };
        if let Some(leader) = leader {
            state.coordinators.retain(|known| *known != leader);
            state.coordinators.insert(0, leader);
        }
    }

    async fn send(&self, coordinator: SocketAddr, report: &GatewayReport) -> Result<GatewayReply> {
        let failed = |error: reqwest::Error| Error::Transport {
            peer: coordinator.to_string(),
            reason: error.to_string(),
        };
        let answer = self
            .client
            .post(format!("http://{coordinator}{GATEWAY_SYNC_PATH}"))
            .header(SECRET_HEADER, &self.secret)
            .timeout(self.sync_period().max(SYNC_TIMEOUT))
            .body(sync::encode(report)?)
            .send()
            .await
            .map_err(failed)?;
        if answer.status() == reqwest::StatusCode::MISDIRECTED_REQUEST {
            let leader = answer.text().await.map_err(failed)?;
            let leader = Some(leader).filter(|leader| !leader.is_empty());
            return Err(Error::NotLeader { leader });
        }
        let answer = answer.error_for_status().map_err(failed)?;
        sync::decode("gateway reply", &answer.bytes().await.map_err(failed)?)
    }

    fn accept(&self, reply: GatewayReply) {
        if let Some(news) = &reply.plan
            && let Err(error) = self.accept_plan(news)
        {
            error!("gateway: a plan cannot be used: {error}");
            // Without a document the next sync brings the whole one.
            self.state().document = (0, Vec::new());
        }
        let plan = self.view.get();
        if let (Some(plan), Some(list)) = (plan, reply.targets) {
            self.targets.apply(&plan, list);
        }
        self.loads.set_topology(reply.load_topology);
        let mut state = self.state();
        state.period = Duration::from_millis(reply.sync_interval_ms);
        state.synced_at = Some(Instant::now());
        if let Some(age) = reply.list_age_ms {
            state.listed_at = Instant::now().checked_sub(Duration::from_millis(age));
        }
        for coordinator in reply.coordinators {
            if !state.coordinators.contains(&coordinator) {
                state.coordinators.push(coordinator);
            }
        }
    }

    fn accept_plan(&self, news: &PlanUpdate) -> Result<()> {
        let unusable = |reason: String| Error::Decode {
            what: "plan",
            reason,
        };
        let (version, document) = match news {
            PlanUpdate::Deferred { .. } => {
                self.state().is_plan_awaited = true;
                return Ok(());
            }
            PlanUpdate::Full {
                version,
                compressed,
            } => {
                let document = lz4_flex::decompress_size_prepended(compressed);
                let document = document.map_err(|error| unusable(error.to_string()));
                (*version, document?)
            }
            PlanUpdate::Delta {
                version,
                compressed,
                ..
            } => {
                let delta = lz4_flex::decompress_size_prepended(compressed);
                let delta = delta.map_err(|error| unusable(error.to_string()))?;
                let delta: DocumentDelta = sync::decode("plan change", &delta)?;
                let document = delta.apply_to(&self.state().document.1);
                let document = document.map_err(|error| unusable(error.to_string()));
                (*version, document?)
            }
        };
        let plan = self.adapter.decode_plan(&document)?;
        self.state().document = (version, document);
        if self.view.set(PlanIndex::new(plan)) {
            info!("gateway: a plan is in force", kv: { plan = version });
        }
        if let Some(plan) = self.view.get() {
            self.targets.refresh(&plan);
        }
        Ok(())
    }

    /// Reads the platform's list itself while no leader supplies it, so that leaving targets get
    /// no new work.
    async fn run_list(&self) {
        loop {
            tokio::time::sleep(LIST_PERIOD).await;
            let listed_at = self.state().listed_at;
            let is_fresh = listed_at.is_some_and(|at| at.elapsed() < LIST_PATIENCE);
            let Some(plan) = self.view.get().filter(|_| !is_fresh) else {
                continue;
            };
            match self.adapter.list_targets().await {
                Ok(targets) => {
                    info!("gateway: reads the platform's list itself", kv: { targets = targets.len() });
                    self.targets.apply_own(&plan, targets);
                }
                Err(error) => warn!("gateway: the platform's list is not readable: {error}"),
            }
        }
    }
}

/// A model that a request waits for.
pub struct WantedModel {
    follower: Arc<GatewayFollower>,
    model: ServedModel,
}

impl Drop for WantedModel {
    fn drop(&mut self) {
        let mut wanted = self.follower.wanted();
        if let Some(waiters) = wanted.get_mut(&self.model) {
            *waiters = waiters.saturating_sub(1);
            if *waiters == 0 {
                wanted.remove(&self.model);
            }
        }
    }
}
