//! Tests that a request that crashes targets is blocked before it crashes all of them.

mod harness;

use std::time::Duration;

use harness::{CALLER_KEY, entry_fleet::MODEL, real_fleet::RealFleet, wait_for};
use rstest::rstest;
use serde_json::{Value, json};
use waxwinglatch::fake::Faults;

#[rstest]
#[case::before_the_first_token(0)]
#[case::in_the_stream(5)]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_crashes_at_most_two_targets(#[case] after_tokens: u64) {
    let mut fleet = RealFleet::start(2, &[&[], &[], &[]]).await;
    for engine in &fleet.engines {
        let faults = Faults {
            crash_on: Some("poison".to_owned()),
            crash_after_tokens: after_tokens,
            ..Faults::default()
        };
        engine.set_faults(&fleet.client, &faults).await;
    }
    let call = |fleet: &RealFleet, entry: usize, prompt: &str| {
        let body = json!({ "model": MODEL, "prompt": prompt, "max_tokens": 20, "stream": true });
        let call = fleet.client.post(fleet.url(entry, "/v1/completions"));
        call.bearer_auth(CALLER_KEY).json(&body).send()
    };
    let mut last_text = String::new();
    for round in 0..8 {
        let response = call(&fleet, round % 2, "some poison here")
            .await
            .expect("a reply");
        last_text = response.text().await.unwrap_or_default();
        assert!(!last_text.contains("[DONE]"), "{last_text}");
    }
    assert!(last_text.contains("request_crashes_targets"), "{last_text}");
    let mut crashed = 0;
    for engine in &mut fleet.engines {
        let url = format!("http://{}/fake/v1/record", engine.address());
        crashed += u32::from(fleet.client.get(url).send().await.is_err());
    }
    assert_eq!(crashed, 2, "number of crashed targets");
    // The remaining target serves other requests for the same model.
    wait_for(
        "response of the last engine",
        Duration::from_secs(10),
        async || {
            let response = call(&fleet, 0, "a harmless prompt").await.ok()?;
            let text = response.text().await.ok()?;
            text.contains("[DONE]").then_some(())
        },
    )
    .await;
    let response = call(&fleet, 1, "some poison here").await.expect("a reply");
    let body: Value = response.json().await.expect("errors are JSON");
    assert_eq!(body["name"], "request_crashes_targets");
}
