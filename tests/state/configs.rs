//! Guards against configuration changes and drains that are reverted or applied twice, and against
//! resends that do not return the first outcome.

use rstest::rstest;
use waxwinglatch::{
    border::FleetConfig,
    state::{
        ApplyOutcome, ApplyRequest, Command, DrainOutcome, DrainRequest, DrainState, DrainSubject,
        Outcome,
    },
};

use super::{DAY_MS, TestState, config};

fn apply(state: &mut TestState, id: &str, expected: u64, config: FleetConfig) -> ApplyOutcome {
    let request_id = id.into();
    let request = ApplyRequest::new(request_id, expected, config);
    match state.apply(Command::Apply(Box::new(request))) {
        Outcome::Applied(outcome) => outcome,
        other => panic!("an apply gave {other:?}"),
    }
}

#[rstest]
#[case::same(0, &["a"], ApplyOutcome::Accepted(1))]
#[case::other_config(0, &["b"], ApplyOutcome::RequestIdReused)]
#[case::other_revision(2, &["a"], ApplyOutcome::RequestIdReused)]
fn a_resend_gets_the_first_result(
    #[case] expected: u64,
    #[case] teams: &[&str],
    #[case] outcome: ApplyOutcome,
) {
    let mut state = TestState::new();
    assert_eq!(
        apply(&mut state, "one", 0, config(&["a"])),
        ApplyOutcome::Accepted(1)
    );
    assert_eq!(
        apply(&mut state, "two", 0, config(&["c"])),
        ApplyOutcome::Conflict(1)
    );
    assert_eq!(
        apply(&mut state, "two", 1, config(&["c"])),
        ApplyOutcome::RequestIdReused
    );
    assert_eq!(
        apply(&mut state, "three", 1, config(&["c"])),
        ApplyOutcome::Accepted(2)
    );
    assert_eq!(apply(&mut state, "one", expected, config(teams)), outcome);
    assert_eq!(state.state.config().0, 2);
}

#[test]
fn a_resend_of_a_removed_request_id_is_a_conflict() {
    let mut state = TestState::new();
    apply(&mut state, "one", 0, config(&["a"]));
    for number in 0..10_000 {
        apply(&mut state, &format!("other-{number}"), 7, config(&[]));
    }
    assert_eq!(state.state.requests().len(), 10_000);
    assert_eq!(
        apply(&mut state, "one", 0, config(&["a"])),
        ApplyOutcome::Conflict(1)
    );
    state.at_ms += DAY_MS;
    state.apply(Command::Noop);
    assert!(state.state.requests().is_empty());
}

#[test]
fn earlier_revisions_are_rebuilt_from_deltas() {
    let mut state = TestState::new();
    let names: Vec<String> = (0..300).map(|number| format!("team-{number}")).collect();
    for (number, name) in names.iter().enumerate() {
        let id = format!("r{number}");
        apply(&mut state, &id, number as u64, config(&[name, "steady"]));
    }
    let configs = state.state.configs();
    assert_eq!(
        configs.revisions().map(|record| record.revision).min(),
        Some(45),
        "256 revisions are retained"
    );
    for revision in [45, 46, 299, 300] {
        let name = names[usize::try_from(revision).unwrap() - 1].as_str();
        let rebuilt = configs.at(revision).expect("the revision is retained");
        assert_eq!(*rebuilt, config(&[name, "steady"]), "revision {revision}");
        let delta = configs.delta_since(revision).expect("the base is retained");
        assert_eq!(
            delta.apply_to(&rebuilt).unwrap(),
            **configs.current().unwrap()
        );
    }
    assert!(configs.at(44).is_none() && configs.at(301).is_none());
}

#[test]
fn a_delayed_resend_of_a_drain_does_not_drain_again() {
    let mut state = TestState::new();
    let subject = DrainSubject::Target("fenced".into());
    let mut drain = |id: &str, state_after: DrainState| {
        let request = DrainRequest {
            request_id: id.into(),
            subject: subject.clone(),
            state: state_after,
        };
        state.apply(Command::Drain(request))
    };
    let done = Outcome::Drain(DrainOutcome::Done);
    assert_eq!(drain("one", DrainState::Draining), done);
    assert_eq!(
        drain("one", DrainState::Active),
        Outcome::Drain(DrainOutcome::RequestIdReused)
    );
    assert_eq!(drain("two", DrainState::Active), done);
    assert_eq!(drain("one", DrainState::Draining), done);
    assert!(!state.state.drains().contains(&subject));
}

#[test]
fn the_command_level_never_decreases() {
    let mut state = TestState::new();
    assert_eq!(state.state.level(), 1);
    for (level, expected) in [(3, 3), (2, 3)] {
        state.apply(Command::RaiseLevel { level });
        assert_eq!(state.state.level(), expected);
    }
}

#[test]
fn a_derived_change_can_be_retried_after_a_conflict_and_is_applied_once() {
    let mut state = TestState::new();
    apply(&mut state, "one", 0, config(&["a"]));
    let mut derived = |expected: u64, change: u8, teams: &[&str]| {
        let mut request = ApplyRequest::new("two".into(), expected, config(teams));
        request.change = Some([change; 32].into());
        state.apply(Command::Apply(Box::new(request)))
    };
    let conflict = Outcome::Applied(ApplyOutcome::Conflict(1));
    let accepted = Outcome::Applied(ApplyOutcome::Accepted(2));
    let reused = Outcome::Applied(ApplyOutcome::RequestIdReused);
    assert_eq!(derived(0, 1, &["b"]), conflict);
    assert_eq!(derived(1, 1, &["a", "b"]), accepted);
    assert_eq!(derived(2, 1, &["a", "b", "b"]), accepted, "resent");
    assert_eq!(derived(2, 2, &["c"]), reused, "another change");
}
