//! Tests that failing targets cause no wrong, duplicated or lost responses, and that errors report
//! correctly whether a request ran.

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

/// Injects the same faults into every engine.
async fn inject_all(fleet: &EntryFleet, faults: &Faults) {
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
async fn a_broken_stream_is_resumed_without_duplicated_or_lost_tokens(#[case] fault: Faults) {
    let set_timeout = |config: &mut Value| config["routes"][0]["timeout_ms"] = json!(600);
    let fleet = EntryFleet::with_settings(&[&[], &[]], |_| {}, set_timeout).await;
    // The fault affects the first attempt, whichever engine it is routed to.
    inject_all(&fleet, &fault).await;
    let text = fleet.stream_text(PROMPT, 40).await;
    let (tokens, is_ended) = tokens_of(&text);
    assert!(is_ended, "{text}");
    assert_eq!(tokens, expected_tokens(PROMPT, 40));
    let mut attempts = 0;
    for engine in &fleet.engines {
        attempts += engine.record(&fleet.client).await.requests.len();
    }
    assert_eq!(attempts, 2, "one attempt and one resume");
}

#[rstest]
#[case::cut(&[], faults(|it| { it.cuts = 1; it.cut_after_tokens = 7; }))]
#[case::cut_without_resume_support(&["--resume", "off"], faults(|it| { it.cuts = 1; it.cut_after_tokens = 7; }))]
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_ends_complete_or_with_an_error_event(
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
    assert!(resumed > 0, "no stream was completed");
}

/// Guards against a response whose text is joined from two versions of the engines' software (ORDER).
#[rstest]
#[case::other_version_only(&["v1", "v2"], false)]
#[case::same_version_too(&["v1", "v2", "v1", "v2"], true)]
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_is_resumed_only_at_the_version_that_began_it(
    #[case] versions: &[&str],
    #[case] is_resumed: bool,
) {
    let arguments: Vec<[&str; 2]> = versions.iter().map(|name| ["--software", name]).collect();
    let arguments: Vec<&[&str]> = arguments.iter().map(<[&str; 2]>::as_slice).collect();
    let fleet = EntryFleet::start(&arguments).await;
    let text = fleet.stream_text("warm up", 2).await;
    assert!(tokens_of(&text).1, "{text}");
    let fault = faults(|it| {
        it.cuts = 1;
        it.cut_after_tokens = 7;
    });
    inject_all(&fleet, &fault).await;
    let text = fleet.stream_text(PROMPT, 20).await;
    let (tokens, is_ended) = tokens_of(&text);
    assert_eq!(is_ended, is_resumed, "{text}");
    let expected = expected_tokens(PROMPT, 20);
    if is_resumed {
        assert_eq!(tokens, expected);
    } else {
        assert_eq!(tokens, expected[..7]);
        assert!(text.contains("event: error"), "{text}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_mismatched_response_is_an_error_and_its_connection_is_discarded() {
    let fleet = EntryFleet::start(&[]).await;
    let call = || {
        let request = fleet.client.post(fleet.url("/stock/a"));
        request.bearer_auth(CALLER_KEY).body("x").send()
    };
    assert!(call().await.expect("a reply").status().is_success());
    let fault = faults(|it| it.wrong_ids = 1);
    fleet.service.set_faults(&fleet.client, &fault).await;
    let response = call().await.expect("a reply");
    let body: Value = response.json().await.expect("errors are JSON");
    assert_eq!(body["name"], "answer_mismatch", "{body}");
    assert_eq!(body["not_run"], false);
    fleet
        .service
        .set_faults(&fleet.client, &Faults::default())
        .await;
    assert!(call().await.expect("a reply").status().is_success());
    let record = fleet.service.record(&fleet.client).await;
    let remotes: Vec<&String> = record.requests.iter().map(|call| &call.remote).collect();
    assert_eq!(
        remotes[0], remotes[1],
        "a connection was not reused: {remotes:?}"
    );
    assert_ne!(
        remotes[1], remotes[2],
        "the connection of the mismatched response was reused"
    );
}

#[rstest]
#[case::refused_by_all(faults(|it| it.refusals = 1_000), "target_refused", true)]
#[case::short_response(faults(|it| it.short_bodies = 1_000), "answer_cut", false)]
#[case::late(faults(|it| it.late_ms = 3_000), "target_timeout", false)]
#[case::wrong_id(faults(|it| it.wrong_ids = 1_000), "answer_mismatch", false)]
#[tokio::test(flavor = "multi_thread")]
async fn an_error_reports_whether_the_request_may_have_run(
    #[case] fault: Faults,
    #[case] name: &str,
    #[case] not_run: bool,
) {
    let set_timeout = |config: &mut Value| config["routes"][0]["timeout_ms"] = json!(500);
    let fleet = EntryFleet::with_settings(&[&[], &[]], |_| {}, set_timeout).await;
    inject_all(&fleet, &fault).await;
    let body = json!({ "model": MODEL, "prompt": PROMPT });
    let response = fleet.completion(&body).send().await.expect("a reply");
    let body: Value = response.json().await.expect("errors are JSON");
    assert_eq!(body["name"], name, "{body}");
    assert_eq!(body["not_run"], not_run, "{body}");
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_avoid_an_unreachable_target_and_are_not_run_without_any() {
    let mut fleet = EntryFleet::start(&[&[], &[]]).await;
    fleet.engines[0].process.kill();
    let body = json!({ "model": MODEL, "prompt": PROMPT });
    for _ in 0..5 {
        let response = fleet.completion(&body).send().await.expect("a reply");
        assert!(
            response.status().is_success(),
            "{:?}",
            response.text().await
        );
    }
    fleet.engines[1].process.kill();
    let response = fleet.completion(&body).send().await.expect("a reply");
    let body: Value = response.json().await.expect("errors are JSON");
    assert_eq!(body["not_run"], true, "{body}");
}

#[tokio::test(flavor = "multi_thread")]
async fn not_run_matches_the_records_of_the_targets() {
    let mut fleet = EntryFleet::start(&[&["--slots", "4"], &["--slots", "4"]]).await;
    let fault = faults(|it| {
        it.refusals = 20;
        it.short_bodies = 10;
        it.wrong_ids = 10;
    });
    inject_all(&fleet, &fault).await;
    let mut reported: HashMap<String, bool> = HashMap::new();
    for round in 0..2 {
        let body = json!({ "model": MODEL, "prompt": PROMPT });
        let calls = (0..40).map(|_| fleet.completion(&body).send());
        for response in futures::future::join_all(calls).await {
            let response = response.expect("the entry replies");
            let id = response.headers()["x-request-id"].to_str().expect("an id");
            let id = id.to_owned();
            let is_error = !response.status().is_success();
            let body: Value = response.json().await.expect("JSON");
            if is_error {
                let not_run = body["not_run"].as_bool().expect("a boolean");
                reported.insert(id, not_run);
            }
        }
        if round == 0 {
            fleet.engines[1].process.kill();
        }
    }
    let record = fleet.engines[0].record(&fleet.client).await;
    let false_reports: Vec<_> = record
        .requests
        .iter()
        .filter(|call| reported.get(&call.id) == Some(&true))
        .filter(|call| !matches!(call.state, RequestState::Received | RequestState::Refused))
        .collect();
    assert!(
        false_reports.is_empty(),
        "reported as not run, but ran: {false_reports:?}"
    );
    assert!(
        reported.values().any(|not_run| *not_run),
        "no request was reported as not run"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_disconnect_of_the_caller_cancels_the_request_at_the_engine() {
    let fleet = EntryFleet::start(&[&["--token-ms", "20"]]).await;
    let body = json!({
        "model": MODEL, "prompt": PROMPT, "max_tokens": 10_000, "stream": true,
    });
    let mut response = fleet.completion(&body).send().await.expect("a reply");
    assert!(response.chunk().await.expect("a first token").is_some());
    drop(response);
    wait_for("cancelled request", START_LIMIT, async || {
        let record = fleet.engines[0].record(&fleet.client).await;
        (record.requests[0].state == RequestState::Broken).then_some(())
    })
    .await;
    // The entry no longer counts the request as in flight.
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
    inject_all(&fleet, &fault).await;
    let body = json!({ "model": MODEL, "prompt": PROMPT });
    for _ in 0..100 {
        let _ = fleet.completion(&body).send().await.expect("a reply");
    }
    let mut sent = 0;
    for engine in &fleet.engines {
        sent += engine.record(&fleet.client).await.requests.len();
    }
    // The retry budget is 10% of the traffic and a minimum for teams with little traffic.
    assert!(sent <= 100 + 10 + 10, "{sent} attempts for 100 requests");
}
