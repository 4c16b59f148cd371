//! Placement planner: memory limits, reachability, version changes, engines that leave, and the
//! number of loads.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use proptest::prelude::*;
use rstest::rstest;
use serde_json::{Value, json};
use waxwinglatch::{
    border::FleetConfig,
    fleet::FleetIndex,
    ids::{ModelId, TargetId},
    order::OrderAction,
    placement::{
        EngineCapacity, EngineState, LoadKind, PlacementParams, PlacementPlanner, PlanInput,
        StepReason, StoreLimiter,
    },
    soft_state::DemandTotals,
    sync::ResidentCopy,
};

/// Simulated engines that carry out each plan before the next round and check their memory limits.
struct TestFleet {
    config: FleetConfig,
    copies: BTreeMap<TargetId, Vec<ResidentCopy>>,
    out_of_service: BTreeSet<TargetId>,
    planner: PlacementPlanner,
    now: Duration,
    load_count: usize,
    reasons: Vec<StepReason>,
}

impl TestFleet {
    fn new(models: Value, adapters: Value, engines: &[(&str, &str, u32, u64)]) -> Self {
        let targets: Vec<Value> = engines
            .iter()
            .enumerate()
            .map(|(number, (id, data_centre, accelerators, memory))| {
                json!({
                    "id": id, "vm": format!("vm-{id}"), "data_centre": data_centre,
                    "kind": "engine", "address": format!("127.0.0.1:{}", 9000 + number),
                    "accelerators": accelerators, "accelerator_memory_mib": memory,
                })
            })
            .collect();
        let config = json!({
            "teams": [], "routes": [], "models": models, "adapters": adapters, "targets": targets,
            "weight_store": { "loads_per_second": 1.0, "concurrent_loads": 2 },
        });
        Self {
            config: serde_json::from_value(config).expect("the configuration fits the types"),
            copies: engines
                .iter()
                .map(|(id, ..)| ((*id).into(), Vec::new()))
                .collect(),
            out_of_service: BTreeSet::new(),
            planner: PlacementPlanner::new(PlacementParams::default()),
            now: Duration::ZERO,
            load_count: 0,
            reasons: Vec::new(),
        }
    }

    /// Advances the time by `seconds`, carries out one plan and checks the memory limits.
    fn round(&mut self, seconds: u64, demand: &BTreeMap<ModelId, DemandTotals>) {
        self.now += Duration::from_secs(seconds);
        let index = FleetIndex::new(&self.config);
        let engines: Vec<EngineCapacity> = self
            .config
            .targets
            .iter()
            .map(|target| {
                let is_out_of_service = self.out_of_service.contains(&target.id);
                let state = if is_out_of_service {
                    EngineState::OutOfService
                } else {
                    EngineState::Available
                };
                EngineCapacity::new(target, state, self.copies[&target.id].clone())
            })
            .collect();
        let input = PlanInput {
            index: &index,
            engines: &engines,
            demand,
        };
        let plan = self.planner.plan(&input, self.now);
        for step in plan.steps {
            assert!(
                !self.out_of_service.contains(&step.target),
                "step for an engine that is out of service"
            );
            let resident = self
                .copies
                .get_mut(&step.target)
                .expect("the engine exists");
            match step.action {
                OrderAction::Load(copy) => {
                    self.load_count += 1;
                    resident.push(ResidentCopy {
                        is_ready: true,
                        ..copy
                    });
                }
                OrderAction::Unload(copy) => {
                    let count_before = resident.len();
                    resident
                        .retain(|other| other.model != copy.model || other.version != copy.version);
                    assert_eq!(
                        resident.len(),
                        count_before - 1,
                        "unload of a copy that is not resident"
                    );
                }
            }
            self.reasons.push(step.reason);
        }
        self.check_memory();
    }

    fn check_memory(&self) {
        for target in &self.config.targets {
            for accelerator in 0..target.accelerators {
                let uses_accelerator = |copy: &&ResidentCopy| {
                    (copy.first_accelerator..copy.first_accelerator + copy.span)
                        .contains(&accelerator)
                };
                let used: u64 = self.copies[&target.id]
                    .iter()
                    .filter(uses_accelerator)
                    .map(|copy| copy.memory_mib)
                    .sum();
                assert!(
                    used <= target.accelerator_memory_mib,
                    "accelerator {accelerator} of {} uses {used} MiB",
                    target.id
                );
            }
        }
    }

    fn holders(&self, model: &str) -> Vec<(&TargetId, &ResidentCopy)> {
        let copies = self
            .copies
            .iter()
            .flat_map(|(id, copies)| copies.iter().map(move |c| (id, c)));
        copies.filter(|(_, copy)| copy.model == model).collect()
    }
}

fn no_demand() -> BTreeMap<ModelId, DemandTotals> {
    BTreeMap::new()
}

fn demand(model: &str, tokens: u64, waiting: u64) -> BTreeMap<ModelId, DemandTotals> {
    [(
        model.into(),
        DemandTotals {
            requests: 1,
            tokens,
            waiting,
        },
    )]
    .into()
}

fn model(id: &str, memory_mib: u64) -> Value {
    json!({ "id": id, "version": "1", "memory_mib": memory_mib })
}

/// Guards against models without a copy although memory is free, and against models whose copies
/// are all in one data centre.
#[test]
fn every_model_gets_two_copies_in_two_data_centres_where_memory_allows() {
    let models: Vec<Value> = (0..6)
        .map(|number| model(&format!("m{number}"), 1_000))
        .collect();
    let engines = [
        ("e1", "dc-1", 1, 4_000),
        ("e2", "dc-2", 1, 4_000),
        ("e3", "dc-3", 1, 4_000),
    ];
    let mut fleet = TestFleet::new(json!(models), json!([]), &engines);
    for _ in 0..20 {
        fleet.round(1, &no_demand());
    }
    for number in 0..6 {
        let holders: BTreeSet<_> = fleet
            .holders(&format!("m{number}"))
            .iter()
            .map(|(id, _)| (*id).clone())
            .collect();
        assert_eq!(holders.len(), 2, "copies of m{number}");
    }
    assert_eq!(fleet.load_count, 12);
}

/// Guards against a version change that leaves no serving copy, or never unloads old copies.
#[rstest]
#[case::room_for_both(4_000)]
#[case::room_for_one_on_each_engine(1_500)]
fn a_version_change_always_leaves_a_serving_copy(#[case] memory: u64) {
    let engines = [("e1", "dc-1", 1, memory), ("e2", "dc-2", 1, memory)];
    let adapters = json!([{ "id": "m-ad", "model": "m", "version": "1", "memory_mib": 10 }]);
    let mut fleet = TestFleet::new(json!([model("m", 1_000)]), adapters, &engines);
    for _ in 0..6 {
        fleet.round(1, &no_demand());
    }
    assert_eq!(fleet.holders("m").len(), 2);
    fleet.config.models[0].version = "2".into();
    for _ in 0..20 {
        fleet.round(1, &no_demand());
        assert!(!fleet.holders("m").is_empty(), "the model has no copy");
        assert!(!fleet.holders("m-ad").is_empty(), "the adapter has no copy");
    }
    let versions: BTreeSet<_> = fleet
        .holders("m")
        .iter()
        .map(|(_, copy)| copy.version.clone())
        .collect();
    assert_eq!(versions, BTreeSet::from(["2".into()]));
}

/// Guards against the loss of a model's only copy when its engine leaves or fails.
#[test]
fn copies_of_an_engine_out_of_service_are_replaced() {
    let engines = [("e1", "dc-1", 1, 3_000), ("e2", "dc-2", 1, 3_000)];
    let models = json!([model("a", 1_000), model("b", 1_000)]);
    let mut fleet = TestFleet::new(models, json!([]), &engines);
    for _ in 0..6 {
        fleet.round(1, &no_demand());
    }
    fleet
        .copies
        .get_mut("e2")
        .expect("the engine exists")
        .retain(|copy| copy.model != "b");
    fleet.out_of_service.insert("e1".into());
    for _ in 0..6 {
        fleet.round(1, &no_demand());
    }
    let count_on_e2 = |id: &str| {
        fleet
            .holders(id)
            .iter()
            .filter(|(target, _)| **target == "e2")
            .count()
    };
    assert_eq!((count_on_e2("a"), count_on_e2("b")), (1, 1));
}

/// Guards against requests that wait indefinitely because idle models fill the memory.
#[test]
fn waiting_requests_evict_an_idle_model_and_its_adapters() {
    let engines = [("e1", "dc-1", 1, 1_100)];
    let adapters = json!([{ "id": "a-ad", "model": "a", "version": "1", "memory_mib": 10 }]);
    let mut fleet = TestFleet::new(
        json!([model("a", 1_000), model("b", 1_000)]),
        adapters,
        &engines,
    );
    for _ in 0..30 {
        fleet.round(1, &no_demand());
    }
    assert_eq!(fleet.holders("a-ad").len(), 1);
    let mut rounds = 0;
    while fleet.holders("b").is_empty() {
        fleet.round(1, &demand("b", 0, 1));
        rounds += 1;
        assert!(rounds < 6, "the model is not resident after 6 rounds");
    }
}

/// Guards against the eviction of a pinned model by demand for another.
#[test]
fn a_pinned_model_is_never_evicted() {
    let pinned = json!({ "id": "a", "version": "1", "memory_mib": 1_000, "residency": "pinned" });
    let engines = [("e1", "dc-1", 1, 1_500)];
    let mut fleet = TestFleet::new(json!([pinned, model("b", 1_000)]), json!([]), &engines);
    for _ in 0..40 {
        fleet.round(1, &demand("b", 100_000, 50));
        assert!(fleet.load_count == 0 || fleet.holders("a").len() == 1);
    }
    assert_eq!(fleet.load_count, 1);
}

/// Guards against periodic demand that makes the planner load the same models repeatedly.
#[test]
fn periodic_demand_does_not_reload_models() {
    let engines = [("e1", "dc-1", 1, 2_000), ("e2", "dc-2", 1, 2_000)];
    let models: Vec<Value> = (0..4)
        .map(|number| model(&format!("m{number}"), 1_000))
        .collect();
    let mut fleet = TestFleet::new(json!(models), json!([]), &engines);
    for _ in 0..10 {
        fleet.round(1, &no_demand());
    }
    assert_eq!(fleet.load_count, 4);
    for second in 0..600_u64 {
        let busy = format!("m{}", (second / 60) % 4);
        fleet.round(1, &demand(&busy, 2_000, 0));
    }
    assert!(
        fleet.load_count <= 6,
        "{} loads for 4 models",
        fleet.load_count
    );
}

/// Guards against an adapter on accelerators that do not hold its model.
#[test]
fn adapters_are_placed_with_their_model() {
    let adapters: Vec<Value> = (0..8)
        .map(|number| {
            let base = if number % 2 == 0 { "a" } else { "b" };
            json!({ "id": format!("ad{number}"), "model": base, "version": "1", "memory_mib": 20 })
        })
        .collect();
    let engines = [("e1", "dc-1", 2, 2_000), ("e2", "dc-2", 2, 2_000)];
    let models = json!([model("a", 1_500), model("b", 1_500)]);
    let mut fleet = TestFleet::new(models, json!(adapters), &engines);
    for _ in 0..20 {
        fleet.round(1, &no_demand());
    }
    for number in 0..8 {
        let base = if number % 2 == 0 { "a" } else { "b" };
        let holders = fleet.holders(&format!("ad{number}"));
        assert!(!holders.is_empty(), "ad{number} has no copy");
        for (target, copy) in holders {
            let has_base = fleet.copies[target].iter().any(|other| {
                other.model == base && other.first_accelerator == copy.first_accelerator
            });
            assert!(has_base, "ad{number} on {target} is not with its model");
        }
    }
}

/// Guards against more loads than the weight store serves at full speed.
#[test]
fn the_limiter_enforces_rate_and_concurrency() {
    let limits = serde_json::from_value(json!({
        "loads_per_second": 1.5, "concurrent_loads": 2, "concurrent_adapter_loads": 3,
    }))
    .expect("the limits fit the type");
    let mut limiter = StoreLimiter::new(&limits, Duration::ZERO);
    let mut admitted = Vec::new();
    for step in 0..100_u64 {
        let now = Duration::from_millis(step * 100);
        if limiter.admit(LoadKind::Model, now) {
            admitted.push(now);
        }
        if step % 7 == 0 {
            limiter.finish(LoadKind::Model);
        }
    }
    for pair in admitted.windows(2) {
        assert!(pair[1] >= pair[0] + Duration::from_millis(660), "{pair:?}");
    }
    let adapters = (0..10).filter(|_| limiter.admit(LoadKind::Adapter, Duration::from_secs(20)));
    assert_eq!(adapters.count(), 3);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against overcommitted memory and steps for copies that are not resident, with any mix
    /// of sizes, spans, demand and engines out of service. `round` checks the memory.
    #[test]
    fn memory_is_never_overcommitted(
        sizes in prop::collection::vec((100_u64..2_000, 1_u32..3), 1..12),
        engines in prop::collection::vec((1_u32..4, 500_u64..4_000), 1..6),
        rounds in prop::collection::vec((0_usize..12, 0_u64..50_000, 0_u64..3, 0_usize..12), 1..60),
    ) {
        let models: Vec<Value> = sizes
            .iter()
            .enumerate()
            .map(|(number, (memory, span))| {
                json!({ "id": format!("m{number}"), "version": "1", "memory_mib": memory, "span": span })
            })
            .collect();
        let names: Vec<String> = (0..engines.len()).map(|number| format!("e{number}")).collect();
        let engines: Vec<(&str, &str, u32, u64)> = names
            .iter()
            .zip(&engines)
            .map(|(name, (accelerators, memory))| (name.as_str(), "dc", *accelerators, *memory))
            .collect();
        let mut fleet = TestFleet::new(json!(models), json!([]), &engines);
        for (busy, tokens, waiting, stopped) in rounds {
            fleet.out_of_service = names.iter().skip(stopped).take(1).map(|name| name.as_str().into()).collect();
            fleet.round(3, &demand(&format!("m{}", busy % sizes.len()), tokens, waiting));
        }
    }
}
