//! A leader whose fleet has lost a fifth of its engines at one moment.
//!
//! Pattern: 51 of 256 engines do not answer for seconds, while the leader has to grant tokens and answer
//! syncs. Guards against 250 status polls a second that nobody answers (SHORT).

mod engine_fleet;

use std::time::Duration;

use waxwinglatch::ids::TargetId;

const LOST: usize = 51;
const MODELS: usize = 441;
const ROUND: Duration = Duration::from_millis(50);
const LENGTH: Duration = Duration::from_secs(10);

#[test]
fn engines_without_an_answer_are_polled_less_and_less() {
    let mut fleet = engine_fleet::fleet(MODELS);
    let lost: Vec<TargetId> = {
        let entries = fleet.engines.targets();
        let ids = entries.iter().map(|entry| entry.id.clone());
        ids.take(LOST).collect()
    };
    for target in &lost {
        fleet.engines.mark_suspected(target);
    }
    let (mut polls, mut now) = (0, engine_fleet::NOW);
    while now < engine_fleet::NOW + LENGTH {
        now += ROUND;
        for entry in fleet.engines.due_polls(now) {
            if lost.contains(&entry.id) {
                polls += 1;
                fleet.engines.record_status(&entry.id, None, now);
            }
        }
    }
    // One poll each 1.6 s, with three earlier ones.
    let allowed = LOST * 10;
    println!("{polls} polls in {LENGTH:?}, {allowed} allowed");
    assert!(polls <= allowed, "{polls} polls in {LENGTH:?}");
    assert!(polls >= LOST * 5, "lost engines are still polled");
}
