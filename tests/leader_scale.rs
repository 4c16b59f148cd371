//! Tests that the leader's work on engines grows in proportion to the fleet.
//!
//! Pattern: many models on many engines, all of them in demand. The leader plans several times a
//! second on a fraction of a core; while it plans, no gateway gets tokens or a list.

use std::time::{Duration, Instant};

use engine_fleet::{EngineFleet, NOW, fleet};
use waxwinglatch::coordinator::{TargetChanges, TargetHistory};

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
