//! Compares the placement planner with static placement, least recently used, and a greedy plan
//! without hysteresis, on the sizes of both deployments, and times a plan up to the design scale.
//!
//! Time is stepped by one second. In each step a model's tokens are split over its ready copies,
//! and an engine serves what its slots allow; tokens served in the step in which they arrive count
//! as attained. The figures are in docs/placement.md.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use waxwinglatch::{
    border::{FleetConfig, TargetConfig},
    fleet::FleetIndex,
    ids::{ModelId, TargetId},
    order::OrderAction,
    placement::{
        EngineCapacity, EngineState, LoadKind, PlacementParams, PlacementPlanner, PlanInput,
        StoreLimiter,
    },
    soft_state::DemandTotals,
    sync::ResidentCopy,
};

/// Simulated time of each run that counts, in seconds.
const RUN_SECONDS: u32 = 3_600;
/// Time before it, in which the models are placed.
const WARM_UP_SECONDS: u32 = 300;
/// Tokens a second of one slot at 36 ms a token.
const TOKENS_PER_SLOT: f64 = 1.0 / 0.036;
/// Weights that one load reads in a second, in MiB.
const LOAD_MIB_PER_SECOND: u64 = 2_000;
/// Memory of each engine, in MiB.
const ENGINE_MIB: u64 = 80 * 1_024;
const SEEDS: [u64; 3] = [1, 2, 3];

#[derive(Clone, Copy)]
struct Deployment {
    name: &'static str,
    engines: u32,
    data_centres: u32,
    models: u32,
    loads_per_second: f64,
    concurrent_loads: u32,
    /// Mean tokens a second of all models together.
    demand: f64,
}

const DEPLOYMENTS: [Deployment; 2] = [
    Deployment {
        name: "Atlas",
        engines: 12,
        data_centres: 3,
        models: 20,
        loads_per_second: 1.5,
        concurrent_loads: 10,
        demand: 2_600.0,
    },
    Deployment {
        name: "Brattvold",
        engines: 9,
        data_centres: 4,
        models: 13,
        loads_per_second: 1.0,
        concurrent_loads: 2,
        demand: 2_000.0,
    },
];

#[derive(Clone, Copy, Debug, PartialEq)]
enum Policy {
    Static,
    LeastRecentlyUsed,
    GreedyPlan,
    Planner,
}

#[derive(Clone, Copy, Debug)]
enum Shape {
    /// Each model bursts tenfold at random times for half a minute to five minutes.
    Bursts,
    /// A third of the models is busy, and the third changes every two minutes.
    Periodic,
    /// The demand moves from one half of the models to the other within the hour.
    Shift,
}

fn main() {
    // Memory for 60% of the models' weights makes every policy choose.
    for (title, memory_factor) in [("memory for all models", 1.0), ("memory for half", 2.4)] {
        println!(
            "{title}: mean of {} seeds, {RUN_SECONDS} s each",
            SEEDS.len()
        );
        println!(
            "deployment policy            shape    attained  tokens/s/accelerator  moves  cold %  worst team"
        );
        for deployment in DEPLOYMENTS {
            for shape in [Shape::Bursts, Shape::Periodic, Shape::Shift] {
                for policy in [
                    Policy::Static,
                    Policy::LeastRecentlyUsed,
                    Policy::GreedyPlan,
                    Policy::Planner,
                ] {
                    print_row(deployment, policy, shape, memory_factor);
                }
            }
        }
    }
    time_plans();
}

fn print_row(deployment: Deployment, policy: Policy, shape: Shape, memory_factor: f64) {
    let runs: Vec<Figures> = SEEDS
        .iter()
        .map(|seed| run(deployment, policy, shape, memory_factor, *seed))
        .collect();
    let number = f64::from(u32::try_from(runs.len()).unwrap_or(1));
    let mean = |figure: fn(&Figures) -> f64| runs.iter().map(figure).sum::<f64>() / number;
    println!(
        "{:<10} {:<17} {:<8} {:>8.1}% {:>21.1} {:>6.0} {:>7.2} {:>10.1}%",
        deployment.name,
        format!("{policy:?}"),
        format!("{shape:?}"),
        100.0 * mean(|figures| figures.attained),
        mean(|figures| figures.per_accelerator),
        mean(|figures| figures.moves),
        100.0 * mean(|figures| figures.cold),
        100.0 * mean(|figures| figures.worst_team),
    );
}

struct Figures {
    attained: f64,
    per_accelerator: f64,
    moves: f64,
    cold: f64,
    worst_team: f64,
}

fn configuration(deployment: Deployment, memory_factor: f64, rng: &mut ChaCha8Rng) -> FleetConfig {
    let models: Vec<Value> = (0..deployment.models)
        .map(|number| {
            let mib = f64::from(rng.random_range(10..30)) * 1_024.0 * memory_factor;
            json!({ "id": format!("m{number}"), "version": "1", "memory_mib": mib.round() })
        })
        .map(|mut model| {
            let mib = model["memory_mib"].as_f64().unwrap_or_default();
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            let mib = mib as u64;
            model["memory_mib"] = json!(mib);
            model
        })
        .collect();
    let targets: Vec<Value> = (0..deployment.engines)
        .map(|number| engine(number, number % deployment.data_centres, 1))
        .collect();
    serde_json::from_value(json!({
        "teams": [], "routes": [], "models": models, "targets": targets,
        "weight_store": {
            "loads_per_second": deployment.loads_per_second,
            "concurrent_loads": deployment.concurrent_loads,
        },
    }))
    .expect("the configuration fits the types")
}

fn engine(number: u32, data_centre: u32, accelerators: u32) -> Value {
    json!({
        "id": format!("e{number}"), "vm": format!("vm{number}"),
        "data_centre": format!("dc{data_centre}"), "address": "127.0.0.1:1", "kind": "engine",
        "accelerators": accelerators, "accelerator_memory_mib": ENGINE_MIB, "slots": 16,
    })
}

/// Engines with loads that take time.
struct ModelFleet {
    config: FleetConfig,
    index: FleetIndex,
    copies: BTreeMap<TargetId, Vec<ResidentCopy>>,
    /// Loads under way: engine, model and the second at which the copy is ready.
    loading: Vec<(TargetId, ModelId, u64)>,
    schedule: StoreLimiter,
    moves: u32,
}

impl ModelFleet {
    fn new(config: FleetConfig) -> Self {
        Self {
            index: FleetIndex::new(&config),
            copies: config
                .targets
                .iter()
                .map(|t| (t.id.clone(), Vec::new()))
                .collect(),
            loading: Vec::new(),
            schedule: StoreLimiter::new(&config.weight_store, Duration::ZERO),
            config,
            moves: 0,
        }
    }

    fn rooms(&self) -> Vec<EngineCapacity> {
        let room = |target: &TargetConfig| {
            let copies = self.copies[&target.id].clone();
            let is_loading = copies.iter().any(|copy| !copy.is_ready);
            let state = if is_loading {
                EngineState::Busy
            } else {
                EngineState::Available
            };
            EngineCapacity::new(target, state, copies)
        };
        self.config.targets.iter().map(room).collect()
    }

    fn finish_loads(&mut self, second: u64) {
        let copies = &mut self.copies;
        let schedule = &mut self.schedule;
        self.loading.retain(|(target, model, ready_at)| {
            if *ready_at > second {
                return true;
            }
            schedule.finish(LoadKind::Model);
            let held = copies.get_mut(target).into_iter().flatten();
            for copy in held.filter(|copy| copy.model == *model) {
                copy.is_ready = true;
            }
            false
        });
    }

    fn apply(&mut self, target: &TargetId, action: OrderAction, second: u64) {
        let held = self.copies.get_mut(target).expect("the engine exists");
        match action {
            OrderAction::Load(copy) => {
                if !self
                    .schedule
                    .admit(LoadKind::Model, Duration::from_secs(second))
                {
                    return;
                }
                let ready_at = second + 1 + copy.memory_mib / LOAD_MIB_PER_SECOND;
                self.loading
                    .push((target.clone(), copy.model.clone(), ready_at));
                held.push(copy);
                self.moves += 1;
            }
            OrderAction::Unload(copy) => held.retain(|other| other.model != copy.model),
        }
    }

    /// Serves one second of demand; returns what each model attained.
    fn serve(&self, demand: &[f64]) -> Vec<f64> {
        let targets = &self.config.targets;
        let mut capacity: HashMap<&TargetId, f64> = targets
            .iter()
            .map(|target| (&target.id, f64::from(target.slots) * TOKENS_PER_SLOT))
            .collect();
        let mut left = demand.to_vec();
        // Each pass splits what is left over the copies whose engine has slots free.
        for _ in 0..4 {
            let mut asked: HashMap<&TargetId, Vec<(usize, f64)>> = HashMap::new();
            for (number, tokens) in left
                .iter()
                .enumerate()
                .filter(|(_, tokens)| **tokens > 1e-6)
            {
                let model = &self.config.models[number].id;
                let is_ready = |copies: &[ResidentCopy]| {
                    copies
                        .iter()
                        .any(|copy| copy.is_ready && copy.model == *model)
                };
                let open: Vec<&TargetId> = self
                    .copies
                    .iter()
                    .filter(|(target, copies)| is_ready(copies) && capacity[target] > 1e-6)
                    .map(|(target, _)| target)
                    .collect();
                let parts = f64::from(u32::try_from(open.len()).unwrap_or(u32::MAX));
                for target in open {
                    asked
                        .entry(target)
                        .or_default()
                        .push((number, tokens / parts));
                }
            }
            for (target, asked) in asked {
                let sum: f64 = asked.iter().map(|(_, tokens)| tokens).sum();
                let room = capacity.get_mut(target).expect("the engine exists");
                let share = (*room / sum).min(1.0);
                for (number, tokens) in asked {
                    left[number] -= tokens * share;
                    *room -= tokens * share;
                }
            }
        }
        demand
            .iter()
            .zip(&left)
            .map(|(demand, left)| demand - left)
            .collect()
    }

    fn is_resident(&self, model: &ModelId) -> bool {
        self.copies
            .values()
            .flatten()
            .any(|copy| copy.is_ready && copy.model == *model)
    }
}

fn run(
    deployment: Deployment,
    policy: Policy,
    shape: Shape,
    memory_factor: f64,
    seed: u64,
) -> Figures {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut fleet = ModelFleet::new(configuration(deployment, memory_factor, &mut rng));
    let mut demand = DemandShape::new(deployment, shape, &mut rng);
    let mut planner = PlacementPlanner::new(rules_of(policy));
    let mut last_used: HashMap<ModelId, u64> = HashMap::new();
    let (mut asked_sum, mut attained_sum, mut cold_sum) = (0.0_f64, 0.0_f64, 0.0_f64);
    let mut teams = [(0.0_f64, 0.0_f64); 5];
    let warm_up = u64::from(WARM_UP_SECONDS);
    for second in 0..warm_up + u64::from(RUN_SECONDS) {
        fleet.finish_loads(second);
        if second == warm_up {
            fleet.moves = 0;
        }
        let tokens = if second < warm_up {
            vec![0.0; demand.base.len()]
        } else {
            demand.step(&mut rng)
        };
        let loads = loads_of(&fleet, &tokens);
        if second < warm_up || matches!(policy, Policy::GreedyPlan | Policy::Planner) {
            let rooms = fleet.rooms();
            let input = PlanInput {
                index: &fleet.index,
                engines: &rooms,
                demand: &loads,
            };
            for step in planner.plan(&input, Duration::from_secs(second)).steps {
                fleet.apply(&step.target, step.action, second);
            }
        } else if policy == Policy::LeastRecentlyUsed {
            load_on_miss(&mut fleet, &loads, &mut last_used, second);
        }
        let attained = fleet.serve(&tokens);
        for (number, (asked, attained)) in tokens.iter().zip(&attained).enumerate() {
            asked_sum += asked;
            attained_sum += attained;
            if !fleet.is_resident(&fleet.config.models[number].id) {
                cold_sum += asked;
            }
            let team = &mut teams[number % 5];
            team.0 += asked;
            team.1 += attained;
        }
    }
    Figures {
        attained: attained_sum / asked_sum,
        per_accelerator: attained_sum / f64::from(RUN_SECONDS) / f64::from(deployment.engines),
        moves: f64::from(fleet.moves),
        cold: cold_sum / asked_sum,
        worst_team: teams
            .iter()
            .map(|(asked, got)| got / asked.max(1.0))
            .fold(1.0, f64::min),
    }
}

fn rules_of(policy: Policy) -> PlacementParams {
    match policy {
        Policy::GreedyPlan => PlacementParams {
            hysteresis: 1.0,
            load_cost: 0.0,
            min_residency: Duration::ZERO,
            rise_time_constant: Duration::from_secs(1),
            fall_time_constant: Duration::from_secs(1),
            ..PlacementParams::default()
        },
        _ => PlacementParams::default(),
    }
}

fn loads_of(fleet: &ModelFleet, tokens: &[f64]) -> BTreeMap<ModelId, DemandTotals> {
    let models = fleet
        .config
        .models
        .iter()
        .zip(tokens)
        .filter(|(_, tokens)| **tokens > 0.0);
    models
        .map(|(model, tokens)| {
            let waiting = u64::from(!fleet.is_resident(&model.id));
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            let tokens = *tokens as u64;
            (
                model.id.clone(),
                DemandTotals {
                    requests: 1 + tokens / 256,
                    tokens,
                    waiting,
                },
            )
        })
        .collect()
}

/// Loads a model that is asked for and not resident, in place of the least recently used ones.
fn load_on_miss(
    fleet: &mut ModelFleet,
    loads: &BTreeMap<ModelId, DemandTotals>,
    last_used: &mut HashMap<ModelId, u64>,
    second: u64,
) {
    for model in loads.keys() {
        last_used.insert(model.clone(), second);
    }
    for (id, _) in loads.iter().filter(|(_, load)| load.waiting > 0) {
        let is_coming = fleet
            .copies
            .values()
            .flatten()
            .any(|copy| copy.model == *id);
        let Some(model) = fleet.index.model(id).cloned().filter(|_| !is_coming) else {
            continue;
        };
        let used = |copy: &ResidentCopy| last_used.get(&copy.model).copied().unwrap_or_default();
        let age = |copies: &[ResidentCopy]| copies.iter().map(used).max().unwrap_or_default();
        let idle = fleet
            .copies
            .iter()
            .filter(|(_, held)| held.iter().all(|copy| copy.is_ready));
        let oldest = idle
            .min_by_key(|(_, held)| age(held))
            .map(|(target, _)| target.clone());
        let Some(target) = oldest else { continue };
        let held = fleet.copies.get_mut(&target).expect("the engine exists");
        held.sort_by_key(|copy| std::cmp::Reverse(used(copy)));
        let mut used_mib: u64 = held.iter().map(|copy| copy.memory_mib).sum();
        while used_mib + model.memory_mib > ENGINE_MIB {
            let Some(evicted) = held.pop() else { break };
            used_mib -= evicted.memory_mib;
        }
        let copy = ResidentCopy {
            model: model.id.clone(),
            version: model.version.clone(),
            first_accelerator: 0,
            span: 1,
            memory_mib: model.memory_mib,
            is_ready: false,
        };
        fleet.apply(&target, OrderAction::Load(copy), second);
    }
}

struct DemandShape {
    shape: Shape,
    base: Vec<f64>,
    burst_until: Vec<u32>,
    second: u32,
}

impl DemandShape {
    fn new(deployment: Deployment, shape: Shape, rng: &mut ChaCha8Rng) -> Self {
        // Popularity falls off as 1/rank, as in most shared fleets.
        let mut base: Vec<f64> = (1..=deployment.models)
            .map(|rank| 1.0 / f64::from(rank))
            .collect();
        let sum: f64 = base.iter().sum();
        for rate in &mut base {
            *rate *= deployment.demand / sum * rng.random_range(0.8..1.2);
        }
        let burst_until = vec![0; base.len()];
        Self {
            shape,
            base,
            burst_until,
            second: 0,
        }
    }

    fn step(&mut self, rng: &mut ChaCha8Rng) -> Vec<f64> {
        self.second += 1;
        (0..self.base.len())
            .map(|number| self.base[number] * self.factor(number, rng))
            .collect()
    }

    fn factor(&mut self, number: usize, rng: &mut ChaCha8Rng) -> f64 {
        let second = self.second;
        let phase = f64::from(second) / f64::from(RUN_SECONDS);
        let turn = usize::try_from(second / 120).unwrap_or(0);
        match self.shape {
            Shape::Bursts => {
                if second >= self.burst_until[number] && rng.random_bool(1.0 / 900.0) {
                    self.burst_until[number] = second + rng.random_range(30..300);
                }
                if second < self.burst_until[number] {
                    5.0
                } else {
                    0.5
                }
            }
            Shape::Periodic if turn % 3 == number % 3 => 2.5,
            Shape::Periodic => 0.25,
            Shape::Shift if number.is_multiple_of(2) => 2.0 - 1.8 * phase,
            Shape::Shift => 0.2 + 1.8 * phase,
        }
    }
}

/// Times a first plan, and one after little has changed, at growing sizes.
fn time_plans() {
    println!("models  engines  accelerators  first plan ms  next plan ms  steps of the next");
    for scale in [20_u32, 100, 400, 1_600] {
        let engines = scale * 860 / 1_600;
        let models: Vec<Value> = (0..scale)
            .map(|number| {
                let mib = 20_000 + (number % 7) * 5_000;
                json!({ "id": format!("m{number}"), "version": "1", "memory_mib": mib })
            })
            .collect();
        let targets: Vec<Value> = (0..engines)
            .map(|number| engine(number, number % 6, 8))
            .collect();
        let config: FleetConfig = serde_json::from_value(json!({
            "teams": [], "routes": [], "models": models, "targets": targets,
            "weight_store": { "loads_per_second": 100.0, "concurrent_loads": 1_000 },
        }))
        .expect("the configuration fits the types");
        let mut fleet = ModelFleet::new(config);
        let rules = PlacementParams {
            max_steps: 10_000,
            ..PlacementParams::default()
        };
        let mut planner = PlacementPlanner::new(rules);
        let mut times = Vec::new();
        let mut steps = 0;
        for round in 0..60_u64 {
            let rooms = fleet.rooms();
            let load = DemandTotals {
                requests: 9,
                tokens: 2_000,
                waiting: 0,
            };
            let loads = BTreeMap::from([("m1".into(), load)]);
            let input = PlanInput {
                index: &fleet.index,
                engines: &rooms,
                demand: &loads,
            };
            let started = Instant::now();
            let plan = planner.plan(&input, Duration::from_secs(round));
            times.push(started.elapsed().as_secs_f64() * 1e3);
            steps = plan.steps.len();
            for step in plan.steps {
                if let OrderAction::Load(copy) = step.action {
                    let held = fleet
                        .copies
                        .get_mut(&step.target)
                        .expect("the engine exists");
                    held.push(ResidentCopy {
                        is_ready: true,
                        ..copy
                    });
                }
            }
        }
        let last = times[times.len() - 1];
        println!(
            "{scale:>6} {engines:>8} {:>13} {:>14.2} {last:>13.2} {steps:>18}",
            engines * 8,
            times[0],
        );
    }
}
