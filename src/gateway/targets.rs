use std::{
    collections::{BTreeMap, HashMap, HashSet},
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use spdlog::prelude::*;
use tokio::sync::Notify;

use super::{
    evacuations::EvacuationSet,
    link_watch::LinkWatch,
    liveness::TargetLiveness,
    routing::{replica_spec, split_model},
};
use crate::{
    adapter::TargetEntry,
    brittle::BrittleTable,
    error::Result,
    ids::{DataCentreId, ServiceId, SoftwareVersion, TargetId},
    plan::PlanIndex,
    route::{
        ExchangeOutcome, LoadReport, PrefixBlock, ReplicaTable, RouteChoice, RouteRequest,
        RouteTuning,
    },
    sync::{
        ListVersion, LoadSum, ServedModel, TargetCrash, TargetDigest, TargetHash, TargetList,
        target_hash,
    },
    warmup::{WarmthTable, WarmupBounds},
};

/// Initial estimate of the time to process one prompt token; engines process tens of tokens per
/// millisecond.
const PREFILL_MS_PER_TOKEN: f32 = 0.04;
/// Time that a request occupies a slot of an engine: it streams tens of events, each of which takes
/// a few engine steps.
const SLOT_MS: f32 = 2_000.0;

/// Temperature of the weighted random choice: targets whose expected times differ by less get
/// similar weights, so that gateways that decide at the same moment do not all pick the same one.
const TEMPERATURE_MS: f32 = 6.0;
/// A target chosen for a request, with its address.
#[derive(Clone, Debug)]
pub struct ChosenTarget {
    pub choice: RouteChoice,
    pub address: SocketAddr,
    /// Prompt tokens that the target had yet to process when the request was sent.
    pub prior_prefill_tokens: u32,
}

/// Targets known to this gateway, their load and liveness, and the choice among them.
pub struct TargetTable {
    started_at: Instant,
    state: Mutex<TableState>,
    /// Wakes requests that wait for a model.
    list_changed: Notify,
    /// Wakes the task that sends this gateway's load to other gateways.
    pub(super) own_load_changed: Notify,
    /// Wakes requests that wait for free capacity.
    capacity_freed: Notify,
}

pub(super) struct TableState {
    pending_prefill_tokens: BTreeMap<TargetId, u32>,
    pub(super) prefill_ms_per_token: f32,
    pub(super) liveness: HashMap<TargetId, TargetLiveness>,
    /// Links to all targets together.
    pub(super) links: LinkWatch,
    /// Consecutive failed connection attempts by target.
    pub(super) connect_failures: HashMap<TargetId, u32>,
    pub(super) replicas: ReplicaTable,
    pub(super) entries: HashMap<TargetId, TargetEntry>,
    pub(super) running_requests: BTreeMap<TargetId, u32>,
    pub(super) evacuations: EvacuationSet,
    list_version: ListVersion,
    /// Number of changes of the list that the leader did not make.
    local_changes: u64,
    pub(super) brittle: BrittleTable,
    pub(super) warmth: WarmthTable,
    /// Bounds on requests to cold targets; `None` if there is no limit.
    pub(super) warmup_bounds: Option<WarmupBounds>,
    /// Versions of the software of each service that leaders have listed. The log knows them.
    announced_software: HashSet<(ServiceId, SoftwareVersion)>,
}

impl TargetTable {
    /// Creates an empty table for a gateway in `data_centre`.
    pub fn new(data_centre: &DataCentreId) -> Self {
        let tuning = RouteTuning {
            prefill_ms_per_token: PREFILL_MS_PER_TOKEN,
            slot_ms: SLOT_MS,
            temperature_ms: TEMPERATURE_MS,
            // Other gateways report their load, so a send of this gateway counts only once.
            peer_load_exponent: 0.0,
            ..RouteTuning::default()
        };
        Self {
            started_at: Instant::now(),
            state: Mutex::new(TableState {
                pending_prefill_tokens: BTreeMap::new(),
                prefill_ms_per_token: PREFILL_MS_PER_TOKEN,
                liveness: HashMap::new(),
                links: LinkWatch::new(),
                connect_failures: HashMap::new(),
                replicas: ReplicaTable::new(tuning, &[(data_centre.clone(), Duration::ZERO)]),
                entries: HashMap::new(),
                running_requests: BTreeMap::new(),
                evacuations: EvacuationSet::default(),
                list_version: ListVersion::default(),
                local_changes: 0,
                brittle: BrittleTable::new(),
                warmth: WarmthTable::new(),
                warmup_bounds: None,
                announced_software: HashSet::new(),
            }),
            list_changed: Notify::new(),
            own_load_changed: Notify::new(),
            capacity_freed: Notify::new(),
        }
    }

    pub(super) fn state(&self) -> MutexGuard<'_, TableState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Returns the version of the target list in use.
    pub fn list_version(&self) -> ListVersion {
        self.state().list_version
    }

    /// Returns whether no target is known.
    pub fn is_empty(&self) -> bool {
        self.state().entries.is_empty()
    }

    /// Returns the version of the list and the digests of its entries.
    ///
    /// # Errors
    /// [`Error::Decode`](crate::error::Error::Decode) when an entry cannot be encoded.
    pub fn list_digest(&self) -> Result<(ListVersion, Vec<TargetDigest>)> {
        let state = self.state();
        let digests = state.entries.values().map(TargetDigest::new);
        Ok((state.list_version, digests.collect::<Result<_>>()?))
    }

    /// Returns the number of known targets.
    pub fn count(&self) -> usize {
        self.state().entries.len()
    }

    /// Returns whether the list contains a target.
    pub fn contains(&self, target: &TargetId) -> bool {
        self.state().entries.contains_key(target)
    }

    /// Returns the identity of a crash of a target that ends now; `None` for one that is leaving, whose
    /// end is planned.
    pub fn crash(&self, target: &TargetId) -> Option<TargetCrash> {
        let state = self.state();
        let entry = state.entries.get(target)?;
        (!entry.is_draining).then(|| TargetCrash::new(entry.id.clone(), entry.started_ms))
    }

    /// Wakes all requests that wait for a target.
    pub(super) fn notify_all(&self) {
        self.list_changed.notify_waiters();
        self.capacity_freed.notify_waiters();
    }

    /// Waits until the target list changes.
    pub async fn list_changed(&self) {
        self.list_changed.notified().await;
    }

    /// Applies a full or incremental target list from the leader, and returns whether it could be applied.
    pub fn apply_list(&self, plan: &PlanIndex, list: TargetList) -> bool {
        let now = self.now();
        let mut state = self.state();
        let software = list.targets.iter();
        let software = software.map(|entry| (entry.service.clone(), entry.software.clone()));
        state.announced_software.extend(software);
        match list.base {
            None => state.replace_entries(plan, list.targets, now),
            Some(base) if base == state.list_version => {
                for target in &list.removed {
                    state.remove(target);
                }
                state.remove_hashes(&list.unknown);
                for entry in list.targets {
                    state.upsert(plan, entry, now);
                }
            }
            // The increment does not fit the list in use. The next sync reports the version in use,
            // and the leader replies with an increment from that version or with a full list.
            Some(_) => return false,
        }
        state.list_version = list.version;
        state.refresh_warmth(now);
        drop(state);
        self.list_changed.notify_waiters();
        true
    }

    /// Replaces the targets by a list that this gateway read from the platform itself.
    pub fn apply_platform_list(&self, plan: &PlanIndex, targets: Vec<TargetEntry>) {
        let now = self.now();
        let mut state = self.state();
        state.record_local_change();
        // Streams that a version unknown to the log began could be continued by another one.
        let has_engines = |entry: &TargetEntry| {
            let service = plan.service(&entry.service);
            service.is_some_and(|service| service.engine.is_some())
        };
        let (usable, unknown): (Vec<_>, Vec<_>) = targets.into_iter().partition(|entry| {
            let software = (entry.service.clone(), entry.software.clone());
            !has_engines(entry) || state.announced_software.contains(&software)
        });
        if !unknown.is_empty() {
            warn!("gateway: targets with a version that no leader has listed are not used yet", kv: {
                targets = unknown.len(),
            });
        }
        state.replace_entries(plan, usable, now);
        state.refresh_warmth(now);
        drop(state);
        self.list_changed.notify_waiters();
    }

    /// Rebuilds the routing table from the current targets after a change of plan.
    pub fn apply_plan(&self, plan: &PlanIndex) {
        let now = self.now();
        let mut state = self.state();
        let targets = state.entries.values().cloned().collect();
        state.replace_entries(plan, targets, now);
        state.refresh_warmth(now);
    }

    /// Applies the load that other gateways cause at each target.
    pub fn apply_other_loads(&self, others: &HashMap<TargetHash, LoadSum>) {
        let now = self.now();
        let mut state = self.state();
        let state = &mut *state;
        for id in state.entries.keys() {
            let others = others.get(&target_hash(id)).copied().unwrap_or_default();
            let own = state.running_requests.get(id).copied().unwrap_or(0);
            let report = LoadReport {
                running: others.running + own,
                queued: 0,
                measured_at: now,
            };
            state.replicas.apply_report(id, report);
            state
                .replicas
                .set_peer_prefill_tokens(id, others.prefill_tokens);
        }
        self.capacity_freed.notify_waiters();
    }

    /// Returns the load that this gateway causes at each target.
    pub fn own_loads(&self) -> HashMap<TargetHash, LoadSum> {
        let now = self.now();
        let mut state = self.state();
        let loads = state.running_requests.iter().map(|(target, running)| {
            let sum = LoadSum {
                running: *running,
                prefill_tokens: state
                    .pending_prefill_tokens
                    .get(target)
                    .copied()
                    .unwrap_or(0),
            };
            (target_hash(target), sum)
        });
        let mut loads = loads.collect();
        state.add_withheld_slots(&mut loads, now);
        loads
    }

    /// Waits until the load of this gateway changes.
    pub async fn own_load_changed(&self) {
        self.own_load_changed.notified().await;
    }

    /// Waits until a target may have free capacity.
    pub async fn capacity_freed(&self) {
        self.capacity_freed.notified().await;
    }

    /// Chooses a target for a request; `None` when no target of the pool is available.
    pub fn choose(&self, request: &RouteRequest<'_>) -> Option<ChosenTarget> {
        let now = self.now();
        let state = self.state();
        let choice = state.replicas.choose(request, now, &mut rand::rng())?;
        let address = state.entries.get(&choice.target)?.address;
        Some(ChosenTarget {
            choice,
            address,
            prior_prefill_tokens: 0,
        })
    }

    /// Returns the entry of a target in the list.
    pub fn entry(&self, target: &TargetId) -> Option<TargetEntry> {
        self.state().entries.get(target).cloned()
    }

    /// Returns the targets of a service by whether they run a version of its software.
    pub fn split_by_software(
        &self,
        service: &ServiceId,
        version: &SoftwareVersion,
    ) -> (Vec<TargetId>, Vec<TargetId>) {
        let state = self.state();
        let targets = state
            .entries
            .values()
            .filter(|entry| entry.service == *service);
        let (same, others): (Vec<_>, Vec<_>) =
            targets.partition(|entry| entry.software == *version);
        let ids =
            |entries: Vec<&TargetEntry>| entries.iter().map(|entry| entry.id.clone()).collect();
        (ids(same), ids(others))
    }

    /// Records that a request is being sent to the chosen target.
    pub fn record_send(&self, chosen: &mut ChosenTarget, prefix: &[PrefixBlock]) {
        let now = self.now();
        let mut state = self.state();
        let state = &mut *state;
        state.links.record_attempt(&chosen.choice.target, now);
        chosen.prior_prefill_tokens = state.replicas.pending_prefill_tokens(&chosen.choice.target);
        let pending_tokens = state
            .pending_prefill_tokens
            .entry(chosen.choice.target.clone());
        *pending_tokens.or_default() += chosen.choice.prefill_tokens;
        self.own_load_changed.notify_one();
        state.replicas.record_send(&chosen.choice, now);
        state.brittle.record_send(&chosen.choice.target);
        state
            .replicas
            .record_prefixes(&chosen.choice.target, prefix, now);
        let running = state.running_requests.entry(chosen.choice.target.clone());
        let running = running.or_default();
        *running += 1;
        if *running == 1 {
            let liveness = state.liveness.entry(chosen.choice.target.clone());
            let liveness = liveness.or_insert(TargetLiveness {
                last_activity_at: now,
                is_silent: false,
            });
            if !liveness.is_silent {
                liveness.last_activity_at = now;
            }
        }
    }

    /// Records the outcome of the start of an exchange.
    pub fn record_outcome(&self, chosen: &ChosenTarget, outcome: ExchangeOutcome) {
        let now = self.now();
        let mut state = self.state();
        let state = &mut *state;
        state.replicas.record_outcome(&chosen.choice, outcome, now);
        if let Some(pending_tokens) = state.pending_prefill_tokens.get_mut(&chosen.choice.target) {
            *pending_tokens = pending_tokens.saturating_sub(chosen.choice.prefill_tokens);
        }
        if let ExchangeOutcome::Answered { first_byte } = outcome {
            state.record_prefill_sample(chosen, first_byte, now);
        }
        self.own_load_changed.notify_one();
        self.capacity_freed.notify_waiters();
    }

    /// Records that a request has ended.
    pub fn record_end(&self, target: &TargetId) {
        let now = self.now();
        let mut state = self.state();
        state.replicas.record_end(target, now);
        let is_last = match state.running_requests.get_mut(target) {
            Some(requests) => {
                *requests = requests.saturating_sub(1);
                *requests == 0
            }
            None => false,
        };
        if is_last {
            state.running_requests.remove(target);
            state.pending_prefill_tokens.remove(target);
        }
        self.own_load_changed.notify_one();
        self.capacity_freed.notify_waiters();
    }

    /// Records the load that a target reported with an answer.
    pub fn record_load(&self, target: &TargetId, running: u32, queued: u32) {
        let measured_at = self.now();
        let report = LoadReport {
            running,
            queued,
            measured_at,
        };
        self.state().replicas.apply_report(target, report);
    }

    /// Removes a target from the pool of a model that it turned out not to hold, until the next
    /// list.
    pub fn remove_model(&self, plan: &PlanIndex, target: &TargetId, model: &ServedModel) {
        let mut state = self.state();
        let Some(entry) = state.entries.get_mut(target) else {
            return;
        };
        let (base, adapter) = split_model(&model.model);
        match adapter {
            Some(_) => {
                for resident in entry
                    .models
                    .iter_mut()
                    .filter(|resident| resident.model == base)
                {
                    resident.adapters.retain(|known| *known != model.model);
                }
            }
            None => entry.models.retain(|resident| resident.model != base),
        }
        let spec = replica_spec(plan, entry);
        state.replicas.upsert(&spec);
        state.record_local_change();
    }
}

impl TableState {
    fn replace_entries(&mut self, plan: &PlanIndex, targets: Vec<TargetEntry>, now: Duration) {
        let known: HashSet<TargetId> = targets.iter().map(|entry| entry.id.clone()).collect();
        let gone = self.entries.keys().filter(|id| !known.contains(*id));
        for id in gone.cloned().collect::<Vec<_>>() {
            self.remove(&id);
        }
        for entry in targets {
            self.upsert(plan, entry, now);
        }
    }

    /// Gives the list a version that no leader knows and that differs from earlier ones, so that the
    /// leader's next changes are made for the list as it is now.
    fn record_local_change(&mut self) {
        self.local_changes += 1;
        self.list_version = ListVersion {
            term: 0,
            number: self.local_changes,
        };
    }

    fn remove_hashes(&mut self, hashes: &[TargetHash]) {
        if hashes.is_empty() {
            return;
        }
        let known = self.entries.keys();
        let removed = known.filter(|target| hashes.contains(&target_hash(target)));
        for target in removed.cloned().collect::<Vec<_>>() {
            self.remove(&target);
        }
    }

    fn remove(&mut self, target: &TargetId) {
        self.replicas.remove(target);
        self.connect_failures.remove(target);
        self.warmth.remove(target);
        self.entries.remove(target);
    }

    fn upsert(&mut self, plan: &PlanIndex, entry: TargetEntry, now: Duration) {
        let old = self.entries.get(&entry.id);
        let has_started = old.is_none_or(|old| old.started_ms != entry.started_ms);
        // A target that restarted under the same name has an empty cache and no load.
        if old.is_some_and(|old| old.started_ms != entry.started_ms) {
            self.replicas.remove(&entry.id);
        }
        self.replicas.upsert(&replica_spec(plan, &entry));
        self.apply_warmth(plan, &entry, has_started, now);
        let availability = self.availability(&entry);
        self.replicas.set_availability(&entry.id, availability);
        self.entries.insert(entry.id.clone(), entry);
    }
}
