//! Guards against one request that takes target after target down.

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
async fn a_crashing_request_takes_at_most_two_targets_down(#[case] after_tokens: u64) {
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
    let mut last = String::new();
    for round in 0..8 {
        let answer = call(&fleet, round % 2, "some poison here")
            .await
            .expect("a reply");
        last = answer.text().await.unwrap_or_default();
        assert!(!last.contains("[DONE]"), "{last}");
    }
    assert!(last.contains("request_crashes_targets"), "{last}");
    let mut down = 0;
    for engine in &mut fleet.engines {
        let url = format!("http://{}/fake/v1/record", engine.address());
        down += u32::from(fleet.client.get(url).send().await.is_err());
    }
    assert_eq!(down, 2, "targets that went down");
    // Other requests for the same model are served.
    wait_for(
        "answer of the last engine",
        Duration::from_secs(10),
        async || {
            let answer = call(&fleet, 0, "a harmless prompt").await.ok()?;
            let text = answer.text().await.ok()?;
            text.contains("[DONE]").then_some(())
        },
    )
    .await;
    let answer = call(&fleet, 1, "some poison here").await.expect("a reply");
    let body: Value = answer.json().await.expect("errors are JSON");
    assert_eq!(body["name"], "request_crashes_targets");
}
