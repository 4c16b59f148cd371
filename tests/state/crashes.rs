//! Guards against a request that crashes one target after another.

use serde_bytes::ByteArray;
use waxwinglatch::{
    ids::Fingerprint,
    state::{BlockState, Command, CrashOutcome, Outcome, TurnOutcome},
};

use super::{HOUR_MS, TestState, entry};

const FINGERPRINT: Fingerprint = ByteArray::new([5; 16]);

fn report_crash(state: &mut TestState, target: &str) -> CrashOutcome {
    let target = target.into();
    match state.apply(Command::ReportCrash {
        fingerprint: FINGERPRINT,
        target,
    }) {
        Outcome::Crash(outcome) => outcome,
        other => panic!("a crash report gave {other:?}"),
    }
}

fn take_turn(state: &mut TestState, holder: u64, attempt: u64) -> TurnOutcome {
    let holder = entry(holder);
    match state.apply(Command::TakeTurn {
        fingerprint: FINGERPRINT,
        holder,
        attempt,
    }) {
        Outcome::Turn(outcome) => outcome,
        other => panic!("a request for a turn gave {other:?}"),
    }
}

fn end_turn(state: &mut TestState, holder: u64, attempt: u64) {
    let holder = entry(holder);
    state.apply(Command::EndTurn {
        fingerprint: FINGERPRINT,
        holder,
        attempt,
    });
}

#[test]
fn two_distinct_targets_block_a_request_for_an_hour() {
    let mut state = TestState::new();
    let suspect = CrashOutcome {
        targets: 1,
        state: BlockState::Suspect,
    };
    assert_eq!(report_crash(&mut state, "engine-1"), suspect);
    assert_eq!(
        report_crash(&mut state, "engine-1"),
        suspect,
        "repeated reports of the same target count once"
    );
    assert_eq!(take_turn(&mut state, 1, 1), TurnOutcome::Granted);
    let blocked = CrashOutcome {
        targets: 2,
        state: BlockState::Blocked,
    };
    assert_eq!(report_crash(&mut state, "engine-2"), blocked);
    end_turn(&mut state, 1, 1);
    state.at_ms += HOUR_MS - 1;
    assert_eq!(take_turn(&mut state, 2, 1), TurnOutcome::Blocked);
    state.at_ms += 1;
    assert_eq!(take_turn(&mut state, 2, 1), TurnOutcome::Granted);
}

#[test]
fn one_entry_at_a_time_runs_a_suspect() {
    let mut state = TestState::new();
    assert_eq!(
        take_turn(&mut state, 1, 1),
        TurnOutcome::Granted,
        "the request is not a suspect"
    );
    report_crash(&mut state, "engine-1");
    assert_eq!(take_turn(&mut state, 1, 2), TurnOutcome::Granted);
    assert_eq!(
        take_turn(&mut state, 1, 2),
        TurnOutcome::Granted,
        "a retry after a lost reply"
    );
    assert_eq!(take_turn(&mut state, 1, 3), TurnOutcome::Busy);
    assert_eq!(take_turn(&mut state, 2, 1), TurnOutcome::Busy);
    end_turn(&mut state, 1, 1);
    assert_eq!(
        take_turn(&mut state, 2, 1),
        TurnOutcome::Busy,
        "an older attempt must not end the turn"
    );
    end_turn(&mut state, 1, 2);
    assert_eq!(
        take_turn(&mut state, 1, 2),
        TurnOutcome::Busy,
        "a delayed duplicate of an ended attempt"
    );
    assert_eq!(take_turn(&mut state, 2, 1), TurnOutcome::Granted);
    state.apply(Command::LoseClaimant { claimant: entry(2) });
    assert_eq!(take_turn(&mut state, 3, 1), TurnOutcome::Granted);
    state.at_ms += 120_000;
    assert_eq!(
        take_turn(&mut state, 1, 4),
        TurnOutcome::Granted,
        "the turn expired"
    );
}

#[test]
fn suspects_expire_after_a_day_and_are_limited_in_number() {
    let mut state = TestState::new();
    for number in 0..10_050_u128 {
        state.at_ms += 1;
        let fingerprint = ByteArray::new(number.to_be_bytes());
        state.apply(Command::ReportCrash {
            fingerprint,
            target: "engine-1".into(),
        });
    }
    assert_eq!(state.state.crashes().len(), 10_000);
    state.at_ms += 24 * HOUR_MS;
    state.apply(Command::Noop);
    assert!(state.state.crashes().is_empty());
}
