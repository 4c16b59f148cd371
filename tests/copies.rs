//! Guards where models stand when demand moves, when engines are lost and while room is made.
//!
//! Each test names the load pattern that it answers. No network is needed.

use std::collections::BTreeMap;

use compact_str::format_compact;
use rstest::rstest;
use waxwinglatch::{
    coordinator::{CopyAction, ModelNeed, PlacementEngine, PlacementInput, plan_copies},
    ids::{ModelId, TargetId},
};

const ENGINE_MB: f64 = 200_000.0;
const MODEL_MB: f64 = 60_000.0;
/// Rounds that an unload and a load take in the stepped fleet.
const UNLOAD_ROUNDS: u32 = 3;
const LOAD_ROUNDS: u32 = 20;

/// An engine of the stepped fleet.
struct StepEngine {
    models: Vec<ModelId>,
    cached_models: Vec<ModelId>,
    reserved_for: Option<ModelId>,
    busy: Option<(CopyAction, u32)>,
    is_available: bool,
}

impl StepEngine {
    fn used_mb(&self) -> f64 {
        let loading = matches!(self.busy, Some((CopyAction::Load(_), _)));
        let unloading = matches!(self.busy, Some((CopyAction::Unload(_), _)));
        let copies = self.models.len() + usize::from(loading) + usize::from(unloading);
        f64::from(u32::try_from(copies).unwrap()) * MODEL_MB
    }
}

/// A fleet of engines that carry out orders over several rounds.
struct StepFleet {
    engines: BTreeMap<TargetId, StepEngine>,
    demand: Vec<(ModelId, f64)>,
    orders: usize,
}

impl StepFleet {
    fn new(engines: &[&[&str]], demand: &[(&str, f64)]) -> Self {
        let engines = engines.iter().enumerate().map(|(number, models)| {
            let engine = StepEngine {
                models: models.iter().map(|model| ModelId::from(*model)).collect(),
                cached_models: Vec::new(),
                reserved_for: None,
                busy: None,
                is_available: true,
            };
            (format_compact!("e{number:02}"), engine)
        });
        Self {
            engines: engines.collect(),
            demand: Self::demand_of(demand),
            orders: 0,
        }
    }

    fn demand_of(demand: &[(&str, f64)]) -> Vec<(ModelId, f64)> {
        let pairs = demand.iter();
        pairs
            .map(|(model, rate)| (ModelId::from(*model), *rate))
            .collect()
    }

    fn input(&self) -> PlacementInput {
        let engines = self.engines.iter().map(|(id, engine)| {
            let loading = match &engine.busy {
                Some((CopyAction::Load(model), _)) => Some(model.clone()),
                _ => None,
            };
            PlacementEngine {
                id: id.clone(),
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
                accepts_model_orders: engine.busy.is_none() && engine.is_available,
                is_available: engine.is_available,
            }
        });
        let models = self.demand.iter().map(|(id, demand)| ModelNeed {
            id: id.clone(),
            weights_mb: MODEL_MB,
            tokens_per_second: *demand,
            has_waiting_requests: false,
        });
        PlacementInput {
            engines: engines.collect(),
            models: models.collect(),
        }
    }

    fn round(&mut self) {
        for engine in self.engines.values_mut() {
            let ended = match &mut engine.busy {
                Some((_, rounds)) if *rounds > 1 => {
                    *rounds -= 1;
                    None
                }
                busy => busy.take(),
            };
            if let Some((CopyAction::Load(model), _)) = ended {
                engine.models.push(model);
            }
        }
        for order in plan_copies(&self.input()) {
            self.orders += 1;
            let engine = self.engines.get_mut(&order.engine).unwrap();
            match &order.action {
                CopyAction::Load(_) => {
                    engine.reserved_for = None;
                    engine.busy = Some((order.action, LOAD_ROUNDS));
                }
                CopyAction::Unload(model) => {
                    engine.models.retain(|held| held != model);
                    engine.reserved_for = Some(order.model);
                    engine.busy = Some((order.action, UNLOAD_ROUNDS));
                }
            }
            let used = engine.used_mb();
            assert!(used <= ENGINE_MB, "{used} MB on one engine");
        }
    }

    fn run(&mut self, rounds: usize) {
        for _ in 0..rounds {
            self.round();
        }
    }

    fn copies(&self, model: &str) -> usize {
        let engines = self.engines.values();
        let holding = engines
            .filter(|engine| engine.is_available && engine.models.iter().any(|held| held == model));
        holding.count()
    }
}

/// Pattern: demand moves to another model. The bound is a fair share of the engines: a model with
/// half of the demand needs about half of the copies that serve.
#[test]
fn a_model_that_rises_gets_copies_within_two_loads() {
    let mut fleet = StepFleet::new(
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
    fleet.demand = StepFleet::demand_of(&[
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
    assert!(fleet.copies("next") >= 3, "{} copies", fleet.copies("next"));
    for model in ["hot", "a", "b", "c", "d", "e", "f", "g"] {
        assert!(fleet.copies(model) >= 1, "{model} is not reachable");
    }
}

/// Pattern: a rare model is missing on a full fleet. Room was made on another engine in each round,
/// until the busiest model had lost most of its copies.
#[test]
fn room_for_a_missing_model_is_made_once() {
    let mut fleet = StepFleet::new(
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
    assert_eq!(fleet.orders, 2, "one unload and one load");
}

/// Pattern: a third of the engines is gone. Every model is reachable after the loads that this
/// takes, most demanded ones first.
#[test]
fn lost_copies_come_back_most_demanded_first() {
    let mut fleet = StepFleet::new(
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
        assert!(fleet.copies(model) >= 1, "{model} is not reachable");
    }
}

/// Pattern: an even load. Copies that serve well stay where they are.
#[rstest]
#[case(&[10.0, 10.0, 10.0])]
#[case(&[10.0, 9.0, 11.0])]
fn an_even_load_moves_nothing(#[case] demand: &[f64]) {
    let names = ["a", "b", "c"];
    let pairs: Vec<(&str, f64)> = names.iter().copied().zip(demand.iter().copied()).collect();
    let mut fleet = StepFleet::new(
        &[&["a", "b", "c"], &["a", "b", "c"], &["a", "b", "c"]],
        &pairs,
    );
    fleet.run(50);
    assert_eq!(fleet.orders, 0);
}

/// A spare copy goes to free memory only, and never costs another model its place.
#[test]
fn spare_copies_unload_nothing() {
    let demand = [
        ("a", 1.0),
        ("b", 1.0),
        ("c", 1.0),
        ("d", 1.0),
        ("e", 1.0),
        ("f", 1.0),
    ];
    let mut fleet = StepFleet::new(&[&["a", "b", "c"], &["d", "e", "f"]], &demand);
    fleet.run(60);
    assert_eq!(fleet.orders, 0);
    let mut fleet = StepFleet::new(&[&["a"], &[]], &demand[..1]);
    fleet.run(60);
    assert_eq!(fleet.copies("a"), 2);
}

/// Pattern: demand returns to a model. An engine that keeps its weights loads it in a fraction of the
/// time, so that it is taken unless it is far more loaded.
#[test]
fn an_engine_that_keeps_the_weights_is_preferred() {
    let mut fleet = StepFleet::new(
        &[&["a"], &["b"], &[]],
        &[("a", 10.0), ("b", 1.0), ("c", 5.0)],
    );
    fleet.engines.get_mut("e01").unwrap().cached_models = vec!["c".into()];
    let plan = plan_copies(&fleet.input());
    let first = (plan[0].engine.as_str(), &plan[0].action);
    assert_eq!(first, ("e01", &CopyAction::Load("c".into())));
}

/// An engine that is leaving counts for nothing: its models are placed elsewhere before it is gone.
#[test]
fn copies_on_a_leaving_engine_are_replaced() {
    let mut fleet = StepFleet::new(&[&["a"], &["b"]], &[("a", 1.0), ("b", 1.0)]);
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
        cached_models: Vec::new(),
        loading: loading.map(ModelId::from),
        reserved_for: None,
        free_mb: ENGINE_MB - copies * MODEL_MB,
        accepts_model_orders: loading.is_none(),
        is_available: true,
        models,
    }
}

fn need(id: &str, demand: f64) -> ModelNeed {
    ModelNeed {
        id: id.into(),
        weights_mb: MODEL_MB,
        tokens_per_second: demand,
        has_waiting_requests: false,
    }
}

fn unloads(input: &PlacementInput, model: &str) -> usize {
    let orders = plan_copies(input);
    let wanted = CopyAction::Unload(model.into());
    orders.iter().filter(|order| order.action == wanted).count()
}

/// Pattern: two models rise together. Both copies of a third were unloaded for them in one plan, and
/// it was gone for the time of a load from the store.
#[test]
fn models_that_rise_together_leave_the_last_copy_of_another() {
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

/// Pattern: a model is being loaded elsewhere. A copy that is loading serves nobody yet.
#[test]
fn a_copy_that_loads_does_not_stand_in_for_the_only_one() {
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
