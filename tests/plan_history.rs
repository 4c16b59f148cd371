//! Guards how plans reach gateways. A plan with hundreds of routes that went whole to each gateway
//! with each change kept all links busy, and gateways without a plan serve nothing.

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
    fn a_change_leads_to_the_new_document(
        old in prop::collection::vec(0_u32..40, 0..60),
        new in prop::collection::vec(0_u32..40, 0..60),
    ) {
        let (old, new) = (document(1, &old), document(2, &new));
        let delta = DocumentDelta::between(&old, &new);
        prop_assert_eq!(delta.apply_to(&old).unwrap(), new);
    }

    #[test]
    fn any_bytes_can_be_changed(old in prop::collection::vec(any::<u8>(), 0..400), new in prop::collection::vec(any::<u8>(), 0..400)) {
        let delta = DocumentDelta::between(&old, &new);
        prop_assert_eq!(delta.apply_to(&old).unwrap(), new);
    }
}

#[test]
fn a_change_of_another_document_is_refused() {
    let [first, second, third] =
        [&[1, 2][..], &[1, 3], &[5, 6, 7]].map(|routes| document(1, routes));
    let delta = DocumentDelta::between(&first, &second);
    assert!(delta.apply_to(&third).is_err());
}

/// Pattern: several changes a second while the plan has hundreds of routes.
#[test]
fn a_small_change_of_a_large_plan_costs_little() {
    let routes: Vec<u32> = (0..500).collect();
    let mut archive = PlanHistory::new();
    archive.add(&plan(1, &routes));
    let mut changed = routes.clone();
    changed[250] = 1_000;
    archive.add(&plan(2, &changed));
    let news = archive.update_since(1, Duration::ZERO).unwrap();
    let bytes = waxwinglatch::sync::encode(&news).unwrap();
    assert!(bytes.len() < 1_000, "{} bytes", bytes.len());
    assert!(matches!(
        news,
        Some(PlanUpdate::Delta {
            version: 2,
            base: 1,
            ..
        })
    ));
}

/// Patterns: all gateways have started again and none has a plan; hundreds of routes are added.
#[rstest]
#[case::whole(0)]
#[case::large_change(1)]
fn large_news_are_sent_one_after_the_other(#[case] held: u64) {
    let routes: Vec<u32> = (0..500).collect();
    let mut archive = PlanHistory::new();
    archive.add(&plan(1, &[]));
    archive.add(&plan(2, &routes));
    let mut sent = 0;
    for millis in 0..1_000 {
        // Seventy gateways ask all the time.
        for _ in 0..7 {
            let news = archive
                .update_since(held, Duration::from_millis(millis))
                .unwrap();
            sent += usize::from(!matches!(news, Some(PlanUpdate::Deferred { .. })));
        }
    }
    assert!(
        (70..700).contains(&sent),
        "{sent} gateways got the plan in a second"
    );
}

#[test]
fn a_gateway_with_the_newest_plan_gets_nothing() {
    let mut archive = PlanHistory::new();
    archive.add(&plan(4, &[1]));
    archive.add(&plan(3, &[2]));
    assert_eq!(archive.update_since(4, Duration::ZERO).unwrap(), None);
    assert_eq!(archive.newest_version(), Some(4));
}
