//! Tests the replicated table of evacuated data centres and what has to be confirmed before an evacuation is
//! acknowledged (docs/design/evacuation.md). No network is needed.

use std::time::Duration;

use rstest::rstest;
use waxwinglatch::{
    clock::BootInstant,
    coordinator::{DelegateView, PlanConfirmations},
    gateway::EvacuationSet,
    ids::EntryKey,
    state::{
        Command, ControlState, EvacuationChange, EvacuationOutcome,
        EvacuationState::{self, Evacuated, InService},
        EvacuationTable, Outcome, StampedCommand,
    },
    sync::{DelegateReply, EvacuationSection, ServingState},
};

const LEASE: Duration = Duration::from_millis(2_500);

fn change(data_centre: &str, state: EvacuationState, expected: u64) -> EvacuationChange {
    EvacuationChange {
        data_centre: data_centre.into(),
        state,
        expected,
    }
}

fn key(vm: &str) -> EntryKey {
    EntryKey {
        vm: vm.into(),
        incarnation: 1,
    }
}

/// Guards against a delayed duplicate of an order that undoes a later one (EVAC): each change names the revision that
/// its proposer read.
#[rstest]
#[case::repeat(&[(Evacuated, 0), (Evacuated, 0)], EvacuationOutcome::Done(1), Evacuated)]
#[case::withdrawal(&[(Evacuated, 0), (InService, 1)], EvacuationOutcome::Done(2), InService)]
#[case::withdrawal_of_nothing(&[(InService, 0)], EvacuationOutcome::Done(0), InService)]
#[case::late_duplicate(
    &[(Evacuated, 0), (InService, 1), (Evacuated, 0)],
    EvacuationOutcome::Overtaken,
    InService
)]
#[case::late_withdrawal(
    &[(Evacuated, 0), (InService, 1), (Evacuated, 2), (InService, 1)],
    EvacuationOutcome::Overtaken,
    Evacuated
)]
#[case::new_order(
    &[(Evacuated, 0), (InService, 1), (Evacuated, 2)],
    EvacuationOutcome::Done(3),
    Evacuated
)]
fn change_applies_only_to_the_revision_that_was_read(
    #[case] changes: &[(EvacuationState, u64)],
    #[case] last: EvacuationOutcome,
    #[case] state: EvacuationState,
) {
    let mut table = EvacuationTable::default();
    let outcomes = changes.iter();
    let outcomes = outcomes.map(|(state, expected)| table.apply(&change("a", *state, *expected)));
    assert_eq!(outcomes.last(), Some(last));
    assert_eq!(table.state("a").0, state);
}

/// Guards against a table that grows without bound, and against a delayed duplicate that applies to a data centre whose
/// record was dropped.
#[test]
fn dropped_records_still_overtake_delayed_duplicates() {
    let mut table = EvacuationTable::default();
    table.apply(&change("held", Evacuated, 0));
    for number in 0..200_u64 {
        let name = format!("zone-{number}");
        let (_, read) = table.state(&name);
        table.apply(&change(&name, Evacuated, read));
        let (_, read) = table.state(&name);
        table.apply(&change(&name, InService, read));
    }
    let late = table.apply(&change("zone-0", Evacuated, 0));
    assert_eq!(late, EvacuationOutcome::Overtaken);
    let evacuated: Vec<_> = table.evacuated().collect();
    assert_eq!(evacuated, ["held"]);
    let bytes = rmp_serde::to_vec_named(&table).unwrap();
    assert!(bytes.len() < 8_000, "{} bytes", bytes.len());
}

/// Guards against an acknowledged evacuation that is lost with a snapshot (LOST).
#[test]
fn snapshot_holds_the_table() {
    let mut state = ControlState::default();
    let command = Command::Evacuate(change("a", Evacuated, 0));
    assert_eq!(command.level(), 5);
    let outcome = state.apply(1, &StampedCommand { at_ms: 1, command });
    assert_eq!(outcome, Outcome::Evacuate(EvacuationOutcome::Done(1)));
    let restored = ControlState::restore(&state.snapshot().unwrap()).unwrap();
    assert_eq!(restored.evacuations().state("a"), (Evacuated, 1));
}

/// Guards against gateways that return to an earlier set, which a delegate with a log that lags may send.
#[test]
fn gateway_keeps_the_latest_set() {
    let mut set = EvacuationSet::default();
    let section = |revision, names: &[&str]| EvacuationSection {
        revision,
        data_centres: names.iter().map(|name| (*name).into()).collect(),
    };
    assert!(set.apply(&section(2, &["a", "b"])));
    assert!(!set.apply(&section(1, &["a"])));
    assert!(set.contains(&"b".into()));
    assert!(set.apply(&section(3, &[])));
    assert!(!set.contains(&"a".into()));
    assert_eq!(set.revision(), 3);
}

/// Guards against an acknowledgement while a gateway or delegate may still act on an earlier revision (EVAC), and
/// against plans that wait for evacuations or the reverse.
#[test]
fn evacuation_waits_for_each_lease_on_an_earlier_revision() {
    let now = Duration::from_secs(1);
    let mut confirmations = PlanConfirmations::new(LEASE, Duration::ZERO);
    confirmations.record_report(&key("edge-1"), ServingState::new(7, 1), now);
    confirmations.record_report(&key("edge-2"), ServingState::new(6, 2), now);
    confirmations.record_delegate(&key("core-2"), ServingState::new(7, 2), now);
    let needed = ServingState::with_revision(2);
    assert_eq!(confirmations.count_behind(needed, now), 1);
    // A gateway without a plan has nothing in effect.
    assert!(!confirmations.confirm(&key("edge-1"), ServingState::new(0, 2)));
    assert!(confirmations.confirm(&key("edge-1"), ServingState::new(7, 2)));
    assert!(confirmations.is_confirmed(needed, now));
    // The plan of another gateway does not hold up the evacuation, nor does the evacuation make up for the plan.
    assert_eq!(
        confirmations.count_behind(ServingState::with_plan(7), now),
        1
    );
    let later = ServingState::with_revision(3);
    assert_eq!(confirmations.count_behind(later, now), 3);
    assert!(confirmations.is_confirmed(later, now + LEASE));
    confirmations.record_first_plan(&key("edge-3"), ServingState::new(7, 2), None, now);
    assert_eq!(confirmations.count_behind(later, now), 4);
}

/// Guards against a delegate that proves evacuations which the log has not brought to it yet (EVAC).
#[test]
fn delegate_proves_a_revision_only_once_the_log_has_brought_it() {
    let mut view = DelegateView::new(LEASE);
    let sent_at = BootInstant::now();
    let reply = DelegateReply {
        term: 1,
        is_needed: true,
        plan_version: 5,
        targets: None,
        list_age_ms: None,
        recorded_services: Vec::new(),
        roster: None,
        delegates: Vec::new(),
        polls: Vec::new(),
        evacuation_revision: 2,
    };
    view.apply(reply, sent_at, Duration::ZERO);
    assert_eq!(view.proof_age(ServingState::new(5, 1), sent_at), None);
    let age = Some(Duration::ZERO);
    assert_eq!(view.proof_age(ServingState::new(5, 2), sent_at), age);
    assert_eq!(view.proof_age(ServingState::new(4, 2), sent_at), None);
}
