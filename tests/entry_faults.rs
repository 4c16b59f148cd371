//! Guards against wrong, doubled, lost or falsely reported responses when targets fail.

mod harness;

use std::{collections::HashMap, time::Duration};

use harness::{
    CALLER_KEY,
    entry_fleet::{EntryFleet, MODEL, START_LIMIT, expected_tokens, tokens_of},
    wait_for,
};
use rstest::rstest;
use serde_json::{Value, json};
use waxwinglatch::fake::{Faults, RequestState};

const PROMPT: &str = "twelve red buckets";

fn faults(change: impl FnOnce(&mut Faults)) -> Faults {
    let mut faults = Faults::default();
    change(&mut faults);
    faults
}

/// Sets the same faults at every engine.
async fn set_all(fleet: &EntryFleet, faults: &Faults) {
    for engine in &fleet.engines {
        engine.set_faults(&fleet.client, faults).await;
    }
}

#[rstest]
#[case::cut_before_the_first_token(faults(|it| { it.cuts = 1; it.cut_after_tokens = 0; }))]
#[case::cut_after_some(faults(|it| { it.cuts = 1; it.cut_after_tokens = 7; }))]
#[case::cut_before_the_end_mark(faults(|it| { it.cuts = 1; it.cut_after_tokens = 40; }))]
#[case::stall(faults(|it| { it.stalls = 1; it.stall_after_tokens = 5; }))]
#[tokio::test(flavor = "multi_thread")]
async fn a_broken_stream_is_resumed_without_a_doubled_or_lost_token(#[case] fault: Faults) {
    let shorter = |config: &mut Value| config["routes"][0]["timeout_ms"] = json!(600);
    let fleet = EntryFleet::with_settings(&[&[], &[]], |_| {}, shorter).await;
    // Only the first attempt meets the fault, whichever engine it goes to.
    set_all(&fleet, &fault).await;
    let text = fleet.stream_text(PROMPT, 40).await;
    let (tokens, is_ended) = tokens_of(&text);
    assert!(is_ended, "{text}");
    assert_eq!(tokens, expected_tokens(PROMPT, 40));
    let mut calls = 0;
    for engine in &fleet.engines {
        calls += engine.record(&fleet.client).await.requests.len();
    }
    assert_eq!(calls, 2, "one attempt and one resume");
}

#[rstest]
#[case::cut(&[], faults(|it| { it.cuts = 1; it.cut_after_tokens = 7; }))]
#[case::cut_in_a_whole_fleet_without_resume(&["--resume", "off"], faults(|it| { it.cuts = 1; it.cut_after_tokens = 7; }))]
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_ends_whole_or_with_an_error_event(
    #[case] arguments: &[&str],
    #[case] fault: Faults,
) {
    let fleet = EntryFleet::start(&[arguments, arguments]).await;
    let text = fleet.stream_text("warm up", 2).await;
    assert!(tokens_of(&text).1, "{text}");
    fleet.engines[0].set_faults(&fleet.client, &fault).await;
    let mut resumed = 0;
    for _ in 0..6 {
        let text = fleet.stream_text(PROMPT, 20).await;
        let (tokens, is_ended) = tokens_of(&text);
        let expected = expected_tokens(PROMPT, 20);
        if is_ended {
            assert_eq!(tokens, expected);
            resumed += 1;
        } else {
            assert!(arguments.contains(&"off"), "{text}");
            assert!(text.contains("event: error"), "{text}");
            assert!(text.contains("\"not_run\":false"), "{text}");
            assert_eq!(tokens, expected[..7]);
        }
    }
    assert!(resumed > 0, "no stream ended well");
}

#[tokio::test(flavor = "multi_thread")]
async fn another_requests_answer_is_an_error_and_its_connection_is_not_used_again() {
    let fleet = EntryFleet::start(&[]).await;
    let call = || {
        let call = fleet.client.post(fleet.url("/stock/a"));
        call.bearer_auth(CALLER_KEY).body("x").send()
    };
    assert!(call().await.expect("a reply").status().is_success());
    let fault = faults(|it| it.wrong_ids = 1);
    fleet.service.set_faults(&fleet.client, &fault).await;
    let answer = call().await.expect("a reply");
    let body: Value = answer.json().await.expect("errors are JSON");
    assert_eq!(body["name"], "answer_mismatch", "{body}");
    assert_eq!(body["not_run"], false);
    fleet
        .service
        .set_faults(&fleet.client, &Faults::default())
        .await;
    assert!(call().await.expect("a reply").status().is_success());
    let record = fleet.service.record(&fleet.client).await;
    let remotes: Vec<&String> = record.requests.iter().map(|seen| &seen.remote).collect();
    assert_eq!(
        remotes[0], remotes[1],
        "connections are reused: {remotes:?}"
    );
    assert_ne!(remotes[1], remotes[2], "the connection was used again");
}

#[rstest]
#[case::refused_by_all(faults(|it| it.refusals = 1_000), "target_refused", true)]
#[case::short_response(faults(|it| it.short_bodies = 1_000), "answer_cut", false)]
#[case::late(faults(|it| it.late_ms = 3_000), "target_timeout", false)]
#[case::wrong_id(faults(|it| it.wrong_ids = 1_000), "answer_mismatch", false)]
#[tokio::test(flavor = "multi_thread")]
async fn a_failure_says_whether_the_request_can_have_run(
    #[case] fault: Faults,
    #[case] name: &str,
    #[case] not_run: bool,
) {
    let shorter = |config: &mut Value| config["routes"][0]["timeout_ms"] = json!(500);
    let fleet = EntryFleet::with_settings(&[&[], &[]], |_| {}, shorter).await;
    set_all(&fleet, &fault).await;
    let body = json!({ "model": MODEL, "prompt": PROMPT });
    let answer = fleet.completion(&body).send().await.expect("a reply");
    let body: Value = answer.json().await.expect("errors are JSON");
    assert_eq!(body["name"], name, "{body}");
    assert_eq!(body["not_run"], not_run, "{body}");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unreachable_target_is_not_run_and_another_one_serves() {
    let mut fleet = EntryFleet::start(&[&[], &[]]).await;
    fleet.engines[0].process.kill();
    let body = json!({ "model": MODEL, "prompt": PROMPT });
    for _ in 0..5 {
        let answer = fleet.completion(&body).send().await.expect("a reply");
        assert!(answer.status().is_success(), "{:?}", answer.text().await);
    }
    fleet.engines[1].process.kill();
    let answer = fleet.completion(&body).send().await.expect("a reply");
    let body: Value = answer.json().await.expect("errors are JSON");
    assert_eq!(body["not_run"], true, "{body}");
}

#[tokio::test(flavor = "multi_thread")]
async fn not_run_agrees_with_the_records_of_the_targets() {
    let mut fleet = EntryFleet::start(&[&["--slots", "4"], &["--slots", "4"]]).await;
    let fault = faults(|it| {
        it.refusals = 20;
        it.short_bodies = 10;
        it.wrong_ids = 10;
    });
    set_all(&fleet, &fault).await;
    let mut told: HashMap<String, bool> = HashMap::new();
    for round in 0..2 {
        let body = json!({ "model": MODEL, "prompt": PROMPT });
        let calls = (0..40).map(|_| fleet.completion(&body).send());
        for answer in futures::future::join_all(calls).await {
            let answer = answer.expect("the entry replies");
            let id = answer.headers()["x-request-id"].to_str().expect("an id");
            let id = id.to_owned();
            let failed = !answer.status().is_success();
            let body: Value = answer.json().await.expect("JSON");
            if failed {
                let not_run = body["not_run"].as_bool().expect("a truth value");
                told.insert(id, not_run);
            }
        }
        if round == 0 {
            fleet.engines[1].process.kill();
        }
    }
    let record = fleet.engines[0].record(&fleet.client).await;
    let false_claims: Vec<_> = record
        .requests
        .iter()
        .filter(|seen| told.get(&seen.id) == Some(&true))
        .filter(|seen| !matches!(seen.state, RequestState::Received | RequestState::Refused))
        .collect();
    assert!(
        false_claims.is_empty(),
        "ran, but told not run: {false_claims:?}"
    );
    assert!(told.values().any(|not_run| *not_run), "no refusal was told");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_who_leaves_cancels_the_request_at_the_engine() {
    let fleet = EntryFleet::start(&[&["--token-ms", "20"]]).await;
    let body = json!({
        "model": MODEL, "prompt": PROMPT, "max_tokens": 10_000, "stream": true,
    });
    let mut answer = fleet.completion(&body).send().await.expect("a reply");
    assert!(answer.chunk().await.expect("a first token").is_some());
    drop(answer);
    wait_for("cancelled request", START_LIMIT, async || {
        let record = fleet.engines[0].record(&fleet.client).await;
        (record.requests[0].state == RequestState::Broken).then_some(())
    })
    .await;
    // The slot at the entry is free again as well.
    wait_for("idle entry", Duration::from_secs(5), async || {
        let text = fleet.manage("/metrics").await?.text().await.ok()?;
        text.contains("waxwing_in_flight 0").then_some(())
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn retries_stay_within_their_budget() {
    let fleet = EntryFleet::start(&[&[], &[]]).await;
    let fault = faults(|it| it.refusals = 1_000_000);
    set_all(&fleet, &fault).await;
    let body = json!({ "model": MODEL, "prompt": PROMPT });
    for _ in 0..100 {
        let _ = fleet.completion(&body).send().await.expect("a reply");
    }
    let mut sent = 0;
    for engine in &fleet.engines {
        sent += engine.record(&fleet.client).await.requests.len();
    }
    // 10% of the traffic and the floor of a quiet team.
    assert!(sent <= 100 + 10 + 10, "{sent} sends for 100 requests");
}
