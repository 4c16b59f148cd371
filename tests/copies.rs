//! Tests the placement of models on engines when demand moves, when engines are lost and while
//! memory is freed.
//!
//! Each test names the load pattern that it covers. No network is needed.

use std::collections::BTreeMap;

use compact_str::format_compact;
use rstest::rstest;
use waxwinglatch::{
    coordinator::{CopyAction, ModelNeed, PlacementEngine, PlacementInput, plan_copies},
    ids::{ModelId, TargetId},
};

const ENGINE_MB: f64 = 200_000.0;
const MODEL_MB: f64 = 60_000.0;
/// Number of rounds that an unload and a load take in the simulated fleet.
const UNLOAD_ROUNDS: u32 = 3;
const LOAD_ROUNDS: u32 = 20;

/// An engine of the simulated fleet.
struct SimulatedEngine {
    models: Vec<ModelId>,
    cached_models: Vec<ModelId>,
    reserved_for: Option<ModelId>,
    active_order: Option<(CopyAction, u32)>,
    is_available: bool,
}

impl SimulatedEngine {
    fn used_mb(&self) -> f64 {
        let loading = matches!(self.active_order, Some((CopyAction::Load(_), _)));
        let unloading = matches!(self.active_order, Some((CopyAction::Unload(_), _)));
        let copies = self.models.len() + usize::from(loading) + usize::from(unloading);
        f64::from(u32::try_from(copies).unwrap()) * MODEL_MB
    }
}

/// Simulated fleet whose engines carry out orders over several rounds.
struct SimulatedFleet {
    engines: BTreeMap<TargetId, SimulatedEngine>,
    demand: Vec<(ModelId, f64)>,
    orders: usize,
}

impl SimulatedFleet {
    fn new(engines: &[&[&str]], demand: &[(&str, f64)]) -> Self {
        let engines = engines.iter().enumerate().map(|(number, models)| {
            let engine = SimulatedEngine {
                models: models.iter().map(|model| ModelId::from(*model)).collect(),
                cached_models: Vec::new(),
                reserved_for: None,
                active_order: None,
                is_available: true,
            };
            (format_compact!("e{number:02}"), engine)
        });
        Self {
            engines: engines.collect(),
            demand: Self::demand_from(demand),
            orders: 0,
        }
    }

    fn demand_from(demand: &[(&str, f64)]) -> Vec<(ModelId, f64)> {
        let pairs = demand.iter();
        pairs
            .map(|(model, rate)| (ModelId::from(*model), *rate))
            .collect()
    }

    fn input(&self) -> PlacementInput {
        let engines = self.engines.iter().map(|(id, engine)| {
            let loading = match &engine.active_order {
                Some((CopyAction::Load(model), _)) => Some(model.clone()),
                _ => None,
            };
            PlacementEngine {
                id: id.clone(),
                data_centre: "a".into(),
                models: engine
                    .models
                    .iter()
                    .cloned()
                    .chain(loading.clone())
                    .collect(),
                loading,
                cached_models: engine.cached_models.clone(),
                reserved_for: engine.reserved_for.clone(),
                free_mb: ENGINE_MB - engine.used_mb(),
                accepts_model_orders: engine.active_order.is_none() && engine.is_available,
                is_available: engine.is_available,
            }
        });
        let models = self.demand.iter().map(|(id, demand)| ModelNeed {
            id: id.clone(),
            weights_mb: MODEL_MB,
            tokens_per_second: *demand,
            has_waiting_requests: false,
            regional_copies: Vec::new(),
        });
        PlacementInput {
            engines: engines.collect(),
            models: models.collect(),
        }
    }

    fn round(&mut self) {
        for engine in self.engines.values_mut() {
            let finished = match &mut engine.active_order {
                Some((_, rounds)) if *rounds > 1 => {
                    *rounds -= 1;
                    None
                }
                active_order => active_order.take(),
            };
            if let Some((CopyAction::Load(model), _)) = finished {
                engine.models.push(model);
            }
        }
        for step in plan_copies(&self.input()) {
            self.orders += 1;
            let engine = self.engines.get_mut(&step.engine).unwrap();
            match &step.action {
                CopyAction::Load(_) => {
                    engine.reserved_for = None;
                    engine.active_order = Some((step.action, LOAD_ROUNDS));
                }
                CopyAction::Unload(model) => {
                    engine.models.retain(|held| held != model);
                    engine.reserved_for = Some(step.model);
                    engine.active_order = Some((step.action, UNLOAD_ROUNDS));
                }
            }
            let used = engine.used_mb();
            assert!(
                used <= ENGINE_MB,
                "one engine uses {used} MB of {ENGINE_MB} MB"
            );
        }
    }

    fn run(&mut self, rounds: usize) {
        for _ in 0..rounds {
            self.round();
        }
    }

    fn copies(&self, model: &str) -> usize {
        let engines = self.engines.values();
        let holders = engines
            .filter(|engine| engine.is_available && engine.models.iter().any(|held| held == model));
        holders.count()
    }
}

/// Pattern: demand moves to another model. The expected number of copies follows from a fair share
/// of the engines: a model with half of the demand needs about half of the serving copies.
#[test]
fn model_with_rising_demand_gets_copies_within_two_loads() {
    let mut fleet = SimulatedFleet::new(
        &[
            &["hot", "a"],
            &["hot", "b"],
            &["hot", "c"],
            &["hot", "d"],
            &["next", "e"],
            &["f", "g"],
        ],
        &[
            ("hot", 90.0),
            ("next", 5.0),
            ("a", 1.0),
            ("b", 1.0),
            ("c", 1.0),
            ("d", 1.0),
            ("e", 1.0),
            ("f", 1.0),
            ("g", 1.0),
        ],
    );
    fleet.run(60);
    fleet.demand = SimulatedFleet::demand_from(&[
        ("hot", 5.0),
        ("next", 90.0),
        ("a", 1.0),
        ("b", 1.0),
        ("c", 1.0),
        ("d", 1.0),
        ("e", 1.0),
        ("f", 1.0),
        ("g", 1.0),
    ]);
    fleet.run(2 * (LOAD_ROUNDS + UNLOAD_ROUNDS) as usize);
    assert!(
        fleet.copies("next") >= 3,
        "model next has {} copies",
        fleet.copies("next")
    );
    for model in ["hot", "a", "b", "c", "d", "e", "f", "g"] {
        assert!(fleet.copies(model) >= 1, "{model} has no copy");
    }
}

/// Pattern: a rarely used model has no copy on a full fleet. Guards against freeing memory on
/// another engine in each round, which removed most copies of the busiest model.
#[test]
fn memory_for_a_missing_model_is_freed_once() {
    let mut fleet = SimulatedFleet::new(
        &[
            &["hot", "a", "b"],
            &["hot", "c", "d"],
            &["hot", "e", "f"],
            &["hot", "g", "h"],
        ],
        &[
            ("hot", 0.0),
            ("rare", 0.0),
            ("a", 0.0),
            ("b", 0.0),
            ("c", 0.0),
            ("d", 0.0),
            ("e", 0.0),
            ("f", 0.0),
            ("g", 0.0),
            ("h", 0.0),
        ],
    );
    fleet.run(1 + (UNLOAD_ROUNDS + LOAD_ROUNDS) as usize);
    assert_eq!(fleet.copies("hot"), 3);
    assert_eq!(fleet.copies("rare"), 1);
    assert_eq!(fleet.orders, 2, "expected one unload and one load");
}

/// Pattern: a third of the engines is lost. The models without a copy are loaded in the order of
/// their demand until every model has a copy.
#[test]
fn lost_copies_are_replaced_in_order_of_demand() {
    let mut fleet = SimulatedFleet::new(
        &[&["a", "b"], &["c", "d"], &["e"], &["f"], &[], &[]],
        &[
            ("a", 1.0),
            ("b", 9.0),
            ("c", 3.0),
            ("d", 2.0),
            ("e", 2.0),
            ("f", 2.0),
        ],
    );
    for id in ["e00", "e01"] {
        fleet.engines.get_mut(id).unwrap().is_available = false;
    }
    let first = plan_copies(&fleet.input());
    assert_eq!(first[0].action, CopyAction::Load("b".into()));
    fleet.run(3 * LOAD_ROUNDS as usize);
    for model in ["a", "b", "c", "d", "e", "f"] {
        assert!(fleet.copies(model) >= 1, "{model} has no copy");
    }
}

/// Pattern: an even load. No copy is moved.
#[rstest]
#[case(&[10.0, 10.0, 10.0])]
#[case(&[10.0, 9.0, 11.0])]
fn even_load_causes_no_orders(#[case] demand: &[f64]) {
    let names = ["a", "b", "c"];
    let pairs: Vec<(&str, f64)> = names.iter().copied().zip(demand.iter().copied()).collect();
    let mut fleet = SimulatedFleet::new(
        &[&["a", "b", "c"], &["a", "b", "c"], &["a", "b", "c"]],
        &pairs,
    );
    fleet.run(50);
    assert_eq!(fleet.orders, 0);
}

/// A spare copy is loaded into free memory only and never evicts another model.
#[test]
fn spare_copies_evict_nothing() {
    let demand = [
        ("a", 1.0),
        ("b", 1.0),
        ("c", 1.0),
        ("d", 1.0),
        ("e", 1.0),
        ("f", 1.0),
    ];
    let mut fleet = SimulatedFleet::new(&[&["a", "b", "c"], &["d", "e", "f"]], &demand);
    fleet.run(60);
    assert_eq!(fleet.orders, 0);
    let mut fleet = SimulatedFleet::new(&[&["a"], &[]], &demand[..1]);
    fleet.run(60);
    assert_eq!(fleet.copies("a"), 2);
}

/// Pattern: demand returns to a model. An engine with cached weights loads it in a fraction of the
/// time, so that it is chosen unless its load is much higher.
#[test]
fn engine_with_cached_weights_is_preferred() {
    let mut fleet = SimulatedFleet::new(
        &[&["a"], &["b"], &[]],
        &[("a", 10.0), ("b", 1.0), ("c", 5.0)],
    );
    fleet.engines.get_mut("e01").unwrap().cached_models = vec!["c".into()];
    let plan = plan_copies(&fleet.input());
    let first = (plan[0].engine.as_str(), &plan[0].action);
    assert_eq!(first, ("e01", &CopyAction::Load("c".into())));
}

/// Copies on a draining engine do not count, so that its models are loaded elsewhere before it is
/// gone.
#[test]
fn copies_on_a_draining_engine_are_replaced() {
    let mut fleet = SimulatedFleet::new(&[&["a"], &["b"]], &[("a", 1.0), ("b", 1.0)]);
    fleet.engines.get_mut("e00").unwrap().is_available = false;
    let plan = plan_copies(&fleet.input());
    assert_eq!(plan.len(), 1);
    assert_eq!(
        (plan[0].engine.as_str(), &plan[0].action),
        ("e01", &CopyAction::Load("a".into()))
    );
}

fn engine(id: &str, models: &[&str], loading: Option<&str>) -> PlacementEngine {
    let models: Vec<ModelId> = models.iter().map(|model| ModelId::from(*model)).collect();
    let copies = f64::from(u32::try_from(models.len()).unwrap());
    PlacementEngine {
        id: id.into(),
        data_centre: "a".into(),
        cached_models: Vec::new(),
        loading: loading.map(ModelId::from),
        reserved_for: None,
        free_mb: ENGINE_MB - copies * MODEL_MB,
        accepts_model_orders: loading.is_none(),
        is_available: true,
        models,
    }
}

fn need(id: &str, tokens_per_second: f64) -> ModelNeed {
    ModelNeed {
        id: id.into(),
        weights_mb: MODEL_MB,
        tokens_per_second,
        has_waiting_requests: false,
        regional_copies: Vec::new(),
    }
}

fn unloads(input: &PlacementInput, model: &str) -> usize {
    let steps = plan_copies(input);
    let expected = CopyAction::Unload(model.into());
    steps.iter().filter(|step| step.action == expected).count()
}

/// Pattern: the demand for two models rises at the same time. Guards against one plan that unloads
/// both copies of a third model, which left it without a copy for the time of a load from the
/// weight store.
#[test]
fn simultaneous_rises_keep_the_last_copy_of_another_model() {
    let engines = vec![
        engine("e1", &["a", "b", "x"], None),
        engine("e2", &["c", "d", "cold"], None),
        engine("e3", &["e", "f", "cold"], None),
    ];
    let single = ["b", "c", "d", "e", "f"].map(|model| need(model, 1.0));
    let models = [need("a", 500.0), need("x", 400.0), need("cold", 0.0)];
    let input = PlacementInput {
        engines,
        models: models.into_iter().chain(single).collect(),
    };
    assert_eq!(unloads(&input, "cold"), 1);
}

/// Pattern: a second copy of a model is being loaded. It serves no requests yet, so that the only
/// ready copy must not be evicted.
#[test]
fn only_ready_copy_is_kept_while_another_one_loads() {
    let engines = vec![
        engine("e1", &["a", "b", "x"], None),
        engine("e2", &["c", "d", "cold"], None),
        engine("e3", &["e", "cold"], Some("cold")),
    ];
    let single = ["b", "c", "d", "e", "x"].map(|model| need(model, 1.0));
    let models = [need("a", 500.0), need("cold", 0.0)];
    let input = PlacementInput {
        engines,
        models: models.into_iter().chain(single).collect(),
    };
    assert_eq!(unloads(&input, "cold"), 0);
}
