use std::{
    collections::{BTreeMap, HashMap, HashSet},
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use spdlog::prelude::*;
use tokio::sync::Notify;

use super::{
    connections::ConnectFailure,
    pools::{spec_of, split_model},
};
use crate::{
    adapter::TargetEntry,
    ids::{DataCentreId, TargetId},
    plan::PlanIndex,
    route::{
        Availability, ExchangeOutcome, LoadReport, PrefixBlock, ReplicaTable, RouteChoice,
        RouteRequest, RouteTuning,
    },
    sync::{ListVersion, LoadSum, ServedModel, TargetHash, TargetList, target_hash},
};

/// Time to read one prompt token; engines read tens of tokens in a millisecond.
const PREFILL_MS_PER_TOKEN: f32 = 0.04;
/// Time that a request occupies a slot of an engine: tens of events of a few steps each.
const SLOT_MS: f32 = 2_000.0;

/// Difference of the expected time at which the choice still varies; gateways that decide in the
/// same moment do not all take the same target.
const TEMPERATURE_MS: f32 = 6.0;
/// Weight of a new sample in the time to read a prompt token.
const PREFILL_SAMPLE_WEIGHT: f32 = 0.05;
/// Tokens from which on the time to the first byte is the time to read them.
const PREFILL_SAMPLE_TOKENS: u32 = 1_000;
/// Part of the longest pause between events that reading prompts may fill.
const PAUSE_SHARE: f32 = 0.7;
/// Requests that a plain service may hold for each of its slots; they are short.
const PLAIN_REQUESTS_PER_SLOT: f32 = 2.0;

/// A chosen target and where it is reached.
#[derive(Clone, Debug)]
pub struct ChosenTarget {
    pub choice: RouteChoice,
    pub address: SocketAddr,
    /// Prompt tokens that the target had not read when the request was sent.
    pub unread_before: u32,
}

/// The targets that this gateway knows, and the choice among them.
pub struct TargetTable {
    started: Instant,
    tables: Mutex<Tables>,
    /// Wakes requests that wait for a model.
    changed: Notify,
    /// Wakes the task that tells other gateways what this one runs.
    own_changed: Notify,
    /// Wakes requests that wait for room.
    room: Notify,
}

/// Time without a byte from a target that runs requests of this gateway after which it gets no new
/// ones. Engines send events several times in that time, and plain services answer in less.
const SILENCE_LIMIT: Duration = Duration::from_millis(700);
/// Time after which a silent target is tried again when none of its requests is left.
const SILENCE_REST: Duration = Duration::from_millis(1_500);
/// Part of an engine's slots that requests fill; the rest is for requests that gateways send in the
/// same moment, which would wait at the engine behind all others.
const ADMITTED_SLOTS: f32 = 0.85;

/// When a target that runs requests of this gateway was last heard.
#[derive(Clone, Copy, Debug)]
struct TargetPulse {
    heard_at: Duration,
    is_silent: bool,
}

struct Tables {
    unread: BTreeMap<TargetId, u32>,
    prefill_ms: f32,
    pulses: HashMap<TargetId, TargetPulse>,
    /// Connections in a row that a target did not accept.
    unanswered: HashMap<TargetId, u32>,
    replicas: ReplicaTable,
    entries: HashMap<TargetId, TargetEntry>,
    running: BTreeMap<TargetId, u32>,
    version: ListVersion,
}

impl TargetTable {
    /// Returns an empty table of a gateway in a data centre.
    pub fn new(data_centre: &DataCentreId) -> Self {
        let tuning = RouteTuning {
            prefill_ms_per_token: PREFILL_MS_PER_TOKEN,
            slot_ms: SLOT_MS,
            temperature_ms: TEMPERATURE_MS,
            // Other gateways tell what they send.
            peer_load_exponent: 0.0,
            ..RouteTuning::default()
        };
        Self {
            started: Instant::now(),
            tables: Mutex::new(Tables {
                unread: BTreeMap::new(),
                prefill_ms: PREFILL_MS_PER_TOKEN,
                pulses: HashMap::new(),
                unanswered: HashMap::new(),
                replicas: ReplicaTable::new(tuning, &[(data_centre.clone(), Duration::ZERO)]),
                entries: HashMap::new(),
                running: BTreeMap::new(),
                version: ListVersion::default(),
            }),
            changed: Notify::new(),
            own_changed: Notify::new(),
            room: Notify::new(),
        }
    }

    fn tables(&self) -> MutexGuard<'_, Tables> {
        self.tables.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Names the list in use.
    pub fn version(&self) -> ListVersion {
        self.tables().version
    }

    /// Tells whether any target is known.
    pub fn is_empty(&self) -> bool {
        self.tables().entries.is_empty()
    }

    /// Tells whether a target is on the list.
    pub fn contains(&self, target: &TargetId) -> bool {
        self.tables().entries.contains_key(target)
    }

    /// Waits until the list changes.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Takes over the leader's list.
    pub fn apply(&self, plan: &PlanIndex, list: TargetList) {
        let mut tables = self.tables();
        match list.base {
            None => tables.apply(plan, list.targets),
            Some(base) if base == tables.version => {
                for target in &list.removed {
                    tables.remove(target);
                }
                for entry in list.targets {
                    tables.put(plan, entry);
                }
            }
            // The next sync asks for what this one does not bring.
            Some(_) => return,
        }
        tables.version = list.version;
        drop(tables);
        self.changed.notify_waiters();
    }

    /// Takes over a list that this gateway read itself.
    pub fn apply_own(&self, plan: &PlanIndex, targets: Vec<TargetEntry>) {
        let mut tables = self.tables();
        // The leader's next list replaces this one, whatever its number.
        tables.version = ListVersion::default();
        tables.apply(plan, targets);
        drop(tables);
        self.changed.notify_waiters();
    }

    /// Applies the current list to a new plan.
    pub fn refresh(&self, plan: &PlanIndex) {
        let mut tables = self.tables();
        let targets = tables.entries.values().cloned().collect();
        tables.apply(plan, targets);
    }

    /// Takes over what other gateways run at targets.
    pub fn apply_others(&self, others: &HashMap<TargetHash, LoadSum>) {
        let now = self.now();
        let mut tables = self.tables();
        let tables = &mut *tables;
        for id in tables.entries.keys() {
            let others = others.get(&target_hash(id)).copied().unwrap_or_default();
            let own = tables.running.get(id).copied().unwrap_or(0);
            let report = LoadReport {
                running: others.running + own,
                queued: 0,
                measured_at: now,
            };
            tables.replicas.apply_report(id, report);
            tables
                .replicas
                .set_peer_prefill_tokens(id, others.prefill_tokens);
        }
        self.room.notify_waiters();
    }

    /// Returns what this gateway runs.
    pub fn own_loads(&self) -> HashMap<TargetHash, LoadSum> {
        let tables = self.tables();
        let loads = tables.running.iter().map(|(target, running)| {
            let sum = LoadSum {
                running: *running,
                prefill_tokens: tables.unread.get(target).copied().unwrap_or(0),
            };
            (target_hash(target), sum)
        });
        loads.collect()
    }

    /// Waits until this gateway runs something else.
    pub async fn own_changed(&self) {
        self.own_changed.notified().await;
    }

    /// Waits until there may be room at a target.
    pub async fn room(&self) {
        self.room.notified().await;
    }

    /// Chooses a target.
    pub fn choose(&self, request: &RouteRequest<'_>) -> Option<ChosenTarget> {
        let now = self.now();
        let tables = self.tables();
        let choice = tables.replicas.choose(request, now, &mut rand::rng())?;
        let address = tables.entries.get(&choice.target)?.address;
        Some(ChosenTarget {
            choice,
            address,
            unread_before: 0,
        })
    }

    /// Tells whether a target has room for another request: a free slot, and prompts that it reads
    /// within the longest pause that running streams may have.
    #[allow(clippy::cast_precision_loss)] // Counts are far below 2^24.
    pub fn has_room(&self, chosen: &ChosenTarget, pause: Option<Duration>) -> bool {
        let tables = self.tables();
        let choice = &chosen.choice;
        let slots = tables
            .entries
            .get(&choice.target)
            .map_or(1, |entry| entry.slots);
        let Some(pause) = pause else {
            return choice.load < slots as f32 * PLAIN_REQUESTS_PER_SLOT;
        };
        let unread = tables.replicas.pending_prefill_tokens(&choice.target);
        let reading_ms = (unread + choice.prefill_tokens) as f32 * tables.prefill_ms;
        let is_readable = unread == 0 || reading_ms <= pause.as_secs_f32() * 1000.0 * PAUSE_SHARE;
        is_readable && choice.load < slots as f32 * ADMITTED_SLOTS
    }

    /// Notes that a target sent something.
    pub fn hear(&self, target: &TargetId) {
        let now = self.now();
        let mut tables = self.tables();
        if let Some(pulse) = tables.pulses.get_mut(target) {
            pulse.heard_at = now;
            if pulse.is_silent {
                pulse.is_silent = false;
                tables.set_up(target);
                info!("route: a target is heard again", kv: { target = target.as_str() });
            }
        }
    }

    /// Notes that a target accepts connections.
    pub fn note_reachable(&self, target: &TargetId) {
        self.tables().unanswered.remove(target);
    }

    /// Sets a target aside that accepts no connection.
    pub fn note_unreachable(&self, target: &TargetId, failure: ConnectFailure) {
        let now = self.now();
        let mut tables = self.tables();
        let unanswered = tables.unanswered.entry(target.clone()).or_default();
        *unanswered += 1;
        let is_lost_packet = failure == ConnectFailure::Unanswered && *unanswered < 2;
        if is_lost_packet || !tables.entries.contains_key(target) {
            return;
        }
        let pulse = TargetPulse {
            heard_at: now,
            is_silent: true,
        };
        let known = tables.pulses.insert(target.clone(), pulse);
        tables.replicas.set_availability(target, Availability::Down);
        if !known.is_some_and(|known| known.is_silent) {
            warn!("route: a target accepts no connection", kv: { target = target.as_str() });
        }
    }

    /// Returns the targets that are set aside because nothing is heard of them.
    pub fn silent(&self) -> Vec<TargetId> {
        let tables = self.tables();
        let silent = tables.pulses.iter().filter(|(_, pulse)| pulse.is_silent);
        silent.map(|(target, _)| target.clone()).collect()
    }

    /// Sets targets that fell silent aside, and takes those back that may be tried again.
    pub fn check_pulses(&self) {
        let now = self.now();
        let mut tables = self.tables();
        let tables = &mut *tables;
        let mut ended = Vec::new();
        for (target, pulse) in &mut tables.pulses {
            let age = now.saturating_sub(pulse.heard_at);
            let running = tables.running.get(target).copied().unwrap_or(0);
            let is_running = running > 0;
            let is_engine = tables
                .entries
                .get(target)
                .is_some_and(|entry| !entry.models.is_empty());
            // A plain target sends nothing while it works on one slow request.
            let is_expected = is_engine || running > 1;
            match pulse.is_silent {
                false if is_expected && is_running && age >= SILENCE_LIMIT => {
                    pulse.is_silent = true;
                    let down = Availability::Down;
                    tables.replicas.set_availability(target, down);
                    warn!("route: a target is silent", kv: {
                        target = target.as_str(),
                        silent_ms = age.as_millis(),
                    });
                }
                true if !is_running && age >= SILENCE_REST => ended.push(target.clone()),
                false if !is_running => ended.push(target.clone()),
                _ => {}
            }
        }
        for target in ended {
            tables.pulses.remove(&target);
            tables.set_up(&target);
        }
    }

    /// Counts a request that is sent.
    pub fn send(&self, chosen: &mut ChosenTarget, prefix: &[PrefixBlock]) {
        let now = self.now();
        let mut tables = self.tables();
        let tables = &mut *tables;
        chosen.unread_before = tables
            .replicas
            .pending_prefill_tokens(&chosen.choice.target);
        let unread = tables.unread.entry(chosen.choice.target.clone());
        *unread.or_default() += chosen.choice.prefill_tokens;
        self.own_changed.notify_one();
        tables.replicas.record_send(&chosen.choice, now);
        tables
            .replicas
            .record_prefixes(&chosen.choice.target, prefix, now);
        let running = tables.running.entry(chosen.choice.target.clone());
        let running = running.or_default();
        *running += 1;
        if *running == 1 {
            let pulse = tables.pulses.entry(chosen.choice.target.clone());
            let pulse = pulse.or_insert(TargetPulse {
                heard_at: now,
                is_silent: false,
            });
            if !pulse.is_silent {
                pulse.heard_at = now;
            }
        }
    }

    /// Notes how the start of an exchange went.
    pub fn observe(&self, chosen: &ChosenTarget, exchange: ExchangeOutcome) {
        let now = self.now();
        let mut tables = self.tables();
        let tables = &mut *tables;
        tables
            .replicas
            .record_outcome(&chosen.choice, exchange, now);
        if let Some(unread) = tables.unread.get_mut(&chosen.choice.target) {
            *unread = unread.saturating_sub(chosen.choice.prefill_tokens);
        }
        if let ExchangeOutcome::Answered { first_byte } = exchange {
            tables.learn_prefill(chosen, first_byte);
        }
        self.own_changed.notify_one();
        self.room.notify_waiters();
    }

    /// Counts a request that has ended.
    pub fn end(&self, target: &TargetId) {
        let now = self.now();
        let mut tables = self.tables();
        tables.replicas.record_end(target, now);
        let is_last = match tables.running.get_mut(target) {
            Some(requests) => {
                *requests = requests.saturating_sub(1);
                *requests == 0
            }
            None => false,
        };
        if is_last {
            tables.running.remove(target);
            tables.unread.remove(target);
        }
        self.own_changed.notify_one();
        self.room.notify_waiters();
    }

    /// Takes over the load that an answer tells.
    pub fn report_load(&self, target: &TargetId, running: u32, queued: u32) {
        let at = self.now();
        let report = LoadReport {
            running,
            queued,
            measured_at: at,
        };
        self.tables().replicas.apply_report(target, report);
    }

    /// Drops a pool of a target that turned out not to hold the model, until the next list.
    pub fn forget(&self, plan: &PlanIndex, target: &TargetId, model: &ServedModel) {
        let mut tables = self.tables();
        let Some(entry) = tables.entries.get_mut(target) else {
            return;
        };
        let (base, adapter) = split_model(&model.model);
        match adapter {
            Some(_) => {
                for held in entry.models.iter_mut().filter(|held| held.model == base) {
                    held.adapters.retain(|known| *known != model.model);
                }
            }
            None => entry.models.retain(|held| held.model != base),
        }
        let spec = spec_of(plan, entry);
        tables.replicas.upsert(&spec);
        tables.version = ListVersion::default();
    }
}

impl Tables {
    /// Learns how fast engines read prompts from requests whose first byte waited for that.
    #[allow(clippy::cast_precision_loss)] // Counts are far below 2^24.
    fn learn_prefill(&mut self, chosen: &ChosenTarget, first_byte: Duration) {
        let tokens = chosen.unread_before + chosen.choice.prefill_tokens;
        if tokens >= PREFILL_SAMPLE_TOKENS {
            let sample = first_byte.as_secs_f32() * 1000.0 / tokens as f32;
            let sample = sample.clamp(self.prefill_ms / 4.0, self.prefill_ms * 4.0);
            self.prefill_ms += (sample - self.prefill_ms) * PREFILL_SAMPLE_WEIGHT;
        }
    }

    /// Lets a target that is not leaving take requests again.
    fn set_up(&mut self, target: &TargetId) {
        let entry = self.entries.get(target);
        if entry.is_some_and(|entry| !entry.is_draining) {
            self.replicas.set_availability(target, Availability::Up);
        }
    }

    fn apply(&mut self, plan: &PlanIndex, targets: Vec<TargetEntry>) {
        let known: HashSet<TargetId> = targets.iter().map(|entry| entry.id.clone()).collect();
        let gone = self.entries.keys().filter(|id| !known.contains(*id));
        for id in gone.cloned().collect::<Vec<_>>() {
            self.remove(&id);
        }
        for entry in targets {
            self.put(plan, entry);
        }
    }

    fn remove(&mut self, target: &TargetId) {
        self.replicas.remove(target);
        self.unanswered.remove(target);
        self.entries.remove(target);
    }

    fn put(&mut self, plan: &PlanIndex, entry: TargetEntry) {
        let old = self.entries.get(&entry.id);
        // A restart under the same name begins with an empty cache and no load.
        if old.is_some_and(|old| old.started_ms != entry.started_ms) {
            self.replicas.remove(&entry.id);
        }
        self.replicas.upsert(&spec_of(plan, &entry));
        let pulse = self.pulses.get(&entry.id);
        let availability = match pulse {
            _ if entry.is_draining => Availability::Draining,
            Some(pulse) if pulse.is_silent => Availability::Down,
            _ => Availability::Up,
        };
        self.replicas.set_availability(&entry.id, availability);
        self.entries.insert(entry.id.clone(), entry);
    }
}
