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

/// Interval of plans while no order is settled.
const PLAN_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum interval between plans, so that many settled orders lead to one plan.
const MIN_PLAN_INTERVAL: Duration = Duration::from_millis(20);

/// Plans the placement of models and starts orders while this voter leads.
pub struct PlacementController {
    voter: VoterHandle,
    service: Arc<SyncService>,
    dispatcher: Arc<OrderDispatcher>,
    started: Instant,
    term: Option<TermContext>,
}

/// Planning state of the leader in one term.
struct TermContext {
    term: Term,
    planner: PlacementPlanner,
    limiter: Option<StoreLimiter>,
    index: Arc<FleetIndex>,
    index_revision: Revision,
}

impl PlacementController {
    pub fn new(
        voter: VoterHandle,
        service: Arc<SyncService>,
        dispatcher: Arc<OrderDispatcher>,
    ) -> Self {
        Self {
            voter,
            service,
            dispatcher,
            started: Instant::now(),
            term: None,
        }
    }

    /// Runs until the task is dropped.
    pub async fn run(mut self) {
        loop {
            let _ = tokio::time::timeout(PLAN_INTERVAL, self.dispatcher.wait_settled()).await;
            tokio::time::sleep(MIN_PLAN_INTERVAL).await;
            let Some(lease) = self.voter.lease().filter(LeaderLease::is_valid) else {
                self.term = None;
                continue;
            };
            if self.run_round(lease).await.is_none() {
                self.term = None;
            }
        }
    }

    /// Makes one plan and starts its steps. Returns `None` if this voter no longer leads.
    async fn run_round(&mut self, lease: LeaderLease) -> Option<()> {
        self.remove_lost_entries(lease).await?;
        let (revision, config) = self.voter.read_local(ControlState::config);
        let Some(config) = config else {
            return Some(());
        };
        self.begin_term(lease, &config).await?;
        self.record_reports(lease, &config).await?;
        let demand = self.service.take_demand(lease);
        let engines = self.engines(lease, &config);
        let now = self.started.elapsed();
        let term = self.term.as_mut()?;
        if term.index_revision != revision {
            term.index = Arc::new(FleetIndex::new(&config));
            term.index_revision = revision;
        }
        let limiter = term
            .limiter
            .get_or_insert_with(|| StoreLimiter::new(&config.weight_store, now));
        limiter.set_limits(&config.weight_store);
        for kind in self.dispatcher.take_ended_loads() {
            limiter.finish(kind);
        }
        let input = PlanInput {
            index: &term.index,
            engines: &engines,
            demand: &demand,
        };
        let plan = term.planner.plan(&input, now);
        trace!(
            "place: made a plan of {} steps in {:?}",
            plan.steps.len(),
            self.started.elapsed().saturating_sub(now)
        );
        for step in plan.steps {
            start_step(
                &self.dispatcher,
                &config,
                &term.index,
                limiter,
                step,
                lease,
                now,
            );
        }
        Some(())
    }

    /// Reports expired entries to the replicated state as lost claimants.
    async fn remove_lost_entries(&self, lease: LeaderLease) -> Option<()> {
        for claimant in self.service.expire(lease) {
            self.voter
                .propose(Command::LoseClaimant { claimant })
                .await
                .ok()?;
        }
        Some(())
    }

    /// Makes a new leader apply the whole log before it starts orders.
    async fn begin_term(&mut self, lease: LeaderLease, config: &FleetConfig) -> Option<()> {
        if self
            .term
            .as_ref()
            .is_some_and(|context| context.term == lease.term)
        {
            return Some(());
        }
        self.voter.read(|_| ()).await.ok()?;
        info!("place: planning begins in term {}", lease.term);
        self.dispatcher.resume_orders(config);
        self.term = Some(TermContext {
            term: lease.term,
            planner: PlacementPlanner::new(PlacementParams::default()),
            limiter: None,
            index: Arc::default(),
            index_revision: 0,
        });
        Some(())
    }

    /// Records the reports of engines in the log if they differ from the state.
    async fn record_reports(&self, lease: LeaderLease, config: &FleetConfig) -> Option<()> {
        for (target, report) in self.service.reports(lease) {
            let is_configured = config.targets.iter().any(|known| known.id == target);
            let command = self
                .voter
                .read_local(|state| report_command(state, &target, &report));
            if let Some(command) = command.filter(|_| is_configured) {
                self.voter.propose(command).await.ok()?;
            }
        }
        Some(())
    }

    fn engines(&self, lease: LeaderLease, config: &FleetConfig) -> Vec<EngineCapacity> {
        let health = self.service.health(lease);
        let engines = config
            .targets
            .iter()
            .filter(|target| target.kind == TargetKind::Engine);
        self.voter.read_local(|state| {
            engines
                .map(|target| {
                    let health = health.get(&target.id).copied();
                    let is_draining = self.service.is_draining(target, state);
                    engine_capacity(
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

fn engine_capacity(
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
    dispatcher: &Arc<OrderDispatcher>,
    config: &FleetConfig,
    index: &FleetIndex,
    limiter: &mut StoreLimiter,
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
    // A load that exceeds the limits of the weight store is planned again by the next plan.
    if kind.is_some_and(|kind| !limiter.admit(kind, now)) {
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
    dispatcher.start(target, step.action, kind, lease);
}
