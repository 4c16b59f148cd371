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
    absence_watch::AbsenceWatch,
    config::GatewayConfig,
    crash_watch::CrashWatch,
    evacuations::confirmed_state,
    list_fallback::ListFallback,
    loads::LoadExchange,
    model_waiter::ModelWaiter,
    neighbours::NeighbourTable,
    part_watch::PartReport,
    plan_lease::DoubtfulTime,
    retry_delay::random_duration,
    stream_origins::StreamOrigins,
    sync_pacing::SyncPacing,
    sync_peers::{SyncPeer, SyncPeers},
    targets::TargetTable,
    view::{ModelDemand, PlanView},
};
use crate::{
    adapter::{PlatformAdapter, SeedList},
    client,
    clock::BootInstant,
    entry::SharedAllowance,
    error::{Error, Result},
    ids::{EntryKey, Incarnation},
    plan::{DocumentDelta, PlanIndex, PlanVersion},
    sync::{
        self, AwaitedModel, GATEWAY_SYNC_PATH, GatewayReply, GatewayReport, LeaderRedirect,
        ListVersion, PlanNews, PlanUpdate, SECRET_HEADER, ServingState, SyncSerial, TargetDigest,
    },
};

/// Interval between syncs until the leader sets another one, unless a sync is requested earlier.
const INITIAL_SYNC_INTERVAL: Duration = Duration::from_millis(250);
/// Minimum interval between syncs.
const MIN_SYNC_INTERVAL: Duration = Duration::from_millis(15);
/// Minimum and maximum interval between syncs while the leader is busy sending the full plan to
/// other gateways.
const PLAN_RETRY_INTERVAL: [Duration; 2] = [Duration::from_millis(80), Duration::from_millis(250)];
/// Maximum size of a reply that names the leader and the voters.
const MAX_REDIRECT_BYTES: usize = 4_096;
/// Interval between syncs while requests wait for a model.
const MODEL_RETRY_INTERVAL: Duration = Duration::from_millis(150);
/// Minimum time between syncs that only ask who leads.
const LEADER_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which the age of the leader's list is checked.
const LIST_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Client that synchronises plan, targets and token grants of a gateway with the leading
/// coordinator.
pub struct SyncClient {
    started_at: BootInstant,
    key: EntryKey,
    config: GatewayConfig,
    adapter: Arc<dyn PlatformAdapter>,
    view: Arc<PlanView>,
    targets: Arc<TargetTable>,
    allowance: Arc<SharedAllowance>,
    demand: Arc<ModelDemand>,
    loads: Arc<LoadExchange>,
    neighbours: Arc<NeighbourTable>,
    crash_watch: Arc<CrashWatch>,
    stream_origins: Arc<StreamOrigins>,
    news_address: SocketAddr,
    http_client: Client,
    secret: String,
    wanted_models: Mutex<HashMap<AwaitedModel, usize>>,
    sync_requested: Notify,
    seeds: Mutex<SeedList>,
    state: Mutex<SyncState>,
}

struct SyncState {
    peers: SyncPeers,
    /// When the leader's target list was read from the platform.
    listed_at: Option<Instant>,
    is_connected: bool,
    /// What voters have said of times without a leader.
    absence: AbsenceWatch,
    /// Coordinator that answered the last sync; `None` after a failed one.
    synced_with: Option<SyncPeer>,
    /// When the last sync was sent.
    synced_at: Duration,
    /// Number of the last report.
    last_serial: SyncSerial,
    sync_interval: Duration,
    /// Plan that the leader's incremental updates apply to: version and document.
    document: (PlanVersion, Vec<u8>),
    /// Whether the leader has a newer plan that it will send with a later sync.
    is_plan_pending: bool,
    /// Number of times that the leader has postponed an update since the last one.
    postponements: u32,
    pacing: SyncPacing,
    list_fallback: ListFallback,
}

/// Parts of the gateway that the client reads and updates.
pub struct SyncParts {
    /// UDP address that receives news of plans.
    pub news_address: SocketAddr,
    /// Coordinators that the platform names.
    pub seeds: SeedList,
    pub adapter: Arc<dyn PlatformAdapter>,
    pub view: Arc<PlanView>,
    pub targets: Arc<TargetTable>,
    pub allowance: Arc<SharedAllowance>,
    pub demand: Arc<ModelDemand>,
    pub loads: Arc<LoadExchange>,
    pub neighbours: Arc<NeighbourTable>,
    pub crash_watch: Arc<CrashWatch>,
    pub stream_origins: Arc<StreamOrigins>,
}

impl SyncClient {
    pub fn new(
        config: GatewayConfig,
        incarnation: Incarnation,
        parts: SyncParts,
        http_client: Client,
        secret: String,
    ) -> Self {
        let state = SyncState {
            peers: SyncPeers::new(config.vm.clone(), config.coordinators.clone()),
            listed_at: None,
            is_connected: false,
            absence: AbsenceWatch::new(),
            synced_with: None,
            synced_at: Duration::ZERO,
            last_serial: 0,
            sync_interval: INITIAL_SYNC_INTERVAL,
            document: (0, Vec::new()),
            is_plan_pending: false,
            postponements: 0,
            pacing: SyncPacing::new(),
            list_fallback: ListFallback::new(config.list_calls_per_second),
        };
        Self {
            started_at: BootInstant::now(),
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
            neighbours: parts.neighbours,
            crash_watch: parts.crash_watch,
            stream_origins: parts.stream_origins,
            news_address: parts.news_address,
            http_client,
            secret,
            wanted_models: Mutex::default(),
            sync_requested: Notify::new(),
            seeds: Mutex::new(parts.seeds),
            state: Mutex::new(state),
        }
    }

    /// Requests a model from the leader and triggers a sync at once.
    pub fn request_model(&self, model: &AwaitedModel) {
        self.wanted_models().entry(model.clone()).or_insert(0);
        self.sync_now();
    }

    /// Triggers a sync at once.
    pub fn sync_now(&self) {
        self.sync_requested.notify_one();
    }

    /// Returns the current interval between syncs.
    pub fn sync_interval(&self) -> Duration {
        self.state().sync_interval
    }

    /// Returns the address of the leading coordinator; `None` while it does not answer.
    pub fn leader(&self) -> Option<SocketAddr> {
        let state = self.state();
        let leader = state.peers.coordinators.first();
        leader.filter(|_| state.is_connected)
    }

    /// Returns whether a delegate answers the syncs, so that tokens have to be reported to the leader by
    /// themselves.
    pub fn is_delegated(&self) -> bool {
        matches!(self.state().synced_with, Some(SyncPeer::Delegate(_)))
    }

    /// Asks for the leader again, unless that was done a moment ago.
    pub fn look_for_leader(&self) {
        let synced_at = self.state().synced_at;
        if self.started_at.elapsed().saturating_sub(synced_at) >= LEADER_CHECK_INTERVAL {
            self.sync_now();
        }
    }

    /// Returns whether a quorum of voters has said that no leader can have acknowledged anything in a time.
    pub fn was_leaderless(&self, doubtful: DoubtfulTime) -> bool {
        let now = self.started_at.elapsed();
        let began = now.saturating_sub(doubtful.began_ago);
        let ended = now.saturating_sub(doubtful.ended_ago);
        self.state().absence.was_leaderless(began, ended)
    }

    /// Applies what the leader has sent between two syncs, and returns what is in force; `None` when the gateway
    /// needs a sync to get it.
    pub fn apply_news(&self, news: &PlanNews) -> Option<ServingState> {
        if let Some(section) = &news.evacuations {
            self.targets.apply_evacuations(section);
        }
        let held = self.state().document.0;
        if let Some(update) = news
            .update
            .as_ref()
            .filter(|update| update.version() > held)
            && let Err(error) = self.apply_plan_update(update)
        {
            let newest = update.version();
            debug!("gateway: cannot apply plan {newest} without a sync: {error}");
        }
        let held = self.state().document.0;
        confirmed_state(news, held, self.targets.evacuation_revision())
    }

    /// Requests a model with every sync until the returned guard is dropped.
    pub fn add_waiter(self: &Arc<Self>, model: &AwaitedModel) -> ModelWaiter {
        *self.wanted_models().entry(model.clone()).or_insert(0) += 1;
        ModelWaiter {
            client: Arc::clone(self),
            model: model.clone(),
        }
    }

    /// Returns whether requests wait for a model.
    fn has_waiters(&self) -> bool {
        self.wanted_models().values().any(|waiters| *waiters > 0)
    }

    pub(super) fn wanted_models(&self) -> std::sync::MutexGuard<'_, HashMap<AwaitedModel, usize>> {
        self.wanted_models
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn state(&self) -> std::sync::MutexGuard<'_, SyncState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs until the task is dropped.
    pub async fn run(&self) {
        tokio::join!(self.run_sync(), self.poll_platform_list());
    }

    async fn run_sync(&self) {
        loop {
            let started_at = Instant::now();
            let report = self.make_report();
            let now = self.started_at.elapsed();
            let peer = self.state().peers.next(report.needs_leader(), now);
            let Some(peer) = peer else {
                self.put_back(report);
                self.refresh_seeds();
                tokio::time::sleep(self.sync_interval()).await;
                continue;
            };
            let synced = self.sync_once(peer, report).await;
            self.record_connection(synced.as_ref().err());
            if let Err(error) = &synced {
                let delay = self.record_failure(peer, error, started_at.elapsed());
                let delay = if self.refresh_seeds() {
                    MIN_SYNC_INTERVAL
                } else {
                    delay
                };
                tokio::time::sleep(delay).await;
                continue;
            }
            let is_plan_pending = std::mem::take(&mut self.state().is_plan_pending);
            let interval = match is_plan_pending {
                true => random_duration(PLAN_RETRY_INTERVAL[0], PLAN_RETRY_INTERVAL[1]),
                false if self.has_waiters() => MODEL_RETRY_INTERVAL.min(self.sync_interval()),
                false => self.sync_interval(),
            };
            let delay = interval.saturating_sub(started_at.elapsed());
            tokio::select! {
                () = tokio::time::sleep(delay) => {}
                () = self.sync_requested.notified() => {}
                () = self.crash_watch.report_due() => {}
                () = self.stream_origins.report_due() => {}
            }
            tokio::time::sleep(MIN_SYNC_INTERVAL.saturating_sub(started_at.elapsed())).await;
        }
    }

    /// Reads again which coordinators the platform names, and returns whether there are others, which are asked first.
    fn refresh_seeds(&self) -> bool {
        let mut seeds = self.seeds.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(named) = seeds.read_changed() else {
            return false;
        };
        let mut state = self.state();
        state.peers.coordinators.put_first(named);
        state.pacing.record_success();
        true
    }

    /// Selects the coordinator for the next sync after a failed one, and returns the delay before it.
    fn record_failure(&self, failed: SyncPeer, error: &Error, elapsed: Duration) -> Duration {
        let now = self.started_at.elapsed();
        let mut state = self.state();
        let interval = state.sync_interval;
        let mut rng = rand::rng();
        let leader = match error {
            Error::NotLeader { leader } => Some(leader.as_ref().and_then(|name| name.parse().ok())),
            _ => None,
        };
        let peers = &mut state.peers;
        match (failed, leader) {
            (SyncPeer::Leader(failed), Some(leader)) => {
                if peers.coordinators.record_redirect(failed, leader, now) {
                    return state.pacing.redirect_delay(&mut rng);
                }
            }
            // Another delegate is asked next: hundreds of gateways would bury a leader that takes over.
            (SyncPeer::Delegate(failed), Some(leader)) => {
                peers.coordinators.record_redirect(failed, leader, now);
                peers.record_refusal(failed, now);
            }
            (SyncPeer::Leader(failed), None) => peers.coordinators.record_failure(failed, now),
            (SyncPeer::Delegate(failed), None) => peers.record_silence(failed, now),
        }
        state.pacing.record_failure(elapsed, interval, &mut rng)
    }

    fn record_connection(&self, error: Option<&Error>) {
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

    /// Returns a report without the target list and the shares of tokens, which depend on the receiver.
    fn make_report(&self) -> GatewayReport {
        let wanted: BTreeSet<AwaitedModel> = self.wanted_models().keys().cloned().collect();
        let (regional, unlimited): (Vec<_>, Vec<_>) = wanted
            .into_iter()
            .partition(|model| model.regions.is_limited());
        let (parts_version, parts) = self.crash_watch.take_report();
        let (streams, stream_queries) = self.stream_origins.make_report();
        let serial = self.next_serial();
        GatewayReport {
            streams,
            stream_queries,
            crashes: parts.crashes,
            completed_parts: parts.completed,
            parts_version,
            gateway: self.key.clone(),
            data_centre: self.config.data_centre.clone(),
            plan_version: self.state().document.0,
            evacuation_revision: self.targets.evacuation_revision(),
            list_version: ListVersion::default(),
            list_digest: Vec::new(),
            shares: Vec::new(),
            load_address: self.config.load_listen,
            news_address: Some(self.news_address),
            demand: self.demand.take(),
            unresponsive: self.targets.silent_targets(),
            missing_models: unlimited.into_iter().map(|wanted| wanted.model).collect(),
            missing_regional_models: regional,
            is_stranded: self.targets.is_cut_off() || self.neighbours.is_in_use(),
            serial,
        }
    }

    fn next_serial(&self) -> SyncSerial {
        let mut state = self.state();
        state.last_serial += 1;
        state.last_serial
    }

    async fn sync_once(&self, peer: SyncPeer, mut report: GatewayReport) -> Result<()> {
        match self.list_state(peer) {
            Ok(list) => (report.list_version, report.list_digest) = list,
            Err(error) => {
                self.put_back(report);
                return Err(error);
            }
        }
        let mut reported_at = self.allowance.now();
        if matches!(peer, SyncPeer::Leader(_)) {
            (report.shares, reported_at) = self.allowance.make_reports();
        }
        let sent_at = BootInstant::now();
        self.state().synced_at = self.started_at.elapsed();
        match self.send_report(peer.address(), &report).await {
            Ok(reply) => {
                if reply.are_streams_recorded {
                    self.stream_origins.confirm(&report.streams);
                }
                if !reply.are_parts_recorded {
                    self.put_back_parts(&report);
                }
                let wanted: BTreeSet<AwaitedModel> = report.awaited_models().collect();
                self.wanted_models()
                    .retain(|model, waiters| *waiters > 0 || !wanted.contains(model));
                self.allowance.apply_grants(&reply.grants, reported_at);
                self.apply_reply(reply, peer, sent_at);
                Ok(())
            }
            Err(error) => {
                self.put_back(report);
                self.state().synced_with = None;
                Err(error)
            }
        }
    }

    /// Takes back what a report tells that was not answered.
    fn put_back(&self, report: GatewayReport) {
        self.demand.put_back(&report.demand);
        self.put_back_parts(&report);
    }

    fn put_back_parts(&self, report: &GatewayReport) {
        self.crash_watch.put_back(PartReport {
            crashes: report.crashes.clone(),
            completed: report.completed_parts.clone(),
        });
    }

    /// Returns the version of the target list, with its digest if `peer` may not know this version.
    fn list_state(&self, peer: SyncPeer) -> Result<(ListVersion, Vec<TargetDigest>)> {
        let version = self.targets.list_version();
        let synced_with = self.state().synced_with;
        let has_synced = synced_with.is_some_and(|known| known.address() == peer.address());
        match version.term {
            1.. if has_synced => Ok((version, Vec::new())),
            _ => self.targets.list_digest(),
        }
    }

    fn sync_timeout(&self) -> Duration {
        let state = self.state();
        state.pacing.timeout(state.sync_interval)
    }

    async fn send_report(
        &self,
        coordinator: SocketAddr,
        report: &GatewayReport,
    ) -> Result<GatewayReply> {
        let transport_error = |error: reqwest::Error| Error::Transport {
            peer: coordinator.to_string(),
            reason: error.to_string(),
        };
        let sent_at = self.started_at.elapsed();
        let response = self
            .http_client
            .post(format!("http://{coordinator}{GATEWAY_SYNC_PATH}"))
            .header(SECRET_HEADER, &self.secret)
            .timeout(self.sync_timeout())
            .body(sync::encode(report)?)
            .send()
            .await
            .map_err(transport_error)?;
        if response.status() == reqwest::StatusCode::MISDIRECTED_REQUEST {
            let peer = coordinator.to_string();
            let body = client::read_body(&peer, response, MAX_REDIRECT_BYTES).await?;
            let redirect: LeaderRedirect = sync::decode("redirect", &body)?;
            return Err(self.apply_redirect(&redirect, sent_at));
        }
        let response = response.error_for_status().map_err(transport_error)?;
        let peer = coordinator.to_string();
        let body = client::read_body(&peer, response, client::MAX_MESSAGE_BYTES).await?;
        sync::decode("gateway reply", &body)
    }

    fn apply_redirect(&self, redirect: &LeaderRedirect, sent_at: Duration) -> Error {
        let received_at = self.started_at.elapsed();
        if let Some(report) = &redirect.absence {
            self.state().absence.record(report, sent_at, received_at);
        }
        Error::NotLeader {
            leader: redirect.leader.map(|leader| leader.to_string()),
        }
    }

    fn apply_reply(&self, reply: GatewayReply, peer: SyncPeer, sent_at: BootInstant) {
        // The first plan comes into force after the evacuations that were sent with it.
        if let Some(section) = &reply.evacuations {
            self.targets.apply_evacuations(section);
        }
        let applied = reply
            .plan
            .as_ref()
            .map_or(Ok(true), |update| self.apply_plan_update(update));
        let is_newest = applied.unwrap_or_else(|error| {
            error!(
                "gateway: cannot apply the plan update; the next sync requests the full plan: {error}"
            );
            // Without a document the leader sends the full plan with the next sync.
            self.state().document = (0, Vec::new());
            false
        });
        if is_newest {
            // A delegate's proof is as old as its last sync with the leader.
            let age = Duration::from_millis(reply.proof_age_ms);
            self.view.record_proof(sent_at.saturating_sub(age));
        }
        let is_list_current = match (self.view.get(), reply.targets) {
            (Some(plan), Some(list)) => self.targets.apply_list(&plan, list),
            (None, Some(_)) => false,
            (_, None) => true,
        };
        if let Some(age) = reply.list_age_ms.filter(|_| is_list_current) {
            // The leader states the age after the sync was sent, so the list is not older than this.
            let age = sent_at.elapsed().saturating_add(Duration::from_millis(age));
            let interval = Duration::from_millis(reply.sync_interval_ms);
            self.targets.record_list_read(age, interval);
        }
        if let Some(section) = &reply.parts {
            self.crash_watch.apply_section(section);
        }
        self.stream_origins
            .apply_reply(reply.recorded_services, reply.stream_answers);
        self.loads.set_topology(reply.load_topology);
        self.neighbours.set(reply.neighbours);
        self.targets.record_gateways(reply.gateways);
        let mut state = self.state();
        state.sync_interval = Duration::from_millis(reply.sync_interval_ms);
        state.list_fallback.set_gateways(reply.gateways);
        if let Some(age) = reply.list_age_ms {
            state.listed_at = Instant::now().checked_sub(Duration::from_millis(age));
        }
        let now = self.started_at.elapsed();
        let peers = &mut state.peers;
        peers.coordinators.replace(&reply.coordinators);
        peers.set_delegates(reply.delegates);
        // A coordinator that names a leader does not lead, whatever it was asked for.
        let address = peer.address();
        state.synced_with = Some(if let Some(leader) = reply.leader {
            peers
                .coordinators
                .record_redirect(address, Some(leader), now);
            SyncPeer::Delegate(address)
        } else {
            if matches!(peer, SyncPeer::Leader(_)) {
                peers.coordinators.record_answer();
            }
            peer
        });
        state.pacing.record_success();
    }

    /// Applies an update, and returns whether its plan or a newer one is in force now.
    fn apply_plan_update(&self, update: &PlanUpdate) -> Result<bool> {
        let decode_error = |reason: String| Error::Decode {
            what: "plan",
            reason,
        };
        let (version, document) = match update {
            PlanUpdate::Deferred { .. } => {
                let mut state = self.state();
                state.is_plan_pending = true;
                state.postponements += 1;
                return Ok(false);
            }
            PlanUpdate::Full {
                version,
                compressed,
            } => {
                let document = lz4_flex::decompress_size_prepended(compressed);
                let document = document.map_err(|error| decode_error(error.to_string()));
                (*version, document?)
            }
            PlanUpdate::Delta {
                version,
                base,
                compressed,
            } => {
                let (held, former) = self.state().document.clone();
                if held != *base {
                    // News and a sync have brought different plans at the same time.
                    return Ok(held >= *version);
                }
                let delta = lz4_flex::decompress_size_prepended(compressed);
                let delta = delta.map_err(|error| decode_error(error.to_string()))?;
                let delta: DocumentDelta = sync::decode("plan change", &delta)?;
                let document = delta.apply_to(&former);
                let document = document.map_err(|error| decode_error(error.to_string()));
                (*version, document?)
            }
        };
        let index = PlanIndex::new(self.adapter.decode_plan(&document)?);
        self.put_in_force(version, index, document, update);
        Ok(true)
    }

    /// Puts a plan in force unless a newer one is. The version counts as held, which confirms the plan,
    /// only once requests are handled by it.
    fn put_in_force(
        &self,
        version: PlanVersion,
        index: PlanIndex,
        document: Vec<u8>,
        update: &PlanUpdate,
    ) {
        let proof_age = self.view.proof_age();
        let (is_set, before, postponements) = {
            let mut state = self.state();
            if state.document.0 >= version {
                return;
            }
            let is_set = self.view.set(index);
            let before = std::mem::replace(&mut state.document, (version, document)).0;
            (is_set, before, std::mem::take(&mut state.postponements))
        };
        if is_set {
            info!("gateway: a plan is in force", kv: {
                plan = version,
                before = before,
                update = update.name(),
                bytes = update.compressed_len(),
                postponements = postponements,
                proof_age_ms:? = proof_age.map(|age| age.as_millis()),
            });
        }
        if let Some(plan) = self.view.get() {
            self.targets.apply_plan(&plan);
        }
    }

    /// Reads the target list from the platform while no leader supplies it, so that leaving targets
    /// get no new requests.
    async fn poll_platform_list(&self) {
        loop {
            tokio::time::sleep(LIST_CHECK_INTERVAL).await;
            let Some(plan) = self.view.get() else {
                continue;
            };
            let is_due = {
                let mut state = self.state();
                let list_age = state.listed_at.map(|at| at.elapsed());
                let (targets, now) = (self.targets.count(), self.started_at.elapsed());
                let fallback = &mut state.list_fallback;
                fallback.is_due(list_age, targets, now, &mut rand::rng())
            };
            if !is_due {
                continue;
            }
            let asked_at = Instant::now();
            let listed = self.adapter.list_targets().await;
            self.state().list_fallback.record(listed.is_ok());
            match listed {
                Ok(targets) => {
                    info!("gateway: the leader's target list is outdated; using the platform's list instead", kv: { targets = targets.len() });
                    self.targets.apply_platform_list(&plan, targets);
                    let age = asked_at.elapsed();
                    self.targets.record_list_read(age, Duration::ZERO);
                }
                Err(error) => warn!(
                    "gateway: cannot read the target list from the platform; \
                     retrying at a longer interval: {error}"
                ),
            }
        }
    }
}
