use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use spdlog::prelude::*;

use super::{
    order_dispatcher::{OrderDispatcher, report_command},
    sync_service::SyncService,
};
use crate::{
    border::{FleetConfig, TargetConfig, TargetKind},
    fleet::FleetIndex,
    ids::{Revision, Term},
    order::OrderAction,
    placement::{
        EngineCapacity, EngineState, LoadKind, PlacementParams, PlacementPlanner, PlacementStep,
        PlanInput, StoreLimiter,
    },
    soft_state::TargetHealth,
    state::{Command, ControlState, TargetMemory},
    voter::{LeaderLease, VoterHandle},
};

/// Time between two plans when no order is settled in between.
const PLAN_PERIOD: Duration = Duration::from_millis(500);
/// Shortest time between two plans, so that many settled orders lead to one plan.
const MIN_PLAN_PERIOD: Duration = Duration::from_millis(20);

/// Plans placement and gives orders, while this voter leads.
pub struct PlacementController {
    voter: VoterHandle,
    hub: Arc<SyncService>,
    desk: Arc<OrderDispatcher>,
    started: Instant,
    term: Option<TermPlans>,
}

/// What the leader of one term plans with.
struct TermPlans {
    term: Term,
    planner: PlacementPlanner,
    schedule: Option<StoreLimiter>,
    index: Arc<FleetIndex>,
    index_of: Revision,
}

impl PlacementController {
    pub fn new(voter: VoterHandle, hub: Arc<SyncService>, desk: Arc<OrderDispatcher>) -> Self {
        Self {
            voter,
            hub,
            desk,
            started: Instant::now(),
            term: None,
        }
    }

    /// Runs until the task is dropped.
    pub async fn run(mut self) {
        loop {
            let _ = tokio::time::timeout(PLAN_PERIOD, self.desk.settled()).await;
            tokio::time::sleep(MIN_PLAN_PERIOD).await;
            let Some(lease) = self.voter.lease().filter(LeaderLease::is_valid) else {
                self.term = None;
                continue;
            };
            if self.round(lease).await.is_none() {
                self.term = None;
            }
        }
    }

    /// One plan; `None` when this voter turned out not to lead.
    async fn round(&mut self, lease: LeaderLease) -> Option<()> {
        self.drop_lost_entries(lease).await?;
        let (revision, config) = self.voter.read_local(ControlState::config);
        let Some(config) = config else {
            return Some(());
        };
        self.begin_term(lease, &config).await?;
        self.record_reports(lease, &config).await?;
        let loads = self.hub.take_demand(lease);
        let engines = self.engines(lease, &config);
        let now = self.started.elapsed();
        let term = self.term.as_mut()?;
        if term.index_of != revision {
            term.index = Arc::new(FleetIndex::new(&config));
            term.index_of = revision;
        }
        let schedule = term
            .schedule
            .get_or_insert_with(|| StoreLimiter::new(&config.weight_store, now));
        schedule.set_limits(&config.weight_store);
        for kind in self.desk.take_ended_loads() {
            schedule.finish(kind);
        }
        let input = PlanInput {
            index: &term.index,
            engines: &engines,
            demand: &loads,
        };
        let plan = term.planner.plan(&input, now);
        trace!(
            "place: plan of {} steps in {:?}",
            plan.steps.len(),
            self.started.elapsed().saturating_sub(now)
        );
        for step in plan.steps {
            start_step(&self.desk, &config, &term.index, schedule, step, lease, now);
        }
        Some(())
    }

    async fn drop_lost_entries(&self, lease: LeaderLease) -> Option<()> {
        for claimant in self.hub.expire(lease) {
            self.voter
                .propose(Command::LoseClaimant { claimant })
                .await
                .ok()?;
        }
        Some(())
    }

    /// A leader that has just come in reads the whole log before it orders anything.
    async fn begin_term(&mut self, lease: LeaderLease, config: &FleetConfig) -> Option<()> {
        if self
            .term
            .as_ref()
            .is_some_and(|plans| plans.term == lease.term)
        {
            return Some(());
        }
        self.voter.read(|_| ()).await.ok()?;
        info!("place: term {} begins", lease.term);
        self.desk.inherit(config);
        self.term = Some(TermPlans {
            term: lease.term,
            planner: PlacementPlanner::new(PlacementParams::default()),
            schedule: None,
            index: Arc::default(),
            index_of: 0,
        });
        Some(())
    }

    /// Records in the log what engines report, when it differs from what the state has.
    async fn record_reports(&self, lease: LeaderLease, config: &FleetConfig) -> Option<()> {
        for (target, report) in self.hub.reports(lease) {
            let is_configured = config.targets.iter().any(|known| known.id == target);
            let news = self
                .voter
                .read_local(|state| report_command(state, &target, &report));
            if let Some(command) = news.filter(|_| is_configured) {
                self.voter.propose(command).await.ok()?;
            }
        }
        Some(())
    }

    fn engines(&self, lease: LeaderLease, config: &FleetConfig) -> Vec<EngineCapacity> {
        let health = self.hub.health(lease);
        let engines = config
            .targets
            .iter()
            .filter(|target| target.kind == TargetKind::Engine);
        self.voter.read_local(|state| {
            engines
                .map(|target| {
                    let health = health.get(&target.id).copied();
                    let is_draining = self.hub.is_leaving(target, state);
                    engine_room(
                        target,
                        state.memory().target(&target.id),
                        health,
                        is_draining,
                    )
                })
                .collect()
        })
    }
}

fn engine_room(
    target: &TargetConfig,
    memory: Option<&TargetMemory>,
    health: Option<TargetHealth>,
    is_draining: bool,
) -> EngineCapacity {
    let Some(memory) = memory else {
        return EngineCapacity::new(target, EngineState::OutOfService, Vec::new());
    };
    let state = match health {
        Some(TargetHealth::Up) if is_draining => EngineState::OutOfService,
        Some(TargetHealth::Up) if memory.is_settled() => EngineState::Available,
        Some(TargetHealth::Up) => EngineState::Busy,
        _ => EngineState::OutOfService,
    };
    let mut copies = memory.confirmed().to_vec();
    for (_, order) in memory.orders() {
        match &order.action {
            OrderAction::Load(copy) => copies.push(copy.clone()),
            OrderAction::Unload(_) => {}
        }
    }
    EngineCapacity::new(target, state, copies)
}

fn start_step(
    desk: &Arc<OrderDispatcher>,
    config: &FleetConfig,
    index: &FleetIndex,
    schedule: &mut StoreLimiter,
    step: PlacementStep,
    lease: LeaderLease,
    now: Duration,
) {
    let Some(target) = config
        .targets
        .iter()
        .find(|target| target.id == step.target)
    else {
        return;
    };
    let kind = match &step.action {
        OrderAction::Load(copy) if index.adapter(&copy.model).is_some() => Some(LoadKind::Adapter),
        OrderAction::Load(_) => Some(LoadKind::Model),
        OrderAction::Unload(_) => None,
    };
    // A load that the weight store has no room for comes up again with the next plan.
    if kind.is_some_and(|kind| !schedule.admit(kind, now)) {
        return;
    }
    match &step.action {
        OrderAction::Load(copy) => {
            info!(
                "place: load {} {} on {}: {}",
                copy.model, copy.version, step.target, step.reason
            );
        }
        OrderAction::Unload(copy) => {
            let (model, version) = (&copy.model, &copy.version);
            info!(
                "place: unload {model} {version} from {}: {}",
                step.target, step.reason
            );
        }
    }
    desk.start(target, step.action, kind, lease);
}
