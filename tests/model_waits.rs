//! Tests the delayed replies to gateways whose requests wait for a model.
//!
//! Pattern: in a large fleet the targets change hundreds of times a second, and most changes concern
//! other models. A reply that is sent with such a change makes the request wait for another sync.

use std::time::Duration;

use waxwinglatch::{
    adapter::{LoadedModel, TargetEntry},
    coordinator::{ModelWaits, TargetHistory, WantedModel},
    region::DataCentreFilter,
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

fn served(model: &str) -> WantedModel {
    WantedModel {
        model: ServedModel {
            service: "drafts".into(),
            model: model.into(),
        },
        data_centres: DataCentreFilter::Any,
    }
}

/// Returns a model that targets in one data centre only can serve.
fn served_in(model: &str, data_centre: &str) -> WantedModel {
    WantedModel {
        data_centres: DataCentreFilter::Only([data_centre.into()].into_iter().collect()),
        ..served(model)
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

/// Guards against a reply that is sent at once because a target outside the allowed regions holds
/// the model: the gateway would ask again in a loop, and no planning round would be started.
#[tokio::test]
async fn copies_outside_the_allowed_data_centres_do_not_end_the_wait() {
    let elsewhere = target("i-1", "m1", &["m1/a1"]);
    let mut allowed = target("i-2", "m1", &["m1/a1"]);
    allowed.data_centre = "b".into();
    let wanted = [served_in("m1/a1", "b")];
    let mut history = TargetHistory::new();
    history.upsert(vec![elsewhere.clone()]);
    assert!(!history.holds_any(&wanted));
    history.upsert(vec![allowed.clone()]);
    assert!(history.holds_any(&wanted));
    let waits = ModelWaits::default();
    let mut wait = waits.add(&wanted);
    waits.wake(&[elsewhere]);
    let woken = tokio::time::timeout(SHORT, wait.loaded()).await;
    assert!(woken.is_err(), "a copy in another region wakes the reply");
    waits.wake(&[allowed]);
    let woken = tokio::time::timeout(SHORT, wait.loaded()).await;
    assert!(woken.is_ok(), "the allowed copy does not wake the reply");
}
