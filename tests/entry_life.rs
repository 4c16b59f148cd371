//! Guards against requests that are cut, or keys that stay valid, when an entry's state changes.

mod harness;

use std::time::{Duration, Instant};

use harness::{
    CALLER_KEY,
    entry_fleet::{EntryFleet, MODEL, START_LIMIT, expected_tokens, tokens_of},
    stub_control::StubMode,
    wait_for,
};
use reqwest::StatusCode;
use rstest::rstest;
use serde_json::{Value, json};

const PROMPT: &str = "twelve red buckets";

#[derive(Clone, Copy, Debug)]
enum Loss {
    KeyRevoked,
    FreshnessLost,
}

#[rstest]
#[case::revoked(Loss::KeyRevoked, Duration::from_millis(1_000))]
#[case::partitioned(Loss::FreshnessLost, Duration::from_millis(2_300))]
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_ends_with_an_event_when_its_key_lapses(
    #[case] loss: Loss,
    #[case] bound: Duration,
) {
    let fleet = EntryFleet::start(&[&["--token-ms", "10"]]).await;
    let body = json!({
        "model": MODEL, "prompt": PROMPT, "max_tokens": 100_000, "stream": true,
    });
    let mut answer = fleet.completion(&body).send().await.expect("a reply");
    assert!(answer.chunk().await.expect("a first token").is_some());
    match loss {
        Loss::KeyRevoked => fleet.control.change(|config| config.keys.clear()),
        Loss::FreshnessLost => fleet.control.set_mode(StubMode::Silent),
    }
    let lost_at = Instant::now();
    let text = answer.text().await.expect("the stream ends well");
    assert!(lost_at.elapsed() < bound, "{:?}", lost_at.elapsed());
    assert!(text.contains("event: error"), "{text}");
    assert!(text.contains("\"name\":\"key_revoked\""), "{text}");
    assert!(!text.contains("[DONE]"), "{text}");
    let answer = fleet.completion(&body).send().await.expect("a reply");
    let body: Value = answer.json().await.expect("errors are JSON");
    let name = match loss {
        Loss::KeyRevoked => "unknown_key",
        Loss::FreshnessLost => "stale_configuration",
    };
    assert_eq!(body["name"], name);
    assert_eq!(body["not_run"], true);
    let open = fleet.client.get(fleet.url("/open/a")).send().await;
    assert!(
        open.expect("a reply").status().is_success(),
        "open routes stay"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_plain_response_is_aborted_when_its_key_is_revoked() {
    let fleet = EntryFleet::start(&[]).await;
    let mut answer = fleet
        .client
        .get(fleet.url("/stock/a"))
        .bearer_auth(CALLER_KEY)
        .header("x-want-chunked", "4000000000")
        .send()
        .await
        .expect("a reply");
    assert!(answer.chunk().await.expect("a first chunk").is_some());
    fleet.control.change(|config| config.keys.clear());
    let until = Instant::now() + Duration::from_secs(3);
    loop {
        match answer.chunk().await {
            Ok(Some(_)) => assert!(Instant::now() < until, "the response goes on"),
            Ok(None) => panic!("the response ended cleanly"),
            Err(_) => break,
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_waiting_request_is_checked_again_before_it_leaves() {
    let fleet = EntryFleet::with_settings(
        &[&["--token-ms", "10"]],
        |_| {},
        |config| config["targets"][0]["slots"] = json!(1),
    )
    .await;
    let long = json!({ "model": MODEL, "prompt": PROMPT, "max_tokens": 100, "stream": true });
    let long = fleet.completion(&long).send().await.expect("a reply");
    let waiting = fleet
        .completion(&json!({ "model": MODEL, "prompt": "second" }))
        .send();
    let waiting = tokio::spawn(waiting);
    tokio::time::sleep(Duration::from_millis(200)).await;
    // The revision ends the long stream, whose place the waiting request then gets.
    fleet.control.change(|config| config.keys.clear());
    let answer = waiting.await.expect("no panic").expect("a reply");
    assert_eq!(answer.status(), StatusCode::UNAUTHORIZED);
    let body: Value = answer.json().await.expect("errors are JSON");
    assert_eq!(body["not_run"], true);
    drop(long);
    let record = fleet.engines[0].record(&fleet.client).await;
    assert_eq!(
        record.requests.len(),
        1,
        "the second request reached the engine"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_under_load_cuts_no_request() {
    let engine: &[&str] = &["--token-ms", "20", "--slots", "64"];
    let mut fleet = EntryFleet::start(&[engine, engine]).await;
    let body = json!({ "model": MODEL, "prompt": PROMPT, "max_tokens": 60, "stream": true });
    let calls: Vec<_> = (0..30)
        .map(|_| {
            let call = fleet.completion(&body).send();
            tokio::spawn(async move {
                let answer = call.await.expect("a reply");
                assert_eq!(answer.status(), StatusCode::OK);
                answer.text().await.expect("the stream ends well")
            })
        })
        .collect();
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.entry.terminate();
    wait_for("failing readiness", START_LIMIT, async || {
        let answer = fleet.manage("/readyz").await?;
        (answer.status() == StatusCode::SERVICE_UNAVAILABLE).then_some(())
    })
    .await;
    let refused = wait_for("refusal", START_LIMIT, async || {
        let answer = fleet.completion(&body).send().await.ok()?;
        if answer.status() != StatusCode::SERVICE_UNAVAILABLE {
            return None;
        }
        answer.json::<Value>().await.ok()
    })
    .await;
    assert_eq!(refused["name"], "shutting_down");
    assert_eq!(refused["not_run"], true);
    for call in calls {
        let text = call.await.expect("no panic");
        assert_eq!(tokens_of(&text), (expected_tokens(PROMPT, 60), true));
    }
    let code = fleet.entry.exit_code(Duration::from_secs(5)).await;
    assert_eq!(code, Some(0), "{}", fleet.log());
    assert!(fleet.control.leaving_seen(), "the leader was not told");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_second_sigterm_and_the_drain_timeout_end_the_process() {
    for signals in [1, 2] {
        let mut fleet = EntryFleet::with_settings(
            &[&["--token-ms", "20"]],
            |settings| settings["drain_timeout_ms"] = json!(1_500),
            |_| {},
        )
        .await;
        let body = json!({ "model": MODEL, "prompt": PROMPT, "max_tokens": 9_999, "stream": true });
        let mut answer = fleet.completion(&body).send().await.expect("a reply");
        assert!(answer.chunk().await.expect("a first token").is_some());
        let stopped_at = Instant::now();
        for _ in 0..signals {
            fleet.entry.terminate();
            tokio::time::sleep(Duration::from_millis(300)).await;
        }
        let code = fleet.entry.exit_code(Duration::from_secs(6)).await;
        if signals == 2 {
            assert_eq!(code, Some(1));
            assert!(stopped_at.elapsed() < Duration::from_millis(1_400));
        } else {
            assert_eq!(code, Some(0));
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn metrics_tell_what_happened() {
    let fleet = EntryFleet::start(&[&[]]).await;
    for _ in 0..3 {
        let text = fleet.stream_text(PROMPT, 5).await;
        assert!(tokens_of(&text).1);
    }
    let refused = fleet.client.get(fleet.url("/stock/a")).send().await;
    assert_eq!(refused.expect("a reply").status(), StatusCode::UNAUTHORIZED);
    let text = fleet.manage("/metrics").await.expect("a reply");
    let text = text.text().await.expect("text");
    for line in [
        "waxwing_requests_total{code=\"ok\",route=\"v1\",team=\"counter\"} 3",
        "waxwing_requests_total{code=\"missing_key\",route=\"-\",team=\"-\"} 1",
        "waxwing_attainment_total{met=\"true\",target=\"first_token\"} 3",
        "waxwing_attainment_total{met=\"true\",target=\"inter_token\"} 3",
        "waxwing_upstream_requests_total 3",
        "waxwing_upstream_connections_total 1",
        "waxwing_queue_seconds_count{route=\"v1\"} 3",
    ] {
        assert!(text.contains(line), "{line} is missing in {text}");
    }
    let health = fleet.manage("/healthz").await.expect("a reply");
    assert!(health.status().is_success());
}
