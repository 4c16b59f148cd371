//! Tests which coordinator a gateway asks while the leader changes.
//!
//! Pattern: the leader freezes or is cut off. The other coordinators still name it for a second, and
//! each sync with it is lost after a timeout. No network is needed.

use std::{net::SocketAddr, time::Duration};

use waxwinglatch::gateway::CoordinatorList;

fn address(number: u8) -> SocketAddr {
    format!("10.0.0.{number}:7600").parse().unwrap()
}

fn list() -> CoordinatorList {
    CoordinatorList::new(vec![address(1), address(2), address(3)])
}

#[test]
fn named_leader_is_asked_next() {
    let mut list = list();
    assert!(list.record_redirect(address(1), Some(address(9)), Duration::ZERO));
    assert_eq!(list.first(), Some(address(9)));
}

#[test]
fn leader_that_does_not_answer_is_not_asked_again_because_it_is_named() {
    let mut list = list();
    let mut now = Duration::from_secs(10);
    list.record_failure(address(1), now);
    let mut asked = Vec::new();
    for _ in 0..6 {
        now += Duration::from_millis(100);
        let next = list.first().unwrap();
        asked.push(next);
        if next == address(1) {
            list.record_failure(next, now);
        } else {
            assert!(!list.record_redirect(next, Some(address(1)), now));
        }
    }
    let lost_syncs = asked.iter().filter(|peer| **peer == address(1)).count();
    assert!(
        lost_syncs <= 2,
        "{lost_syncs} of 6 syncs go to the lost leader"
    );
    assert!(asked.contains(&address(2)) && asked.contains(&address(3)));
    // A new leader is followed at once.
    assert!(list.record_redirect(list.first().unwrap(), Some(address(3)), now));
    assert_eq!(list.first(), Some(address(3)));
}

#[test]
fn leader_that_answers_again_is_followed() {
    let mut list = list();
    list.record_failure(address(1), Duration::from_secs(10));
    let later = Duration::from_secs(14);
    assert!(list.record_redirect(address(2), Some(address(1)), later));
    list.record_failure(address(1), later);
    list.record_answer();
    assert!(list.record_redirect(address(2), Some(address(1)), later));
}

/// Guards against a gateway that asks coordinators which were replaced long ago, each for longer than the one before,
/// when the leader is lost (issue 49).
#[test]
fn coordinators_that_are_no_longer_named_are_not_asked() {
    let now = Duration::from_secs(10);
    let mut list = list();
    list.record_answer();
    list.replace(&[address(1), address(4), address(5)]);
    let mut asked = Vec::new();
    for _ in 0..3 {
        let next = list.first().unwrap();
        asked.push(next);
        list.record_failure(next, now);
    }
    assert_eq!(asked, [1, 4, 5].map(address));
}

/// Guards against a gateway that can no longer be told of others by its settings, since all coordinators that it was
/// told of by another one are lost.
#[test]
fn seeds_are_asked_again_once_no_coordinator_answers() {
    let now = Duration::from_secs(10);
    let mut list = list();
    list.replace(&[address(4)]);
    list.record_failure(address(4), now);
    let mut asked = Vec::new();
    for _ in 0..4 {
        let next = list.first().unwrap();
        asked.push(next);
        list.record_failure(next, now);
    }
    for seed in [1, 2, 3].map(address) {
        assert!(asked.contains(&seed), "{asked:?}");
    }
}

/// Guards against a gateway that finds no leader for 30 s, since it asks each coordinator that does not answer again and
/// again, for up to 4 s, while leaders change every few seconds (the fault soak, issue 49).
#[test]
fn coordinators_that_do_not_answer_are_asked_after_the_others() {
    let lost = [1, 3, 5].map(address);
    let mut coordinators = CoordinatorList::new((1..=6).map(address).collect());
    let mut now = Duration::from_secs(100);
    let mut asked = Vec::new();
    for _ in 0..20 {
        let next = coordinators.first().unwrap();
        asked.push(next);
        if lost.contains(&next) {
            coordinators.record_failure(next, now);
        } else {
            assert!(!coordinators.record_redirect(next, None, now));
        }
        now += Duration::from_millis(400);
    }
    let lost_syncs = asked.iter().filter(|asked| lost.contains(asked)).count();
    assert_eq!(lost_syncs, lost.len(), "each is asked once: {asked:?}");
    now += Duration::from_secs(10);
    for _ in 0..6 {
        let next = coordinators.first().unwrap();
        asked.push(next);
        coordinators.record_redirect(next, None, now);
    }
    let later = &asked[20..];
    assert!(lost.iter().all(|lost| later.contains(lost)), "{later:?}");
}
