//! Placement planner: memory, reachability, version changes, leaving engines, few moves.

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

/// Engines that carry out each plan before the next round, and check their memory themselves.
struct TestFleet {
    config: FleetConfig,
    copies: BTreeMap<TargetId, Vec<ResidentCopy>>,
    closed: BTreeSet<TargetId>,
    planner: PlacementPlanner,
    now: Duration,
    moves: usize,
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
            closed: BTreeSet::new(),
            planner: PlacementPlanner::new(PlacementParams::default()),
            now: Duration::ZERO,
            moves: 0,
            reasons: Vec::new(),
        }
    }

    /// One round of `seconds`: plan, carry out, check memory.
    fn round(&mut self, seconds: u64, loads: &BTreeMap<ModelId, DemandTotals>) {
        self.now += Duration::from_secs(seconds);
        let index = FleetIndex::new(&self.config);
        let engines: Vec<EngineCapacity> = self
            .config
            .targets
            .iter()
            .map(|target| {
                let is_closed = self.closed.contains(&target.id);
                let state = if is_closed {
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
            demand: loads,
        };
        let plan = self.planner.plan(&input, self.now);
        for step in plan.steps {
            assert!(
                !self.closed.contains(&step.target),
                "a step for a closed engine"
            );
            let held = self
                .copies
                .get_mut(&step.target)
                .expect("the engine exists");
            match step.action {
                OrderAction::Load(copy) => {
                    self.moves += 1;
                    held.push(ResidentCopy {
                        is_ready: true,
                        ..copy
                    });
                }
                OrderAction::Unload(copy) => {
                    let before = held.len();
                    held.retain(|other| other.model != copy.model || other.version != copy.version);
                    assert_eq!(held.len(), before - 1, "unload of a copy that is not there");
                }
            }
            self.reasons.push(step.reason);
        }
        self.check_memory();
    }

    fn check_memory(&self) {
        for target in &self.config.targets {
            for accelerator in 0..target.accelerators {
                let spans = |copy: &&ResidentCopy| {
                    (copy.first_accelerator..copy.first_accelerator + copy.span)
                        .contains(&accelerator)
                };
                let used: u64 = self.copies[&target.id]
                    .iter()
                    .filter(spans)
                    .map(|copy| copy.memory_mib)
                    .sum();
                assert!(
                    used <= target.accelerator_memory_mib,
                    "{} accelerator {accelerator}: {used} MiB",
                    target.id
                );
            }
        }
    }

    fn holders(&self, model: &str) -> Vec<(&TargetId, &ResidentCopy)> {
        let all = self
            .copies
            .iter()
            .flat_map(|(id, copies)| copies.iter().map(move |c| (id, c)));
        all.filter(|(_, copy)| copy.model == model).collect()
    }
}

fn no_load() -> BTreeMap<ModelId, DemandTotals> {
    BTreeMap::new()
}

fn load(model: &str, tokens: u64, waiting: u64) -> BTreeMap<ModelId, DemandTotals> {
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

/// Guards against models without a copy although memory is free, and against all copies of a model
/// in one data centre.
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
        fleet.round(1, &no_load());
    }
    for number in 0..6 {
        let holders: BTreeSet<_> = fleet
            .holders(&format!("m{number}"))
            .iter()
            .map(|(id, _)| (*id).clone())
            .collect();
        assert_eq!(holders.len(), 2, "m{number}");
    }
    assert_eq!(fleet.moves, 12);
}

/// Guards against a version change that leaves no copy serving, or old copies for ever.
#[rstest]
#[case::room_for_both(4_000)]
#[case::room_for_one_on_each_engine(1_500)]
fn a_version_change_always_leaves_a_copy_serving(#[case] memory: u64) {
    let engines = [("e1", "dc-1", 1, memory), ("e2", "dc-2", 1, memory)];
    let adapters = json!([{ "id": "m-ad", "model": "m", "version": "1", "memory_mib": 10 }]);
    let mut fleet = TestFleet::new(json!([model("m", 1_000)]), adapters, &engines);
    for _ in 0..6 {
        fleet.round(1, &no_load());
    }
    assert_eq!(fleet.holders("m").len(), 2);
    fleet.config.models[0].version = "2".into();
    for _ in 0..20 {
        fleet.round(1, &no_load());
        assert!(!fleet.holders("m").is_empty(), "no copy serves");
        assert!(
            !fleet.holders("m-ad").is_empty(),
            "the adapter is not served"
        );
    }
    let versions: BTreeSet<_> = fleet
        .holders("m")
        .iter()
        .map(|(_, copy)| copy.version.clone())
        .collect();
    assert_eq!(versions, BTreeSet::from(["2".into()]));
}

/// Guards against a leaving or lost engine that takes the only copy with it.
#[test]
fn copies_of_a_closed_engine_are_replaced_elsewhere() {
    let engines = [("e1", "dc-1", 1, 3_000), ("e2", "dc-2", 1, 3_000)];
    let models = json!([model("a", 1_000), model("b", 1_000)]);
    let mut fleet = TestFleet::new(models, json!([]), &engines);
    for _ in 0..6 {
        fleet.round(1, &no_load());
    }
    fleet
        .copies
        .get_mut("e2")
        .expect("the engine exists")
        .retain(|copy| copy.model != "b");
    fleet.closed.insert("e1".into());
    for _ in 0..6 {
        fleet.round(1, &no_load());
    }
    let on_open = |id: &str| {
        fleet
            .holders(id)
            .iter()
            .filter(|(target, _)| **target == "e2")
            .count()
    };
    assert_eq!((on_open("a"), on_open("b")), (1, 1));
}

/// Guards against a caller that waits for ever because idle models fill the memory.
#[test]
fn a_model_with_waiting_callers_replaces_an_idle_one_with_its_adapters() {
    let engines = [("e1", "dc-1", 1, 1_100)];
    let adapters = json!([{ "id": "a-ad", "model": "a", "version": "1", "memory_mib": 10 }]);
    let mut fleet = TestFleet::new(
        json!([model("a", 1_000), model("b", 1_000)]),
        adapters,
        &engines,
    );
    for _ in 0..30 {
        fleet.round(1, &no_load());
    }
    assert_eq!(fleet.holders("a-ad").len(), 1);
    let mut rounds = 0;
    while fleet.holders("b").is_empty() {
        fleet.round(1, &load("b", 0, 1));
        rounds += 1;
        assert!(rounds < 6, "the model is still not resident");
    }
}

/// Guards against pinned models that give way to demand.
#[test]
fn a_pinned_model_never_goes() {
    let pinned = json!({ "id": "a", "version": "1", "memory_mib": 1_000, "residency": "pinned" });
    let engines = [("e1", "dc-1", 1, 1_500)];
    let mut fleet = TestFleet::new(json!([pinned, model("b", 1_000)]), json!([]), &engines);
    for _ in 0..40 {
        fleet.round(1, &load("b", 100_000, 50));
        assert!(fleet.moves == 0 || fleet.holders("a").len() == 1);
    }
    assert_eq!(fleet.moves, 1);
}

/// Guards against models that are moved back and forth by periodic demand.
#[test]
fn periodic_demand_does_not_move_models_back_and_forth() {
    let engines = [("e1", "dc-1", 1, 2_000), ("e2", "dc-2", 1, 2_000)];
    let models: Vec<Value> = (0..4)
        .map(|number| model(&format!("m{number}"), 1_000))
        .collect();
    let mut fleet = TestFleet::new(json!(models), json!([]), &engines);
    for _ in 0..10 {
        fleet.round(1, &no_load());
    }
    assert_eq!(fleet.moves, 4);
    for second in 0..600_u64 {
        let busy = format!("m{}", (second / 60) % 4);
        fleet.round(1, &load(&busy, 2_000, 0));
    }
    assert!(fleet.moves <= 6, "{} loads for four models", fleet.moves);
}

/// Guards against an adapter that is placed where its model is not.
#[test]
fn adapters_stand_beside_their_model() {
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
        fleet.round(1, &no_load());
    }
    for number in 0..8 {
        let base = if number % 2 == 0 { "a" } else { "b" };
        let holders = fleet.holders(&format!("ad{number}"));
        assert!(!holders.is_empty(), "ad{number} has no copy");
        for (target, copy) in holders {
            let beside = fleet.copies[target].iter().any(|other| {
                other.model == base && other.first_accelerator == copy.first_accelerator
            });
            assert!(beside, "ad{number} on {target} stands alone");
        }
    }
}

/// Guards against more loads than the weight store serves at full speed.
#[test]
fn the_schedule_keeps_to_the_rate_and_number_of_loads() {
    let limits = serde_json::from_value(json!({
        "loads_per_second": 1.5, "concurrent_loads": 2, "concurrent_adapter_loads": 3,
    }))
    .expect("the limits fit the type");
    let mut schedule = StoreLimiter::new(&limits, Duration::ZERO);
    let mut admitted = Vec::new();
    for step in 0..100_u64 {
        let now = Duration::from_millis(step * 100);
        if schedule.admit(LoadKind::Model, now) {
            admitted.push(now);
        }
        if step % 7 == 0 {
            schedule.finish(LoadKind::Model);
        }
    }
    for pair in admitted.windows(2) {
        assert!(pair[1] >= pair[0] + Duration::from_millis(660), "{pair:?}");
    }
    let adapters = (0..10).filter(|_| schedule.admit(LoadKind::Adapter, Duration::from_secs(20)));
    assert_eq!(adapters.count(), 3);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against memory that is passed, or steps for copies that are not there, in any mix of
    /// sizes, spans, demand and closed engines. The memory check is in `round`.
    #[test]
    fn memory_holds_for_any_fleet(
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
        let rooms: Vec<(&str, &str, u32, u64)> = names
            .iter()
            .zip(&engines)
            .map(|(name, (accelerators, memory))| (name.as_str(), "dc", *accelerators, *memory))
            .collect();
        let mut fleet = TestFleet::new(json!(models), json!([]), &rooms);
        for (busy, tokens, waiting, closed) in rounds {
            fleet.closed = names.iter().skip(closed).take(1).map(|name| name.as_str().into()).collect();
            fleet.round(3, &load(&format!("m{}", busy % sizes.len()), tokens, waiting));
        }
    }
}
