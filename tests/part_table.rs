//! Tests how parts of requests are told apart as causes of crashes, and how blocks begin and end.

use rstest::rstest;
use waxwinglatch::{
    gateway::PartWatch,
    ids::Fingerprint,
    state::{Command, ControlState, PartTable, StampedCommand},
    sync::{CompletedPart, CrashEvidence, CrashedPart, PartKind, PartSection, TargetCrash},
};

const START_MS: u64 = 1_000_000;
const MINUTE_MS: u64 = 60_000;
/// Time by which every block that is due has begun.
const SETTLED_MS: u64 = 2_000;

fn part(number: u8) -> Fingerprint {
    Fingerprint::new([number; 16])
}

fn crash(number: u64) -> TargetCrash {
    TargetCrash::new("engine".into(), number)
}

fn crashed(numbers: &[u8]) -> Vec<CrashedPart> {
    let parts = numbers.iter().map(|number| CrashedPart {
        part: part(*number),
        kind: PartKind::Prompt,
        runs: 1,
    });
    parts.collect()
}

fn completed(number: u8, age_ms: u64) -> [CompletedPart; 1] {
    let part = part(number);
    [CompletedPart { part, age_ms }]
}

/// Reports one crash per list of parts, 100 ms apart, and returns the time of the last one.
fn report(table: &mut PartTable, crashes: &[Vec<u8>]) -> u64 {
    let mut now_ms = START_MS;
    for (number, parts) in (0..).zip(crashes) {
        now_ms = START_MS + 100 * number;
        table.report(now_ms, &crash(number), &crashed(parts));
    }
    now_ms
}

fn blocked(table: &PartTable, now_ms: u64) -> Vec<Fingerprint> {
    let suspects = table.suspects(now_ms).into_iter();
    let blocked =
        suspects.filter(|suspect| suspect.blocked_in_ms == Some(0) && suspect.blocked_for_ms > 0);
    let mut blocked: Vec<_> = blocked.map(|suspect| suspect.part).collect();
    blocked.sort();
    blocked
}

#[rstest]
#[case::too_few_crashes(&[vec![1], vec![1]], &[])]
#[case::three_crashes(&[vec![1], vec![1], vec![1]], &[1])]
#[case::a_part_in_more_crashes_explains_the_others(&[vec![1, 2], vec![1, 2], vec![1, 2], vec![1]], &[1])]
#[case::two_causes(&[vec![1], vec![1], vec![1], vec![2], vec![2], vec![2]], &[1, 2])]
#[case::parts_that_always_come_together(&[vec![1, 2], vec![1, 2], vec![1, 2]], &[1, 2])]
#[case::the_rarer_part_explains_the_common_one(&[vec![1, 2, 2], vec![1, 2], vec![1, 2]], &[1])]
fn a_part_is_blocked_for_crashes_that_no_likelier_cause_explains(
    #[case] crashes: &[Vec<u8>],
    #[case] expected: &[u8],
) {
    let mut table = PartTable::default();
    let last_ms = report(&mut table, crashes);
    let expected: Vec<_> = expected.iter().map(|number| part(*number)).collect();
    assert_eq!(blocked(&table, last_ms + SETTLED_MS), expected);
}

#[test]
fn a_whole_request_is_a_likelier_cause_than_its_parts() {
    let mut table = PartTable::default();
    for number in 0..3 {
        let mut parts = crashed(&[1, 2]);
        parts[1].kind = PartKind::Request;
        table.report(START_MS, &crash(number), &parts);
    }
    assert_eq!(blocked(&table, START_MS + SETTLED_MS), [part(2)]);
}

#[test]
fn repeated_reports_of_a_crash_count_once() {
    let mut table = PartTable::default();
    for _ in 0..5 {
        table.report(START_MS, &crash(1), &crashed(&[1]));
    }
    assert!(table.suspects(START_MS).is_empty());
}

#[test]
fn gateways_have_time_to_clear_a_part_before_it_is_blocked() {
    let mut table = PartTable::default();
    let last_ms = report(&mut table, &[vec![1], vec![1], vec![1]]);
    assert!(blocked(&table, last_ms).is_empty());
    table.clear(last_ms, &completed(1, 3_000));
    assert!(table.suspects(last_ms + SETTLED_MS).is_empty());
    // The part is trusted for a while, and needs new crashes after that.
    let last_ms = report(&mut table, &[vec![1], vec![1], vec![1]]);
    assert!(blocked(&table, last_ms + SETTLED_MS).is_empty());
    table.report(START_MS + MINUTE_MS, &crash(9), &crashed(&[1]));
    assert!(blocked(&table, START_MS + MINUTE_MS + SETTLED_MS).is_empty());
}

#[test]
fn a_complete_answer_ends_a_block_unless_it_is_old() {
    let mut table = PartTable::default();
    let now_ms = report(&mut table, &[vec![1], vec![1], vec![1]]) + SETTLED_MS;
    table.clear(now_ms, &completed(1, 20_000));
    assert_eq!(blocked(&table, now_ms), [part(1)]);
    table.clear(now_ms, &completed(1, 0));
    assert!(blocked(&table, now_ms).is_empty());
}

#[test]
fn a_block_ends_and_one_further_crash_renews_it_for_longer() {
    let mut table = PartTable::default();
    let last_ms = report(&mut table, &[vec![1], vec![1], vec![1]]);
    let ends_ms = last_ms + 2 * MINUTE_MS;
    assert_eq!(blocked(&table, ends_ms - 1), [part(1)]);
    assert!(blocked(&table, ends_ms).is_empty());
    table.report(ends_ms, &crash(9), &crashed(&[1]));
    assert_eq!(blocked(&table, ends_ms), [part(1)]);
    assert_eq!(blocked(&table, ends_ms + 4 * MINUTE_MS - 1), [part(1)]);
    assert!(blocked(&table, ends_ms + 4 * MINUTE_MS).is_empty());
    table.expire(ends_ms + 10 * MINUTE_MS);
    assert!(table.is_empty());
}

#[test]
fn the_table_is_bounded_and_keeps_the_parts_with_most_crashes() {
    let mut table = PartTable::default();
    report(&mut table, &[vec![1], vec![1], vec![1]]);
    for number in 0..5_000_u64 {
        let mut bytes = [0xff; 16];
        bytes[..8].copy_from_slice(&number.to_be_bytes());
        let parts = [CrashedPart {
            part: Fingerprint::new(bytes),
            kind: PartKind::Prompt,
            runs: 1,
        }];
        table.report(START_MS + 1_000 + number, &crash(100 + number), &parts);
    }
    assert_eq!(table.len(), 2_000);
    assert_eq!(blocked(&table, START_MS + 10_000), [part(1)]);
}

#[test]
fn evidence_and_blocks_survive_a_restart_from_the_log_and_from_a_snapshot() {
    let mut state = ControlState::default();
    for number in 0..3 {
        let evidence = CrashEvidence {
            crash: crash(number),
            parts: crashed(&[1]),
        };
        let command = Command::ReportParts(evidence);
        assert_eq!(command.level(), 3);
        let at_ms = START_MS;
        state.apply(number + 1, &StampedCommand { at_ms, command });
    }
    let restored = ControlState::restore(&state.snapshot().unwrap()).unwrap();
    let parts = restored.crashes().parts();
    assert_eq!(blocked(parts, START_MS + SETTLED_MS), [part(1)]);
    let command = Command::ClearParts(completed(1, 0).to_vec());
    let at_ms = START_MS + SETTLED_MS;
    state.apply(9, &StampedCommand { at_ms, command });
    assert!(blocked(state.crashes().parts(), at_ms).is_empty());
}

/// Gateways end a block one after the other, so that the first crash afterwards renews it before all
/// of them send such requests.
#[test]
fn gateways_end_a_block_at_different_times() {
    use std::time::Duration;
    let mut table = PartTable::default();
    let now_ms = report(&mut table, &[vec![1], vec![1], vec![1]]);
    let section = PartSection {
        version: table.version(),
        suspects: table.suspects(now_ms),
    };
    let parts = [(part(1), PartKind::Prompt)].into_iter().collect();
    let mut ends: Vec<u64> = (0..9)
        .map(|gateway| {
            let mut watch = PartWatch::new(&format!("edge-{gateway}").into());
            watch.apply_section(&section, Duration::ZERO);
            assert!(!watch.is_blocked(&parts, Duration::ZERO), "not yet");
            let is_blocked = |second| watch.is_blocked(&parts, Duration::from_secs(second));
            assert!(is_blocked(2) && is_blocked(119));
            let end = (120..200).find(|second| !is_blocked(*second));
            end.expect("the block ends")
        })
        .collect();
    ends.sort_unstable();
    assert!(*ends.last().unwrap() <= 141, "{ends:?}");
    ends.dedup();
    assert!(ends.len() >= 6, "{ends:?}");
}
