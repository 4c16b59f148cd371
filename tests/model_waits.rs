//! Tests the delayed replies to gateways whose requests wait for a model.
//!
//! Pattern: in a large fleet the targets change hundreds of times a second, and most changes concern
//! other models. A reply that is sent with such a change makes the request wait for another sync.

use std::time::Duration;

use waxwinglatch::{
    adapter::{LoadedModel, TargetEntry},
    coordinator::{ModelWaits, TargetHistory},
    sync::ServedModel,
};

const SHORT: Duration = Duration::from_millis(20);

fn target(id: &str, model: &str, adapters: &[&str]) -> TargetEntry {
    TargetEntry {
        id: id.into(),
        service: "drafts".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        data_centre: "a".into(),
        slots: 12,
        is_draining: false,
        is_cold: false,
        software: "".into(),
        started_ms: 1,
        models: vec![LoadedModel {
            model: model.into(),
            adapters: adapters.iter().map(|adapter| (*adapter).into()).collect(),
        }],
    }
}

fn served(model: &str) -> ServedModel {
    ServedModel {
        service: "drafts".into(),
        model: model.into(),
    }
}

#[tokio::test]
async fn reply_waits_for_its_own_model() {
    let waits = ModelWaits::default();
    let mut wait = waits.add(&[served("m1/a2"), served("m9")]);
    waits.wake(&[target("i-1", "m1", &["m1/a1"]), target("i-2", "m2", &[])]);
    let woken = tokio::time::timeout(SHORT, wait.loaded()).await;
    assert!(
        woken.is_err(),
        "the change of another model wakes the reply"
    );
    waits.wake(&[target("i-1", "m1", &["m1/a1", "m1/a2"])]);
    let woken = tokio::time::timeout(SHORT, wait.loaded()).await;
    assert!(woken.is_ok(), "the loaded adapter does not wake the reply");
}

#[tokio::test]
async fn one_change_wakes_all_replies_that_wait_for_it() {
    let waits = ModelWaits::default();
    let mut first = waits.add(&[served("m1")]);
    let second = waits.add(&[served("m1")]);
    let mut third = waits.add(&[served("m1"), served("m2")]);
    drop(second);
    waits.wake(&[target("i-1", "m1", &[])]);
    for wait in [&mut first, &mut third] {
        assert!(tokio::time::timeout(SHORT, wait.loaded()).await.is_ok());
    }
}

#[test]
fn list_knows_models_and_adapters_that_are_held() {
    let mut history = TargetHistory::new();
    history.upsert(vec![target("i-1", "m1", &["m1/a1"])]);
    assert!(history.holds_any(&[served("m3"), served("m1/a1")]));
    assert!(history.holds_any(&[served("m1")]));
    assert!(!history.holds_any(&[served("m1/a2")]));
}
