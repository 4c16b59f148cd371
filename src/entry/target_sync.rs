use std::{
    collections::{BTreeMap, HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use super::{
    scheduler::Scheduler,
    view::{EntryView, SharedView, SyncUpdate},
};
use crate::{
    border::TargetKind,
    ids::{Revision, TargetId, TeamId, Term},
    route::{Availability, LoadReport, PoolId, ReplicaSpec},
};

/// Interval at which queues with full targets are retried, since this entry is not notified when
/// other entries' requests end.
const DISPATCH_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between evaluations that detect targets slower than their pool.
const EVALUATION_INTERVAL: Duration = Duration::from_secs(1);

/// Applies sync updates to the scheduler's tables.
pub struct TargetSync {
    view: Arc<SharedView>,
    scheduler: Arc<Scheduler>,
    known_targets: HashSet<TargetId>,
    applied: (Revision, u64),
    served: HashMap<TeamId, (Term, u64)>,
}

impl TargetSync {
    pub fn new(view: Arc<SharedView>, scheduler: Arc<Scheduler>) -> Self {
        Self {
            view,
            scheduler,
            known_targets: HashSet::new(),
            applied: (0, u64::MAX),
            served: HashMap::new(),
        }
    }

    /// Runs until the task is dropped.
    pub async fn run(mut self) {
        let mut syncs = self.view.watch_syncs();
        let mut dispatches = tokio::time::interval(DISPATCH_INTERVAL);
        dispatches.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut evaluations = tokio::time::interval(EVALUATION_INTERVAL);
        loop {
            tokio::select! {
                _ = syncs.changed() => {
                    let view = self.view.get();
                    let updates = self.view.take_updates();
                    self.apply(&view, updates);
                    self.scheduler.dispatch_all();
                }
                _ = dispatches.tick() => {
                    let now = self.scheduler.now();
                    self.scheduler.tables().expire_unreachable(now);
                    self.scheduler.dispatch_all();
                }
                _ = evaluations.tick() => {
                    let now = self.scheduler.now();
                    self.scheduler.tables().replicas.evaluate_outliers(now);
                }
            }
        }
    }

    fn apply(&mut self, view: &EntryView, updates: Vec<SyncUpdate>) {
        let version = (view.revision, view.residency_version);
        if self.applied != version {
            self.applied = version;
            self.apply_targets(view);
        }
        let mut tables = self.scheduler.tables();
        for target in view.index.targets() {
            let availability = match &target.id {
                id if target.draining || view.avoided.contains(id) => Availability::Draining,
                id if tables.unreachable.contains_key(id) => Availability::Down,
                _ => Availability::Up,
            };
            tables.replicas.set_availability(&target.id, availability);
        }
        for update in updates {
            let received = self.scheduler.clock_time(update.received);
            for load in update.loads {
                let age = Duration::from_millis(u64::from(load.age_ms));
                let report = LoadReport {
                    running: load.running,
                    queued: load.queued,
                    measured_at: received.saturating_sub(age),
                };
                tables.replicas.apply_report(&load.target, report);
            }
            let mut charges = Vec::new();
            for (team, served) in update.served_elsewhere {
                let weight = view.index.team(&team).map_or(1, |team| team.weight);
                let last = self.served.insert(team.clone(), (update.term, served));
                // The leader's counters restart at zero in each term.
                let before = last.map_or(
                    0,
                    |(term, before)| if term == update.term { before } else { 0 },
                );
                charges.push((team, weight, served.saturating_sub(before)));
            }
            for queue in tables.queues.values_mut() {
                queue.charge_remote_service(&charges);
            }
        }
    }

    fn apply_targets(&mut self, view: &EntryView) {
        let mut pools: BTreeMap<TargetId, Vec<_>> = BTreeMap::new();
        for (model, copies) in view.residency.iter() {
            for (target, version) in copies {
                let pool = (PoolId::Model(model.clone()), Some(version.clone()));
                pools.entry(target.clone()).or_default().push(pool);
            }
        }
        let mut tables = self.scheduler.tables();
        let mut known_targets = HashSet::new();
        for target in view.index.targets() {
            let service = target.service.iter();
            let pools = match target.kind {
                TargetKind::Engine => pools.remove(&target.id).unwrap_or_default(),
                TargetKind::Service => service
                    .map(|service| (PoolId::Service(service.clone()), None))
                    .collect(),
            };
            tables.replicas.upsert(&ReplicaSpec {
                target: target.id.clone(),
                data_centre: target.data_centre.clone(),
                slots: target.slots,
                pools,
            });
            known_targets.insert(target.id.clone());
        }
        for removed in self.known_targets.difference(&known_targets) {
            tables.replicas.remove(removed);
            tables.clients.remove(removed);
        }
        self.known_targets = known_targets;
    }
}
