//! Tests the updates of plans for gateways. Sending a plan with hundreds of routes to each gateway
//! after each change used all of the network's bandwidth, and gateways without a plan cannot serve.

use std::time::Duration;

use proptest::prelude::*;
use rstest::rstest;
use serde_bytes::ByteBuf;
use waxwinglatch::{
    coordinator::PlanHistory,
    plan::DocumentDelta,
    sync::{PlanUpdate, PublishedPlan},
};

fn document(version: u64, routes: &[u32]) -> Vec<u8> {
    let routes = routes.iter().map(|route| {
        format!(r#"{{"Name":"r-{route}","Host":"a.example","Prefix":"/p{route}/","Attempts":1}}"#)
    });
    let routes: Vec<String> = routes.collect();
    format!(r#"{{"Version":{version},"Routes":[{}]}}"#, routes.join(",")).into_bytes()
}

fn plan(version: u64, routes: &[u32]) -> PublishedPlan {
    PublishedPlan {
        version,
        document: ByteBuf::from(document(version, routes)),
    }
}

proptest! {
    #[test]
    fn delta_of_plans_gives_the_new_document(
        old in prop::collection::vec(0_u32..40, 0..60),
        new in prop::collection::vec(0_u32..40, 0..60),
    ) {
        let (old, new) = (document(1, &old), document(2, &new));
        let delta = DocumentDelta::between(&old, &new);
        prop_assert_eq!(delta.apply_to(&old).unwrap(), new);
    }

    #[test]
    fn delta_of_any_bytes_gives_the_new_document(old in prop::collection::vec(any::<u8>(), 0..400), new in prop::collection::vec(any::<u8>(), 0..400)) {
        let delta = DocumentDelta::between(&old, &new);
        prop_assert_eq!(delta.apply_to(&old).unwrap(), new);
    }
}

#[test]
fn delta_of_another_document_is_rejected() {
    let [first, second, third] =
        [&[1, 2][..], &[1, 3], &[5, 6, 7]].map(|routes| document(1, routes));
    let delta = DocumentDelta::between(&first, &second);
    assert!(delta.apply_to(&third).is_err());
}

/// Pattern: several changes per second of a plan with hundreds of routes.
#[test]
fn small_change_of_a_large_plan_is_a_small_update() {
    let routes: Vec<u32> = (0..500).collect();
    let mut history = PlanHistory::new();
    history.add(&plan(1, &routes));
    let mut changed = routes.clone();
    changed[250] = 1_000;
    history.add(&plan(2, &changed));
    let update = history.update_since(1, Duration::ZERO).unwrap();
    let bytes = waxwinglatch::sync::encode(&update).unwrap();
    assert!(bytes.len() < 1_000, "the update has {} bytes", bytes.len());
    assert!(matches!(
        update,
        Some(PlanUpdate::Delta {
            version: 2,
            base: 1,
            ..
        })
    ));
}

/// Patterns: all gateways have restarted without a plan; hundreds of routes are added.
#[rstest]
#[case::full(0)]
#[case::large_delta(1)]
fn large_updates_are_rate_limited(#[case] held: u64) {
    let routes: Vec<u32> = (0..500).collect();
    let mut history = PlanHistory::new();
    history.add(&plan(1, &[]));
    history.add(&plan(2, &routes));
    let mut sent = 0;
    for millis in 0..1_000 {
        // Seventy gateways request updates all the time.
        for _ in 0..7 {
            let update = history
                .update_since(held, Duration::from_millis(millis))
                .unwrap();
            sent += usize::from(!matches!(update, Some(PlanUpdate::Deferred { .. })));
        }
    }
    assert!(
        (70..700).contains(&sent),
        "{sent} gateways got the plan in one second"
    );
}

/// Guards against gateways that wait for seconds for their first plan (SHORT): a leader that gets its processor
/// in slices answered many syncs in one moment, and told all but the first of them to ask later.
///
/// Pattern: a third of 291 gateways have lost power, and the leader runs for some milliseconds each 100 ms.
#[test]
fn syncs_that_are_answered_in_one_moment_all_get_the_plan() {
    let routes: Vec<u32> = (0..500).collect();
    let mut history = PlanHistory::new();
    history.add(&plan(2, &routes));
    let mut waiting = 97;
    let mut slices = 0;
    while waiting > 0 {
        let now = Duration::from_millis(100) * slices;
        let answers = (0..waiting.min(30)).map(|_| history.update_since(0, now).unwrap());
        waiting -= answers
            .filter(|update| matches!(update, Some(PlanUpdate::Full { .. })))
            .count();
        slices += 1;
    }
    assert!(slices <= 5, "{slices} slices");
}

#[test]
fn gateway_with_the_newest_plan_gets_no_update() {
    let mut history = PlanHistory::new();
    history.add(&plan(4, &[1]));
    history.add(&plan(3, &[2]));
    assert_eq!(history.update_since(4, Duration::ZERO).unwrap(), None);
    assert_eq!(history.newest_version(), Some(4));
}
