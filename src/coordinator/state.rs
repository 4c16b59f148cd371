use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use spdlog::prelude::*;
use tokio::sync::Notify;

use super::{
    delegate_table::DelegateTable,
    delegate_view::DelegateView,
    delegated_polls::DelegatedPolls,
    engine_table::{EngineTable, TargetChanges},
    gateway_table::GatewayTable,
    leader_work::LeaderWork,
    model_waits::{ModelWaits, WantedModel},
    plan_confirmations::PlanConfirmations,
    plan_history::PlanHistory,
    served_list::ServedList,
};
use crate::{
    adapter::{PlatformAdapter, TargetEntry},
    allowance::{AllowanceLedger, RateLimit, ShareGrant},
    error::{Error, Result},
    ids::{EntryKey, Incarnation, TeamId, Term},
    plan::PlanIndex,
    region::RegionTable,
    state::ControlState,
    sync::{
        EvacuationSection, GatewayReply, GatewayReport, GrantReply, GrantRequest, LeaderRedirect,
        ListVersion, ModelRequests, PartSection, PlanUpdate, ServingState, TargetList,
    },
    voter::{LeaderLease, PartRecorder, VoterHandle},
    warmup::{LimitedTargets, WarmupBounds},
};

/// Maximum time for which the reply to a sync is delayed while requests wait for a model. It covers
/// an order to an engine and the load of an adapter.
const MAX_REPLY_DELAY: Duration = Duration::from_millis(200);

/// Term of a fleet's first leader, before which no leases and orders exist.
pub(super) const FIRST_TERM: Term = 1;
/// Maximum time for which a reply waits until the evidence of a crash is committed.
const PARTS_COMMIT_TIMEOUT: Duration = Duration::from_millis(200);

/// Shared state of a coordinator. What the leader knows of gateways and engines belongs to one
/// term: each leader rebuilds it from the reports of gateways and engines.
pub struct CoordinatorState {
    pub(super) voter: VoterHandle,
    pub(super) adapter: Arc<dyn PlatformAdapter>,
    started_at: Instant,
    pub(super) work: LeaderWork,
    pub(super) part_recorder: Arc<PartRecorder>,
    pub(super) plan_lease: Duration,
    /// Bounds on requests to cold targets; `None` if there is no limit.
    pub(super) warmup_bounds: Option<WarmupBounds>,
    regions: Arc<RegionTable>,
    /// Wakes publications that wait for gateways.
    pub(super) confirmed: Notify,
    tables: Mutex<LeaderTables>,
    /// State of a coordinator that does not lead. Locked after the tables.
    pub(super) delegate: Mutex<DelegateView>,
    /// Starts an early sync of a delegate.
    pub(super) delegate_due: Notify,
    /// Locked after the tables and the delegate.
    list: Mutex<ServedList>,
    /// Distinguishes this process from earlier ones on the VM.
    incarnation: Incarnation,
    /// Latest plans, which each coordinator keeps: a new leader that knew the newest one only would send it
    /// in full to each gateway that has an earlier one. Locked after the tables.
    plans: Mutex<PlanHistory>,
    /// Delayed replies to gateways whose requests wait for models.
    model_waits: ModelWaits,
    /// Starts a planning round of the order dispatcher.
    pub(super) round_trigger: Notify,
}

/// State of the leader in one term.
pub(super) struct LeaderTables {
    pub term: Term,
    pub started_at: Duration,
    pub ledger: AllowanceLedger,
    pub gateways: GatewayTable,
    pub confirmations: PlanConfirmations,
    pub engines: EngineTable,
    pub plan: Option<Arc<PlanIndex>>,
    pub listed_at: Option<Duration>,
    pub delegates: DelegateTable,
    pub polls: DelegatedPolls,
    pub limited_targets: LimitedTargets,
}

impl LeaderTables {
    fn new(term: Term, now: Duration, plan_lease: Duration, gateways: GatewayTable) -> Self {
        // Leases of a former leader began before its own lease ended, and so before this term.
        let unknown_until = if term == FIRST_TERM {
            now
        } else {
            now + plan_lease
        };
        Self {
            confirmations: PlanConfirmations::new(plan_lease, unknown_until),
            term,
            started_at: now,
            ledger: AllowanceLedger::new(term, now).with_takeover_reserve(),
            gateways,
            delegates: DelegateTable::default(),
            polls: DelegatedPolls::default(),
            limited_targets: LimitedTargets::new(),
            engines: EngineTable::default(),
            plan: None,
            listed_at: None,
        }
    }
}

impl LeaderTables {
    /// Records requests that gateways have reported.
    pub(super) fn record_demand(&mut self, demand: &[ModelRequests], now: Duration) {
        self.gateways.record_demand(demand, now);
        for requests in demand {
            self.engines.record_adapter_use(&requests.model.model, now);
        }
    }
}

impl CoordinatorState {
    /// Returns a state with empty tables.
    #[must_use]
    pub fn new(
        voter: VoterHandle,
        adapter: Arc<dyn PlatformAdapter>,
        plan_lease: Duration,
    ) -> Self {
        Self {
            adapter,
            started_at: Instant::now(),
            work: LeaderWork::default(),
            part_recorder: Arc::new(PartRecorder::new(voter.clone())),
            voter,
            plan_lease,
            warmup_bounds: None,
            regions: Arc::default(),
            confirmed: Notify::new(),
            tables: Mutex::new(LeaderTables::new(
                0,
                Duration::ZERO,
                plan_lease,
                GatewayTable::default(),
            )),
            delegate: Mutex::new(DelegateView::new(plan_lease)),
            delegate_due: Notify::new(),
            list: Mutex::default(),
            incarnation: rand::random(),
            plans: Mutex::new(PlanHistory::new()),
            model_waits: ModelWaits::default(),
            round_trigger: Notify::new(),
        }
    }

    /// Limits the requests to cold targets.
    #[must_use]
    pub fn with_warmup_bounds(mut self, bounds: Option<WarmupBounds>) -> Self {
        self.warmup_bounds = bounds;
        self
    }

    /// Sets the regions of data centres, by which copies of models are placed.
    #[must_use]
    pub fn with_regions(mut self, regions: Arc<RegionTable>) -> Self {
        self.regions = regions;
        self
    }

    /// Returns the time since this state was created, which all tables use as their clock.
    pub(super) fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Returns the tables of the term of a lease. Tables of another term are replaced by empty
    /// ones.
    pub(super) fn tables(&self, lease: LeaderLease) -> MutexGuard<'_, LeaderTables> {
        let mut tables = self.tables.lock().unwrap_or_else(PoisonError::into_inner);
        if tables.term != lease.term {
            let now = self.now();
            let mut delegate = self.delegate();
            // The gateways of the former leader belong to this one.
            let gateways = delegate.gateways.reported_at(now);
            *delegate = DelegateView::new(self.plan_lease);
            drop(delegate);
            *tables = LeaderTables::new(lease.term, now, self.plan_lease, gateways);
            tables.engines = EngineTable::new(Arc::clone(&self.regions));
        }
        tables
    }

    pub(super) fn plans(&self) -> MutexGuard<'_, PlanHistory> {
        self.plans.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Keeps each plan that this coordinator applies, until the task is dropped.
    pub(super) async fn follow_plans(&self) {
        let mut applied = self.voter.watch_applied();
        let mut known_revision = 0;
        // An error means that the voter has stopped, which ends the daemon.
        while applied.changed().await.is_ok() {
            let known = self.plans().newest_version();
            let (newest, revision) = self
                .voter
                .read_local(|state| (state.plan(), state.evacuations().revision()));
            // A delegate reports at once what its leader waits for.
            if std::mem::replace(&mut known_revision, revision) != revision {
                self.delegate_due.notify_one();
            }
            if let Some(published) = newest.filter(|newest| Some(newest.version) > known) {
                self.plans().add(&published);
                self.delegate_due.notify_one();
            }
        }
    }

    /// Returns the lease of this daemon if it leads.
    ///
    /// # Errors
    /// [`Error::NotLeader`] without an address. Gateways get it from [`Self::redirect`]; operators call other ports.
    pub(super) fn lease(&self) -> Result<LeaderLease> {
        let lease = self.voter.lease().filter(LeaderLease::is_valid);
        lease.ok_or(Error::NotLeader { leader: None })
    }

    /// Returns what gateways are told while this daemon does not lead.
    pub(super) fn redirect(&self) -> LeaderRedirect {
        let addresses = self.voter.addresses();
        let leader = match self.voter.status().leader {
            Some(leader) => addresses.system_address(&leader.vm),
            None => addresses.named_leader().map(|leader| leader.system),
        };
        LeaderRedirect {
            leader,
            absence: self.voter.absence(),
        }
    }

    /// Publishes changed targets to gateways.
    pub(super) fn publish_targets(&self, tables: &mut LeaderTables) {
        match tables.engines.take_unpublished() {
            TargetChanges::All(targets) => {
                LeaderWork::add(&self.work.publications, 1);
                self.model_waits.wake(&targets);
                self.list().update(targets);
            }
            TargetChanges::Some(targets) => {
                if !targets.is_empty() {
                    LeaderWork::add(&self.work.publications, 1);
                }
                self.model_waits.wake(&targets);
                self.list().upsert(targets);
            }
        }
    }

    /// Applies the newest plan of the log if the tables have an older one.
    pub(super) fn update_plan(&self, tables: &mut LeaderTables) {
        let Some(published) = self.voter.read_local(ControlState::plan) else {
            return;
        };
        let version = tables.plan.as_ref().map_or(0, |plan| plan.plan().version);
        if version >= published.version {
            return;
        }
        self.plans().add(&published);
        match self.adapter.decode_plan(&published.document) {
            Ok(plan) => {
                let now = self.now();
                let former = tables.plan.iter().flat_map(|plan| &plan.plan().teams);
                let removed = former.filter(|team| !plan.teams.iter().any(|new| new.id == team.id));
                for team in removed {
                    let limit = RateLimit::default();
                    tables.ledger.set_limit(&team.id, limit, now);
                }
                for team in &plan.teams {
                    if let Some(limit) = team.limit {
                        tables.ledger.set_limit(&team.id, limit, now);
                    }
                }
                tables.plan = Some(Arc::new(PlanIndex::new(plan)));
                self.update_warmup_limits(tables);
            }
            Err(error) => {
                spdlog::error!(
                    "plan: decoding version {} failed, the coordinator keeps its previous plan: \
                     {error}",
                    published.version
                );
            }
        }
    }

    /// Processes a gateway's report and returns the reply.
    ///
    /// # Errors
    /// [`Error::NotLeader`] when this daemon does not lead.
    pub async fn sync(&self, report: GatewayReport) -> Result<GatewayReply> {
        let Ok(lease) = self.lease() else {
            return self.sync_as_delegate(&report);
        };
        LeaderWork::add(&self.work.syncs, 1);
        for evidence in &report.crashes {
            info!("route: a target crashed", kv: {
                target = evidence.crash.target.as_str(),
                gateway = report.gateway.vm.as_str(),
                parts = evidence.parts.len(),
            });
        }
        let recorded = self.part_recorder.record(
            &report.crashes,
            &report.completed_parts,
            PARTS_COMMIT_TIMEOUT,
        );
        let streams = self
            .part_recorder
            .record_streams(&report.streams, PARTS_COMMIT_TIMEOUT);
        let (are_parts_recorded, are_streams_recorded) = tokio::join!(recorded, streams);
        let sync_time = &self.work.sync_time_us;
        let grants = LeaderWork::timed(sync_time, || self.record(&report, lease));
        let wanted = self.wanted_models(&report);
        if !wanted.is_empty() {
            self.await_models(&wanted).await;
        }
        let mut reply = LeaderWork::timed(sync_time, || self.reply(&report, grants, lease));
        reply.are_parts_recorded = are_parts_recorded;
        reply.are_streams_recorded = are_streams_recorded;
        if lease.is_valid() {
            Ok(reply)
        } else {
            Err(Error::NotLeader { leader: None })
        }
    }

    fn wanted_models(&self, report: &GatewayReport) -> Vec<WantedModel> {
        let awaited = report.awaited_models().map(|awaited| WantedModel {
            data_centres: self.regions.filter(&awaited.regions),
            model: awaited.model,
        });
        awaited.collect()
    }

    /// Waits until an allowed target holds one of the models that a gateway is missing, or until the
    /// reply has to be sent without.
    async fn await_models(&self, wanted: &[WantedModel]) {
        let mut wait = self.model_waits.add(wanted);
        let is_held = LeaderWork::timed(&self.work.sync_time_us, || {
            self.list().history().holds_any(wanted)
        });
        if is_held {
            return;
        }
        self.round_trigger.notify_one();
        // After a timeout, the reply is sent without a model.
        let _ = tokio::time::timeout(MAX_REPLY_DELAY, wait.loaded()).await;
    }

    /// Grants tokens to a gateway whose requests wait for them.
    ///
    /// # Errors
    /// [`Error::NotLeader`] when this daemon does not lead.
    pub fn grant(&self, request: &GrantRequest) -> Result<GrantReply> {
        let lease = self.lease()?;
        let now = self.now();
        let grants = LeaderWork::timed(&self.work.grant_time_us, || {
            let mut tables = self.tables(lease);
            self.update_plan(&mut tables);
            tables.set_rejection_limits(&request.shares, now);
            tables.ledger.expire_grants(now);
            let ledger = &mut tables.ledger;
            ledger.answer_reports(&request.gateway, &request.shares, now)
        });
        LeaderWork::add(&self.work.grant_requests, 1);
        // Another leader may grant the same tokens once the lease has expired.
        if lease.is_valid() {
            Ok(GrantReply {
                serial: request.serial,
                grants: grants.into_vec(),
            })
        } else {
            Err(Error::NotLeader { leader: None })
        }
    }

    /// Returns the free and the outstanding tokens of all teams; none when this daemon does not lead.
    pub(super) fn tokens(&self) -> (u64, u64) {
        match self.lease() {
            Ok(lease) => self.tables(lease).ledger.totals(),
            Err(_) => (0, 0),
        }
    }

    /// Returns the gateways and teams with a waiting request for which there are tokens by now; none
    /// when this daemon does not lead.
    #[must_use]
    pub fn due_waiters(&self) -> Vec<(EntryKey, TeamId)> {
        let Ok(lease) = self.lease() else {
            return Vec::new();
        };
        self.tables(lease).ledger.due_waiters(self.now())
    }

    fn record(&self, report: &GatewayReport, lease: LeaderLease) -> Vec<ShareGrant> {
        let now = self.now();
        let mut tables = self.tables(lease);
        self.update_plan(&mut tables);
        let tables = &mut *tables;
        tables.gateways.record(report, now);
        let confirmations = &mut tables.confirmations;
        let gateway = &report.gateway;
        let is_changed = match report.plan_version {
            0 => confirmations.record_missing_plan(gateway, report.serial),
            _ => confirmations.record_report(gateway, report.serving_state(), now),
        };
        if is_changed {
            self.confirmed.notify_waiters();
        }
        for requests in &report.demand {
            let engines = &mut tables.engines;
            engines.record_adapter_use(&requests.model.model, now);
        }
        for target in &report.unresponsive {
            tables.engines.mark_suspected(target);
        }
        tables.set_rejection_limits(&report.shares, now);
        tables.ledger.expire_grants(now);
        let grants = tables
            .ledger
            .answer_reports(&report.gateway, &report.shares, now);
        grants.into_vec()
    }

    fn reply(
        &self,
        report: &GatewayReport,
        grants: Vec<ShareGrant>,
        lease: LeaderLease,
    ) -> GatewayReply {
        let now = self.now();
        let mut tables = self.tables(lease);
        let plan = self.plan_update(report);
        let evacuations = self.evacuations_since(report.evacuation_revision);
        if let Some(first) = first_state(report, plan.as_ref(), evacuations.as_ref()) {
            let confirmations = &mut tables.confirmations;
            confirmations.record_first_plan(&report.gateway, first, report.known_serial(), now);
        }
        let targets = match tables.listed_at {
            Some(_) => self.target_changes(report),
            None => None,
        };
        let age = tables.listed_at.map(|at| now.saturating_sub(at));
        let stream_answers = self.answer_streams(&report.stream_queries, age);
        let recorded_services = self.recorded_services();
        GatewayReply {
            term: tables.term,
            plan,
            evacuations,
            grants,
            targets,
            are_parts_recorded: true,
            are_streams_recorded: true,
            recorded_services,
            stream_answers,
            parts: self.voter.part_section(report.parts_version),
            list_age_ms: age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
            gateways: tables.gateways.count(),
            load_topology: tables.gateways.load_topology(&report.gateway),
            sync_interval_ms: u64::try_from(tables.gateways.sync_interval().as_millis())
                .unwrap_or(u64::MAX),
            coordinators: self.coordinators(),
            proof_age_ms: 0,
            leader: None,
            delegates: tables.delegates.live(now),
            neighbours: tables.gateways.neighbours(&report.gateway),
        }
    }

    /// Returns the update to the newest plan for a gateway. A reply without one would prove that the gateway's plan is the
    /// newest.
    pub(super) fn plan_update(&self, report: &GatewayReport) -> Option<PlanUpdate> {
        let mut plans = self.plans();
        let update = plans.update_since(report.plan_version, self.now());
        update.unwrap_or_else(|error| {
            spdlog::error!(
                "plan: encoding an update for the gateway on {} failed, it is deferred: {error}",
                report.gateway.vm
            );
            let version = plans.newest_version()?;
            Some(PlanUpdate::Deferred { version })
        })
    }

    fn list(&self) -> MutexGuard<'_, ServedList> {
        self.list.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the changes of the target list for a gateway.
    pub(super) fn target_changes(&self, report: &GatewayReport) -> Option<TargetList> {
        self.list().changes_for(report)
    }

    /// Returns the changes of the target list for a delegate.
    pub(super) fn changes_since(&self, held: ListVersion) -> Option<TargetList> {
        self.list().changes_since(held)
    }

    /// Applies an update of the leader's target list.
    pub(super) fn mirror_list(&self, list: TargetList) {
        self.list().mirror(list);
    }

    /// Returns the version of the leader's target list that this coordinator has.
    pub(super) fn mirrored_version(&self) -> ListVersion {
        self.list().source()
    }

    /// Returns the suspect parts for a gateway that has those of `version`, if this coordinator knows newer
    /// ones.
    pub(super) fn newer_parts(&self, version: u64) -> Option<PartSection> {
        let section = self.voter.part_section(version);
        section.filter(|section| section.version > version)
    }

    /// Returns the system addresses of all coordinators, this one first.
    pub(super) fn coordinators(&self) -> Vec<SocketAddr> {
        let others = self.voter.addresses().others();
        let others = others.into_iter().map(|address| address.system);
        std::iter::once(self.own_address()).chain(others).collect()
    }

    pub(super) fn own_address(&self) -> SocketAddr {
        self.voter.addresses().own().system
    }

    /// Returns the identity of this process.
    pub(super) fn own_key(&self) -> EntryKey {
        EntryKey {
            vm: self.voter.addresses().own().vm.clone(),
            incarnation: self.incarnation,
        }
    }

    /// Applies the platform's list that was requested at `requested_at`.
    pub(super) fn apply_list(
        &self,
        lease: LeaderLease,
        list: Vec<TargetEntry>,
        requested_at: Duration,
    ) {
        let mut tables = self.tables(lease);
        let Some(plan) = tables.plan.clone() else {
            return;
        };
        tables.listed_at = Some(requested_at);
        tables.engines.apply_list(&plan, list);
        self.update_warmup_limits(&mut tables);
        self.publish_targets(&mut tables);
    }
}

/// Returns what a gateway without a plan serves by once it has received a reply with its first plan.
pub(super) fn first_state(
    report: &GatewayReport,
    plan: Option<&PlanUpdate>,
    evacuations: Option<&EvacuationSection>,
) -> Option<ServingState> {
    let revision = evacuations.map_or(report.evacuation_revision, |section| section.revision);
    match plan {
        Some(PlanUpdate::Full { version, .. }) if report.plan_version == 0 => {
            Some(ServingState::new(*version, revision))
        }
        _ => None,
    }
}
