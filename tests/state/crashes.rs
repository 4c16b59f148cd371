//! Guards against a request that takes down one target after another.

use serde_bytes::ByteArray;
use waxwinglatch::{
    ids::Fingerprint,
    state::{BlockState, Command, CrashOutcome, Outcome, TurnOutcome},
};

use super::{HOUR_MS, TimedState, entry};

const FINGERPRINT: Fingerprint = ByteArray::new([5; 16]);

fn crash(state: &mut TimedState, target: &str) -> CrashOutcome {
    let target = target.into();
    match state.apply(Command::ReportCrash {
        fingerprint: FINGERPRINT,
        target,
    }) {
        Outcome::Crash(outcome) => outcome,
        other => panic!("a crash report gave {other:?}"),
    }
}

fn turn(state: &mut TimedState, holder: u64, attempt: u64) -> TurnOutcome {
    let holder = entry(holder);
    match state.apply(Command::TakeTurn {
        fingerprint: FINGERPRINT,
        holder,
        attempt,
    }) {
        Outcome::Turn(outcome) => outcome,
        other => panic!("a turn gave {other:?}"),
    }
}

fn end(state: &mut TimedState, holder: u64, attempt: u64) {
    let holder = entry(holder);
    state.apply(Command::EndTurn {
        fingerprint: FINGERPRINT,
        holder,
        attempt,
    });
}

#[test]
fn two_distinct_targets_block_a_request_for_an_hour() {
    let mut state = TimedState::new();
    let suspect = CrashOutcome {
        targets: 1,
        state: BlockState::Suspect,
    };
    assert_eq!(crash(&mut state, "engine-1"), suspect);
    assert_eq!(
        crash(&mut state, "engine-1"),
        suspect,
        "a resent report counts once"
    );
    assert_eq!(turn(&mut state, 1, 1), TurnOutcome::Granted);
    let blocked = CrashOutcome {
        targets: 2,
        state: BlockState::Blocked,
    };
    assert_eq!(crash(&mut state, "engine-2"), blocked);
    end(&mut state, 1, 1);
    state.at_ms += HOUR_MS - 1;
    assert_eq!(turn(&mut state, 2, 1), TurnOutcome::Blocked);
    state.at_ms += 1;
    assert_eq!(turn(&mut state, 2, 1), TurnOutcome::Granted);
}

#[test]
fn one_entry_at_a_time_runs_a_suspect() {
    let mut state = TimedState::new();
    assert_eq!(turn(&mut state, 1, 1), TurnOutcome::Granted, "not suspect");
    crash(&mut state, "engine-1");
    assert_eq!(turn(&mut state, 1, 2), TurnOutcome::Granted);
    assert_eq!(turn(&mut state, 1, 2), TurnOutcome::Granted, "lost reply");
    assert_eq!(turn(&mut state, 1, 3), TurnOutcome::Busy);
    assert_eq!(turn(&mut state, 2, 1), TurnOutcome::Busy);
    end(&mut state, 1, 1);
    assert_eq!(
        turn(&mut state, 2, 1),
        TurnOutcome::Busy,
        "an older attempt ended"
    );
    end(&mut state, 1, 2);
    assert_eq!(
        turn(&mut state, 1, 2),
        TurnOutcome::Busy,
        "late copy of an ended attempt"
    );
    assert_eq!(turn(&mut state, 2, 1), TurnOutcome::Granted);
    state.apply(Command::LoseClaimant { claimant: entry(2) });
    assert_eq!(turn(&mut state, 3, 1), TurnOutcome::Granted);
    state.at_ms += 120_000;
    assert_eq!(
        turn(&mut state, 1, 4),
        TurnOutcome::Granted,
        "the turn expired"
    );
}

#[test]
fn suspects_are_forgotten_after_a_day_and_bounded_in_number() {
    let mut state = TimedState::new();
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
