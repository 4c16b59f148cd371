//! Tests that a message of chats that crashes engines is blocked, whatever else the chats hold.

mod harness;

use std::time::Duration;

use harness::{CALLER_KEY, entry_fleet::MODEL, real_fleet::RealFleet};
use serde_json::{Value, json};
use waxwinglatch::fake::Faults;

/// Time in which a block begins after the crashes that cause it.
const BLOCK_TIME: Duration = Duration::from_secs(3);

/// Guards against issue 27 at entries: chats with one message in common crashed engine after engine,
/// since no two of them were the same request.
#[tokio::test(flavor = "multi_thread")]
async fn a_message_that_crashes_engines_is_blocked_in_other_chats() {
    let mut fleet = RealFleet::start(2, &[&[], &[], &[], &[], &[], &[]]).await;
    for engine in &fleet.engines {
        let faults = Faults {
            crash_on: Some("poison".to_owned()),
            ..Faults::default()
        };
        engine.set_faults(&fleet.client, &faults).await;
    }
    let call = async |entry: usize, system: &str, user: &str| {
        let messages = json!([
            { "role": "system", "content": "be brief" },
            { "role": "system", "content": system },
            { "role": "user", "content": user },
        ]);
        let body = json!({ "model": MODEL, "messages": messages, "max_tokens": 5, "stream": true });
        let call = fleet.client.post(fleet.url(entry, "/v1/chat/completions"));
        let response = call.bearer_auth(CALLER_KEY).json(&body).send().await;
        response.expect("a reply").text().await.unwrap_or_default()
    };
    for number in 0..3 {
        let text = call(number % 2, "nothing special", &format!("question {number}")).await;
        assert!(text.contains("[DONE]"), "{text}");
        let text = call(
            number % 2,
            "some poison here",
            &format!("question {number}"),
        )
        .await;
        assert!(!text.contains("[DONE]"), "{text}");
    }
    tokio::time::sleep(BLOCK_TIME).await;
    for number in 3..7 {
        let text = call(
            number % 2,
            "some poison here",
            &format!("question {number}"),
        )
        .await;
        let error: Value = serde_json::from_str(&text).expect("errors are JSON");
        assert_eq!(error["name"], "request_crashes_targets", "{text}");
        // The other messages are sound.
        let text = call(number % 2, "nothing special", &format!("question {number}")).await;
        assert!(text.contains("[DONE]"), "{text}");
    }
    let mut crashed = 0;
    for engine in &mut fleet.engines {
        let url = format!("http://{}/fake/v1/record", engine.address());
        crashed += u32::from(fleet.client.get(url).send().await.is_err());
    }
    assert_eq!(crashed, 3, "number of crashed engines");
}
