use std::{
    collections::{BTreeMap, HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use super::{
    scheduler::Scheduler,
    view::{EntryView, SharedView, SyncNews},
};
use crate::{
    border::TargetKind,
    ids::{Revision, TargetId, TeamId, Term},
    route::{Availability, LoadReport, PoolId, ReplicaSpec},
};

/// Time between two looks at queues whose targets were full, since other entries' requests end
/// without a notice.
const PUMP_PERIOD: Duration = Duration::from_millis(20);
/// Time between two searches for targets that are slower than their pool.
const EVALUATION_PERIOD: Duration = Duration::from_secs(1);

/// Brings the scheduler's tables up to date with what the syncs tell.
pub struct TargetSync {
    view: Arc<SharedView>,
    scheduler: Arc<Scheduler>,
    known: HashSet<TargetId>,
    applied: (Revision, u64),
    served: HashMap<TeamId, (Term, u64)>,
}

impl TargetSync {
    pub fn new(view: Arc<SharedView>, scheduler: Arc<Scheduler>) -> Self {
        Self {
            view,
            scheduler,
            known: HashSet::new(),
            applied: (0, u64::MAX),
            served: HashMap::new(),
        }
    }

    /// Runs until the task is dropped.
    pub async fn run(mut self) {
        let mut syncs = self.view.watch_syncs();
        let mut pumps = tokio::time::interval(PUMP_PERIOD);
        pumps.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut evaluations = tokio::time::interval(EVALUATION_PERIOD);
        loop {
            tokio::select! {
                _ = syncs.changed() => {
                    let view = self.view.get();
                    let news = self.view.take_news();
                    self.apply(&view, news);
                    self.scheduler.pump_all();
                }
                _ = pumps.tick() => {
                    let now = self.scheduler.now();
                    self.scheduler.tables().end_unreachable(now);
                    self.scheduler.pump_all();
                }
                _ = evaluations.tick() => {
                    let now = self.scheduler.now();
                    self.scheduler.tables().replicas.evaluate_outliers(now);
                }
            }
        }
    }

    fn apply(&mut self, view: &EntryView, news: Vec<SyncNews>) {
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
        for news in news {
            let received = self.scheduler.at(news.received);
            for load in news.loads {
                let age = Duration::from_millis(u64::from(load.age_ms));
                let report = LoadReport {
                    running: load.running,
                    queued: load.queued,
                    measured_at: received.saturating_sub(age),
                };
                tables.replicas.apply_report(&load.target, report);
            }
            let mut charges = Vec::new();
            for (team, served) in news.served_elsewhere {
                let weight = view.index.team(&team).map_or(1, |team| team.weight);
                let last = self.served.insert(team.clone(), (news.term, served));
                // Counters start over with each term.
                let before = last.map_or(
                    0,
                    |(term, before)| if term == news.term { before } else { 0 },
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
        let mut known = HashSet::new();
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
            known.insert(target.id.clone());
        }
        for gone in self.known.difference(&known) {
            tables.replicas.remove(gone);
            tables.clients.remove(gone);
        }
        self.known = known;
    }
}
