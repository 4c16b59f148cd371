//! Plays fleets of gateways before engines that one part of a prompt crashes, with unlucky draws:
//! requests that share all other parts, uneven callers, lost syncs, other crashes, new leaders.

mod part_simulation;

use part_simulation::{PartOutcome, PartScenario, PartSimulation};
use rstest::rstest;

/// Seeds per scenario.
const SEEDS: u64 = 60;
/// Time after the fifth crash in which all gateways must refuse the part, and the number of requests
/// that may come later.
const WINDOW_MS: u64 = 3_000;
const ALLOWED_REQUESTS: usize = 3;

fn late_requests(outcome: &PartOutcome) -> usize {
    outcome.deadly_crashes.get(4).map_or(0, |fifth_ms| {
        let sent = outcome.deadly_sent.iter();
        sent.filter(|at_ms| **at_ms > fifth_ms + WINDOW_MS).count()
    })
}

/// Returns how many of the sound requests were sent to engines, from twice the window after the fifth
/// crash (the last, if there are fewer) on.
fn sound_requests(outcome: &PartOutcome) -> (usize, usize) {
    let crashes = &outcome.deadly_crashes;
    let decisive_ms = crashes.get(4).or(crashes.last()).copied();
    let from_ms = decisive_ms.map_or(0, |at_ms| at_ms + 2 * WINDOW_MS);
    let late = outcome.sound.iter().filter(|(at_ms, _)| *at_ms >= from_ms);
    let sent = late.clone().filter(|(_, is_sent)| *is_sent).count();
    (sent, late.count())
}

/// Guards against issue 27: requests of one kind, no two alike, crashed engine after engine, and sound
/// requests with the same other parts were refused beside them.
#[rstest]
#[case::ordinary(PartScenario::default())]
#[case::rare(PartScenario { deadly_share: 0.006, length_ms: 60_000, ..PartScenario::default() })]
#[case::frequent(PartScenario { deadly_share: 0.2, ..PartScenario::default() })]
#[case::from_the_first_request(PartScenario { deadly_from_ms: 0, ..PartScenario::default() })]
#[case::first_part(PartScenario { is_deadly_first: true, ..PartScenario::default() })]
#[case::same_request(PartScenario { is_same_request: true, ..PartScenario::default() })]
#[case::other_crashes(PartScenario { other_crashes: 0.5, ..PartScenario::default() })]
#[case::new_leaders(PartScenario { changes_leader: true, ..PartScenario::default() })]
#[case::few_requests(PartScenario { rate: 15.0, deadly_share: 0.1, ..PartScenario::default() })]
#[case::few_engines(PartScenario { engines: 5, rate: 40.0, ..PartScenario::default() })]
#[case::many_gateways(PartScenario { gateways: 291, engines: 200, rate: 1_500.0, deadly_share: 0.01, length_ms: 16_000, ..PartScenario::default() })]
fn a_part_that_crashes_engines_is_stopped_and_sound_requests_are_not(
    #[case] scenario: PartScenario,
) {
    let seeds = if scenario.gateways > 100 {
        SEEDS / 10
    } else {
        SEEDS
    };
    for seed in 0..seeds {
        let outcome = PartSimulation::new(scenario.clone(), seed).run();
        let late = late_requests(&outcome);
        assert!(late <= ALLOWED_REQUESTS, "seed {seed}: {late} came late");
        let (sent, all) = sound_requests(&outcome);
        assert!(2 * sent >= all, "seed {seed}: {sent} of {all} were sent");
    }
}

/// Guards against blocks of parts that only ran where engines crashed for other reasons.
#[test]
fn crashes_for_other_reasons_block_hardly_any_request() {
    let scenario = PartScenario {
        deadly_share: 0.0,
        other_crashes: 1.0,
        length_ms: 60_000,
        ..PartScenario::default()
    };
    for seed in 0..SEEDS {
        let outcome = PartSimulation::new(scenario.clone(), seed).run();
        let refused = outcome.sound.iter().filter(|(_, is_sent)| !is_sent).count();
        let all = outcome.sound.len();
        assert!(
            100 * refused <= all,
            "seed {seed}: {refused} of {all} refused"
        );
    }
}
