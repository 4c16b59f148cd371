//! Tests that the leader's work on engines grows in proportion to the fleet.
//!
//! Pattern: many models on many engines, all of them in demand. The leader plans several times a
//! second on a fraction of a core; while it plans, no gateway gets tokens or a list.

use std::{
    collections::HashSet,
    time::{Duration, Instant},
};

use compact_str::format_compact;
use engine_fleet::{EngineFleet, NOW, fleet};
use waxwinglatch::{
    adapter::{EngineStatus, OrderResponse},
    coordinator::{GatewayTable, TargetChanges, TargetHistory},
    sync::{ModelRequests, ServedModel},
};

mod engine_fleet;

const SMALL_FLEET: usize = 200;
const GROWTH: usize = 4;
/// Between the growth of work in proportion to the fleet and that of its square.
const MAX_TIME_GROWTH: u32 = 8;
const RUNS: usize = 7;

/// Returns the shortest time of a round over several runs, so that other processes do not count.
fn round_time(fleet: &mut EngineFleet) -> Duration {
    let runs = (1..=RUNS).map(|run| {
        let now = NOW + Duration::from_secs(1) * u32::try_from(run).unwrap();
        let started_at = Instant::now();
        let orders = fleet.engines.plan_orders(&fleet.plan, &fleet.gateways, now);
        let elapsed = started_at.elapsed();
        drop(orders);
        elapsed
    });
    runs.min().unwrap()
}

#[test]
fn planning_time_grows_in_proportion_to_the_fleet() {
    let small = round_time(&mut fleet(SMALL_FLEET));
    let large = round_time(&mut fleet(SMALL_FLEET * GROWTH));
    assert!(
        large < small * MAX_TIME_GROWTH,
        "{GROWTH} times the fleet takes {large:?} instead of {small:?}"
    );
}

/// Pattern: adapters are loaded hundreds of times a second. Each changes one entry of the list.
#[test]
fn change_of_one_engine_is_published_as_one_entry() {
    let mut fleet = fleet(SMALL_FLEET);
    drop(fleet.engines.take_unpublished());
    let targets = fleet.engines.targets();
    let mut history = TargetHistory::new();
    assert!(history.update(targets.clone()));
    let held = history.version(1);
    assert_eq!(
        fleet.engines.take_unpublished(),
        TargetChanges::Some(Vec::new())
    );
    let mut changed = targets[0].clone();
    changed.is_draining = true;
    let mut list = targets;
    list[0] = changed.clone();
    fleet.engines.apply_list(&fleet.plan, list);
    let TargetChanges::Some(entries) = fleet.engines.take_unpublished() else {
        panic!("the full list is published for the change of one engine");
    };
    assert_eq!(entries, [changed.clone()]);
    assert!(history.upsert(entries.clone()));
    assert!(!history.upsert(entries));
    let list = history.changes_since(held, 1).unwrap();
    assert_eq!(list.targets, [changed]);
    assert_eq!(list.base, Some(held));
}

/// Pattern: demand moves to forty other models of a fleet with 256 engines. The store allows 36 loads
/// a second; engines must make room for a good part of them, not for a few at a time.
#[test]
fn moved_demand_uses_the_rate_of_the_weight_store() {
    let mut fleet = fleet(441);
    let requests = |models: std::ops::Range<usize>, tokens: u64| -> Vec<ModelRequests> {
        let requests = models.map(|number| ModelRequests {
            model: ServedModel {
                service: engine_fleet::SERVICE.into(),
                model: engine_fleet::model(number),
            },
            requests: 10,
            tokens,
        });
        requests.collect()
    };
    fleet.gateways = GatewayTable::default();
    let earlier = NOW.checked_sub(Duration::from_secs(5)).unwrap();
    let usual = requests(0..441, 1_000);
    fleet.gateways.record(&engine_fleet::report(usual), earlier);
    let moved = requests(100..140, 200_000);
    fleet.gateways.record(&engine_fleet::report(moved), NOW);
    let mut now = NOW;
    while now < NOW + Duration::from_secs(1) {
        now += Duration::from_millis(150);
        fleet.engines.plan_orders(&fleet.plan, &fleet.gateways, now);
    }
    let targets = fleet.engines.targets();
    let views = targets
        .iter()
        .filter_map(|target| fleet.engines.get(&target.id));
    let reserving = views.filter(|view| view.reservation.is_some()).count();
    assert!(
        reserving >= 18,
        "{reserving} engines make room after a second"
    );
    assert!(
        reserving <= targets.len() / 8,
        "{reserving} of {} engines serve one model less",
        targets.len()
    );
}

/// Pattern: the first requests of a day ask for hundreds of adapters that no engine holds. Those for
/// which there is room are loaded before.
#[test]
fn adapters_are_loaded_before_they_are_asked_for() {
    let mut fleet = fleet(441);
    let engines = fleet.engines.targets();
    let missing: Vec<_> = engines
        .iter()
        .map(|target| target.id.clone())
        .take(40)
        .collect();
    for engine in &missing {
        let mut models = fleet.engines.get(engine).unwrap().routable_models.clone();
        for held in &mut models {
            held.adapters.clear();
        }
        let status = EngineStatus {
            models,
            ..EngineStatus::default()
        };
        fleet.engines.record_status(engine, Some(status), NOW);
    }
    fleet.gateways = GatewayTable::default();
    let mut loaded = 0;
    let mut now = NOW;
    for _ in 0..40 {
        now += Duration::from_millis(150);
        for order in fleet.engines.plan_orders(&fleet.plan, &fleet.gateways, now) {
            loaded += usize::from(order.model.contains('/'));
            let response = Some(OrderResponse::Accepted);
            fleet.engines.finish_order(&order, response, now);
            let view = fleet.engines.get(&order.target).unwrap();
            assert!(view.used_adapter_slots() < 8, "no slot is left free");
        }
    }
    assert!(loaded >= 100, "{loaded} adapters are loaded ahead");
    let targets = fleet.engines.targets();
    let held = targets.iter().flat_map(|target| &target.models);
    let held: HashSet<_> = held.flat_map(|held| &held.adapters).collect();
    let models = (0..441).map(engine_fleet::model);
    let holders: HashSet<_> = targets
        .iter()
        .flat_map(|target| &target.models)
        .map(|held| held.model.clone())
        .collect();
    let unheld = models
        .filter(|model| holders.contains(model))
        .filter(|model| !held.contains(&format_compact!("{model}/a0")));
    assert_eq!(unheld.count(), 0, "models without their first adapter");
}
