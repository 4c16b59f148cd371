//! Tests that evidence about parts of requests costs the log few entries.
//!
//! Pattern: engines crash at a fleet of 291 gateways, all of which report what ended and which parts
//! complete. Guards against a new leader that is late with everything else (SHORT): each report was a log
//! entry of its own, 145 and 212 of them in the first two seconds.

use std::time::Duration;

use waxwinglatch::{
    ids::Fingerprint,
    state::{Command, PartBatch, PartTable},
    sync::{CompletedPart, CrashEvidence, CrashedPart, PartKind, TargetCrash},
};

const GATEWAYS: u64 = 291;
const NOW_MS: u64 = 1_000_000;
const NOW: Duration = Duration::from_secs(20);

fn part(number: u8) -> Fingerprint {
    Fingerprint::new([number; 16])
}

fn crashed(number: u8) -> CrashedPart {
    CrashedPart {
        part: part(number),
        kind: PartKind::Prompt,
        runs: 1,
    }
}

fn evidence(number: u64, parts: &[u8]) -> CrashEvidence {
    CrashEvidence {
        crash: TargetCrash::new("engine".into(), number),
        parts: parts.iter().map(|number| crashed(*number)).collect(),
    }
}

fn completed(number: u8) -> CompletedPart {
    CompletedPart {
        part: part(number),
        age_ms: 10,
    }
}

/// Returns a table in which the parts 1 to 3 are suspect.
fn table() -> PartTable {
    let mut table = PartTable::default();
    for number in 1..=2 {
        let crash = TargetCrash::new("engine".into(), number);
        table.report(NOW_MS, &crash, &[crashed(1), crashed(2), crashed(3)]);
    }
    table
}

#[test]
fn reports_of_the_whole_fleet_are_one_entry_for_each_crash_and_one_for_answers() {
    let mut batch = PartBatch::default();
    for gateway in 0..GATEWAYS {
        let crashes = [evidence(10 + gateway % 3, &[7, 8])];
        batch.add(&crashes, &[completed(1), completed(2), completed(3)], NOW);
    }
    let commands = batch.take_commands(&table(), NOW_MS, NOW);
    assert_eq!(commands.len(), 4, "{commands:?}");
    let Command::ReportParts(first) = &commands[0] else {
        panic!("{commands:?}");
    };
    let runs: Vec<u32> = first.parts.iter().map(|part| part.runs).collect();
    assert_eq!(runs, [97, 97]);
    assert!(batch.is_empty());
}

#[test]
fn answers_that_change_nothing_are_no_entry() {
    let mut table = table();
    let mut batch = PartBatch::default();
    batch.add(&[], &[completed(1), completed(9)], NOW);
    let commands = batch.take_commands(&table, NOW_MS, NOW);
    let Command::ClearParts(cleared) = &commands[0] else {
        panic!("{commands:?}");
    };
    assert_eq!(cleared.len(), 1, "{cleared:?}");
    table.clear(NOW_MS, cleared);
    batch.add(&[], &[completed(1)], NOW + Duration::from_secs(1));
    assert!(batch.take_commands(&table, NOW_MS + 1_000, NOW).is_empty());
    // The trust is renewed before it ends.
    batch.add(&[], &[completed(1)], NOW);
    assert_eq!(batch.take_commands(&table, NOW_MS + 6_000, NOW).len(), 1);
}

#[test]
fn completion_waits_with_its_age() {
    let mut batch = PartBatch::default();
    batch.add(&[], &[completed(1)], NOW);
    let commands = batch.take_commands(&table(), NOW_MS, NOW + Duration::from_millis(90));
    let Command::ClearParts(cleared) = &commands[0] else {
        panic!("{commands:?}");
    };
    assert_eq!(cleared[0].age_ms, 100);
}
