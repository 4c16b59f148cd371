//! Tests that a claimed request, which may run at most once, is never run twice.

mod harness;

use std::time::Duration;

use harness::{CALLER_KEY, real_fleet::RealFleet, wait_for};
use reqwest::{RequestBuilder, Response};
use rstest::rstest;
use serde_json::Value;
use uuid::{NoContext, Timestamp, Uuid};
use waxwinglatch::fake::Faults;

/// Maximum wait for the control daemon to detect the loss of an entry.
const LOSS_TIMEOUT: Duration = Duration::from_secs(30);

fn order(fleet: &RealFleet, entry: usize, key: &str, body: &'static str) -> RequestBuilder {
    fleet
        .client
        .post(fleet.url(entry, "/orders/a"))
        .bearer_auth(CALLER_KEY)
        .header("idempotency-key", key)
        .header("x-reservation", key)
        .body(body)
}

async fn error_name(response: Response) -> String {
    let body: Value = response.json().await.expect("errors are JSON");
    body["name"].as_str().unwrap_or_default().to_owned()
}

async fn run_count(fleet: &RealFleet, key: &str) -> u64 {
    let record = fleet.service.record(&fleet.client).await;
    record.runs.get(key).copied().unwrap_or_default()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_resend_at_another_entry_gets_the_recorded_response() {
    let fleet = RealFleet::start(2, &[]).await;
    let key = Uuid::now_v7().to_string();
    let first = order(&fleet, 0, &key, "two").send().await.expect("a reply");
    assert!(first.status().is_success());
    let first = first.text().await.expect("a body");
    for entry in [0, 1, 1] {
        let resent = order(&fleet, entry, &key, "two")
            .send()
            .await
            .expect("a reply");
        assert_eq!(resent.headers()["idempotent-replayed"], "true");
        assert_eq!(resent.headers()["content-type"], "application/json");
        assert_eq!(resent.text().await.expect("a body"), first);
    }
    let other = order(&fleet, 1, &key, "three")
        .send()
        .await
        .expect("a reply");
    assert_eq!(error_name(other).await, "idempotency_key_reused");
    assert_eq!(run_count(&fleet, &key).await, 1);
}

#[rstest]
#[case::missing(None, "idempotency_key_missing")]
#[case::no_uuid(Some("order-12".to_owned()), "idempotency_key_invalid")]
#[case::version_4(Some("1b4e28ba-2fa1-4d3b-a3f5-ef19b5a7633b".to_owned()), "idempotency_key_invalid")]
#[case::expired(
    Some(Uuid::new_v7(Timestamp::from_unix(NoContext, 1_600_000_000, 0)).to_string()),
    "idempotency_key_expired"
)]
#[tokio::test(flavor = "multi_thread")]
async fn a_key_that_cannot_be_claimed_is_refused(#[case] key: Option<String>, #[case] name: &str) {
    let fleet = RealFleet::start(1, &[]).await;
    let mut call = fleet.client.post(fleet.url(0, "/orders/a"));
    call = call.bearer_auth(CALLER_KEY).header("x-reservation", "x");
    if let Some(key) = key {
        call = call.header("idempotency-key", key);
    }
    let response = call.body("two").send().await.expect("a reply");
    assert_eq!(error_name(response).await, name);
    assert_eq!(run_count(&fleet, "x").await, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_claim_of_a_killed_entry_has_an_unknown_outcome_and_one_run() {
    let mut fleet = RealFleet::start(2, &[]).await;
    let delay = Faults {
        late_ms: 1_500,
        ..Faults::default()
    };
    fleet.service.set_faults(&fleet.client, &delay).await;
    let key = Uuid::now_v7().to_string();
    let running = tokio::spawn(order(&fleet, 0, &key, "two").send());
    tokio::time::sleep(Duration::from_millis(500)).await;
    let resent = order(&fleet, 1, &key, "two").send().await.expect("a reply");
    assert_eq!(error_name(resent).await, "in_progress");
    fleet.entries[0].1.kill();
    assert!(running.await.expect("no panic").is_err());
    let name = wait_for("unknown outcome", LOSS_TIMEOUT, async || {
        let resent = order(&fleet, 1, &key, "two").send().await.ok()?;
        let name = error_name(resent).await;
        (name != "in_progress").then_some(name)
    })
    .await;
    assert_eq!(name, "outcome_unknown");
    assert!(run_count(&fleet, &key).await <= 1, "the order ran twice");
}

#[tokio::test(flavor = "multi_thread")]
async fn the_outcome_is_recorded_after_the_caller_disconnects() {
    let fleet = RealFleet::start(1, &[]).await;
    let delay = Faults {
        late_ms: 800,
        ..Faults::default()
    };
    fleet.service.set_faults(&fleet.client, &delay).await;
    let key = Uuid::now_v7().to_string();
    let call = order(&fleet, 0, &key, "two").timeout(Duration::from_millis(300));
    assert!(call.send().await.is_err());
    wait_for("recorded response", LOSS_TIMEOUT, async || {
        let resent = order(&fleet, 0, &key, "two").send().await.ok()?;
        resent.headers().get("idempotent-replayed").map(drop)
    })
    .await;
    assert_eq!(run_count(&fleet, &key).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_shutdown_waits_for_a_claimed_request_whose_caller_disconnected() {
    let mut fleet = RealFleet::start(2, &[]).await;
    let delay = Faults {
        late_ms: 1_500,
        ..Faults::default()
    };
    fleet.service.set_faults(&fleet.client, &delay).await;
    let key = Uuid::now_v7().to_string();
    let call = order(&fleet, 0, &key, "two").timeout(Duration::from_millis(300));
    assert!(call.send().await.is_err());
    fleet.entries[0].1.terminate();
    let code = fleet.entries[0].1.exit_code(Duration::from_secs(10)).await;
    assert_eq!(code, Some(0));
    let resent = order(&fleet, 1, &key, "two").send().await.expect("a reply");
    assert_eq!(resent.headers()["idempotent-replayed"], "true");
    assert_eq!(run_count(&fleet, &key).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_claim_of_a_refused_request_is_released() {
    let fleet = RealFleet::start(2, &[]).await;
    let refusal = Faults {
        refusals: 1,
        ..Faults::default()
    };
    fleet.service.set_faults(&fleet.client, &refusal).await;
    let key = Uuid::now_v7().to_string();
    let first = order(&fleet, 0, &key, "two").send().await.expect("a reply");
    assert_eq!(error_name(first).await, "target_refused");
    wait_for("run after the release", LOSS_TIMEOUT, async || {
        let resent = order(&fleet, 1, &key, "two").send().await.ok()?;
        resent.status().is_success().then_some(())
    })
    .await;
    assert_eq!(run_count(&fleet, &key).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_truncated_response_has_an_unknown_outcome() {
    let fleet = RealFleet::start(2, &[]).await;
    let truncation = Faults {
        short_bodies: 1,
        ..Faults::default()
    };
    fleet.service.set_faults(&fleet.client, &truncation).await;
    let key = Uuid::now_v7().to_string();
    let first = order(&fleet, 0, &key, "two").send().await.expect("a reply");
    assert_eq!(error_name(first).await, "answer_cut");
    let resent = order(&fleet, 1, &key, "two").send().await.expect("a reply");
    assert_eq!(error_name(resent).await, "outcome_unknown");
    assert_eq!(run_count(&fleet, &key).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_claimed_request_is_not_sent_without_a_leader() {
    let mut fleet = RealFleet::start(1, &[]).await;
    fleet.control.kill();
    let key = Uuid::now_v7().to_string();
    let response = order(&fleet, 0, &key, "two").send().await.expect("a reply");
    let body: Value = response.json().await.expect("errors are JSON");
    assert!(
        ["claim_unavailable", "stale_configuration"].contains(&body["name"].as_str().unwrap_or("")),
        "{body}"
    );
    assert_eq!(body["not_run"], true);
    assert_eq!(run_count(&fleet, &key).await, 0);
}
