//! Simulates fleets of tens and hundreds of gateways before brittle targets, without a network: how often targets fall
//! over (LIMIT), and how many requests are served.

mod brittle_simulation;

use std::time::Duration;

use brittle_simulation::{BrittleSimulation, FleetLoad};
use rstest::rstest;

const SEEDS: u64 = 4;
/// Minimum share of the slots that are used while more requests come than they can serve, as in
/// `platform/tests/brittle_targets.rs`.
const MIN_USED_SHARE: f64 = 1.0 / 3.0;
/// Minimum share of requests that are served while they need less than that share of the slots.
const MIN_SERVED_SHARE: f64 = 0.9;

/// A service with long queues at half as many requests again as its slots can serve.
const FLEET: FleetLoad = FleetLoad {
    gateways: 32,
    known_gateways: 32,
    targets: 8,
    slots: 32,
    service_time: Duration::from_millis(60),
    limit: 5,
    demand: 1.5,
    surge: 1.0,
    length: Duration::from_secs(6),
};
/// A plain service of few targets behind hundreds of gateways, a fifth of whose slots are needed.
const LARGE_FLEET: FleetLoad = FleetLoad {
    gateways: 291,
    known_gateways: 291,
    targets: 5,
    slots: 6,
    service_time: Duration::from_millis(15),
    demand: 0.2,
    ..FLEET
};
/// Engines whose requests occupy a slot for seconds.
const STREAMS: FleetLoad = FleetLoad {
    targets: 32,
    slots: 12,
    service_time: Duration::from_secs(2),
    ..FLEET
};

/// Guards against tens of gateways that turn brittle targets over though each keeps to its part, and that leave the
/// slots of these targets empty (issue 49).
#[rstest]
#[case::more_slots_than_gateways(FleetLoad { gateways: 9, known_gateways: 9, ..FLEET })]
#[case::as_many_slots(FLEET)]
#[case::fewer_slots(FleetLoad { slots: 4, ..FLEET })]
#[case::few_rejections(FleetLoad { limit: 2, ..FLEET })]
#[case::many_rejections(FleetLoad { limit: 20, ..FLEET })]
#[case::one_rejection(FleetLoad { limit: 1, slots: 4, ..FLEET })]
#[case::fewer_slots_and_many_rejections(FleetLoad { limit: 20, slots: 4, ..FLEET })]
#[case::large_fleet_and_one_rejection(FleetLoad { limit: 1, ..LARGE_FLEET })]
#[case::calm(FleetLoad { demand: 0.3, ..FLEET })]
#[case::streams(STREAMS)]
#[case::streams_of_a_large_fleet(FleetLoad { gateways: 291, known_gateways: 291, demand: 0.6, ..STREAMS })]
#[case::large_fleet(FleetLoad { demand: 1.5, ..LARGE_FLEET })]
#[case::large_fleet_calm(LARGE_FLEET)]
#[case::large_fleet_with_a_surge(FleetLoad { surge: 4.0, ..LARGE_FLEET })]
fn brittle_targets_of_a_fleet_do_not_fall_over(#[case] load: FleetLoad) {
    let allowed = 2 + load.targets / 10;
    let min_served = MIN_SERVED_SHARE.min(MIN_USED_SHARE / (load.demand * load.surge));
    let results: Vec<_> = (0..SEEDS)
        .map(|seed| BrittleSimulation::new(load, seed).run())
        .collect();
    for result in &results {
        println!(
            "{} falls, {allowed} allowed; {} turned away; {:.3} served, {min_served:.3} asked; {:.1} ms waited",
            result.falls,
            result.rejections,
            result.served_share(),
            result.mean_wait().as_secs_f64() * 1_000.0,
        );
    }
    for result in results {
        assert!(result.falls <= allowed, "{} falls", result.falls);
        let served = result.served_share();
        assert!(served >= min_served, "{served:.3} served");
    }
}

/// The check of falls must find gateways that do not share the slots, or the other cases prove nothing.
#[rstest]
#[case::as_many_slots(FleetLoad { known_gateways: 1, ..FLEET })]
#[case::large_fleet(FleetLoad { known_gateways: 1, demand: 1.5, ..LARGE_FLEET })]
fn gateways_that_know_of_no_other_turn_targets_over(#[case] load: FleetLoad) {
    let allowed = 2 + load.targets / 10;
    for seed in 0..SEEDS {
        let result = BrittleSimulation::new(load, seed).run();
        assert!(result.falls > allowed, "{} falls", result.falls);
    }
}
