//! Tests the polls of engines that delegates carry out for the leader (docs/design.md, section 20).
//!
//! Pattern: a new leader has to ask 256 engines for their orders, besides all syncs and tokens (SHORT).

use std::time::Duration;

use waxwinglatch::{adapter::TargetEntry, coordinator::DelegatedPolls};

fn engine(number: u32) -> TargetEntry {
    TargetEntry {
        id: format!("i-{number}").into(),
        service: "drafts".into(),
        address: "10.0.0.1:8080".parse().unwrap(),
        data_centre: "a".into(),
        slots: 4,
        is_draining: false,
        is_cold: false,
        started_ms: 0,
        software: "v1".into(),
        models: Vec::new(),
    }
}

fn polls(count: u32) -> DelegatedPolls {
    let mut polls = DelegatedPolls::default();
    for number in 0..count {
        polls.add(engine(number), Duration::ZERO);
    }
    polls
}

#[test]
fn each_poll_is_picked_up_once() {
    let mut polls = polls(5);
    let first = polls.pick_up(3, Duration::ZERO);
    let second = polls.pick_up(3, Duration::ZERO);
    assert_eq!([first.len(), second.len()], [3, 2]);
    assert_eq!(polls.waiting(), 0);
    assert!(first.iter().all(|engine| !second.contains(engine)));
}

#[test]
fn result_counts_once() {
    let mut polls = polls(1);
    polls.pick_up(1, Duration::ZERO);
    assert!(polls.finish(&"i-0".into()));
    assert!(!polls.finish(&"i-0".into()));
}

/// Guards against engines that are never polled again since the delegate that was to poll them is lost.
#[test]
fn leader_polls_what_delegates_do_not() {
    let mut polls = polls(2);
    polls.pick_up(1, Duration::ZERO);
    assert!(polls.take_overdue(Duration::from_millis(200)).is_empty());
    assert_eq!(polls.take_overdue(Duration::from_millis(400)), [engine(1)]);
    assert_eq!(
        polls.take_overdue(Duration::from_millis(1_000)),
        [engine(0)]
    );
    assert!(!polls.finish(&"i-0".into()), "the leader polls by itself");
}
