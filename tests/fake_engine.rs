//! Guards against stand-in engines that hide the faults they are there to show.

mod harness;

use std::time::{Duration, Instant};

use harness::{
    entry_fleet::{MODEL, START_LIMIT, StandIn, expected_tokens, tokens_of},
    wait_for,
};
use reqwest::Client;
use rstest::rstest;
use serde_json::{Value, json};
use waxwinglatch::fake::{Faults, RequestState};

async fn start(arguments: &[&str]) -> (Client, StandIn) {
    let client = waxwinglatch::client::http_client().expect("a client can be built");
    let engine = StandIn::start("engine", arguments);
    engine.wait(&client).await;
    (client, engine)
}

async fn post(client: &Client, engine: &StandIn, path: &str, body: &Value) -> reqwest::Response {
    let url = format!("http://{}{path}", engine.address());
    let answer = client.post(url).json(body).send().await;
    answer.expect("the engine replies")
}

async fn get(client: &Client, engine: &StandIn, path: &str) -> Value {
    let url = format!("http://{}{path}", engine.address());
    let answer = client.get(url).send().await.expect("the engine replies");
    answer.json().await.expect("the body is JSON")
}

async fn order(
    client: &Client,
    engine: &StandIn,
    fencing: u64,
    kind: &str,
    copy: [u64; 3],
) -> Value {
    let [first, span, memory] = copy;
    let mut action = json!({});
    action[kind] = json!({
        "model": format!("model-{first}-{memory}"), "version": "1", "first_accelerator": first,
        "span": span, "memory_mib": memory, "ready": false,
    });
    let order = json!({ "fencing": fencing, "action": action });
    let answer = post(client, engine, "/engine/v1/order", &order).await;
    answer.json().await.expect("the body is JSON")
}

#[rstest]
#[case::carried_out("off", "accepted", [900, 1_500])]
#[case::refused("on", "no_memory", [900, 900])]
#[tokio::test(flavor = "multi_thread")]
async fn memory_is_accounted_per_accelerator(
    #[case] check: &str,
    #[case] reply: &str,
    #[case] max_used: [u64; 2],
) {
    let arguments = [
        "--accelerators",
        "2",
        "--memory-mib",
        "1000",
        "--check-memory",
        check,
    ];
    let (client, engine) = start(&arguments).await;
    assert_eq!(
        order(&client, &engine, 1, "load", [0, 2, 900]).await,
        "accepted"
    );
    assert_eq!(order(&client, &engine, 2, "load", [1, 1, 600]).await, reply);
    assert_eq!(
        order(&client, &engine, 3, "unload", [0, 2, 900]).await,
        "accepted"
    );
    assert_eq!(
        order(&client, &engine, 4, "load", [0, 1, 100]).await,
        "accepted"
    );
    let record = engine.record(&client).await;
    assert_eq!(
        record.max_used_mib, max_used,
        "the maximum stays after an unload"
    );
}

#[rstest]
#[case::checked("on", "old_fencing")]
#[case::ignored("off", "accepted")]
#[tokio::test(flavor = "multi_thread")]
async fn fencing_is_checked_or_ignored(#[case] check: &str, #[case] reply: &str) {
    let (client, engine) = start(&["--check-fencing", check]).await;
    assert_eq!(
        order(&client, &engine, 5, "load", [0, 1, 100]).await,
        "accepted"
    );
    assert_eq!(order(&client, &engine, 4, "load", [0, 1, 200]).await, reply);
    let report = get(&client, &engine, "/engine/v1/report").await;
    assert_eq!(report["last_fencing"], 5);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_order_takes_its_time_and_reports_lag() {
    let (client, engine) = start(&["--load-ms", "300", "--report-lag-ms", "400"]).await;
    let before = get(&client, &engine, "/engine/v1/report").await;
    let started = Instant::now();
    assert_eq!(
        order(&client, &engine, 1, "load", [0, 1, 100]).await,
        "accepted"
    );
    let lagging = get(&client, &engine, "/engine/v1/report").await;
    if started.elapsed() < Duration::from_millis(300) {
        assert_eq!(lagging, before, "a report is as old as the option says");
    }
    wait_for("loaded copy", START_LIMIT, async || {
        let report = get(&client, &engine, "/engine/v1/report").await;
        (report["copies"][0]["ready"] == true && report["in_progress"].is_null()).then_some(())
    })
    .await;
    assert!(started.elapsed() >= Duration::from_millis(300));
}

#[tokio::test(flavor = "multi_thread")]
async fn the_internal_queue_serves_higher_priorities_first() {
    let (client, engine) = start(&["--slots", "1", "--token-ms", "30"]).await;
    engine.load_model(&client).await;
    let mut calls = Vec::new();
    for (name, priority) in [("first", 0), ("low", 1), ("high", 9)] {
        let url = format!("http://{}/v1/completions", engine.address());
        let body = json!({ "model": MODEL, "prompt": name, "max_tokens": 5 });
        let call = client.post(url).header("x-priority", priority).json(&body);
        calls.push(tokio::spawn(async move {
            let ended = call.send().await.expect("a reply").bytes().await;
            ended.expect("a body");
            (Instant::now(), name)
        }));
        tokio::time::sleep(Duration::from_millis(30)).await;
    }
    let mut ends = Vec::new();
    for call in calls {
        ends.push(call.await.expect("no panic"));
    }
    ends.sort_unstable();
    let names: Vec<&str> = ends.into_iter().map(|(_, name)| name).collect();
    assert_eq!(names, ["first", "high", "low"]);
}

#[rstest]
#[case::all("0", [1, 2, 3, 4])]
#[case::with_gaps("3", [1, 2, 4, 5])]
#[tokio::test(flavor = "multi_thread")]
async fn cache_events_are_late_and_have_gaps(#[case] gap: &str, #[case] expected: [u64; 4]) {
    let (client, engine) = start(&["--event-gap", gap, "--event-delay-ms", "300"]).await;
    engine.load_model(&client).await;
    let prompt = "x".repeat(64 * 5);
    let body = json!({ "model": MODEL, "prompt": prompt, "max_tokens": 1 });
    let cached = async || {
        let answer = post(&client, &engine, "/v1/completions", &body).await;
        answer.headers()["x-cached-tokens"].clone()
    };
    assert_eq!(cached().await, "0");
    assert_eq!(cached().await, "80");
    let early = get(&client, &engine, "/engine/v1/events?after=0").await;
    assert_eq!(early["events"], json!([]), "events come late");
    let events = wait_for("events", START_LIMIT, async || {
        let events = get(&client, &engine, "/engine/v1/events?after=0").await;
        let events = events["events"].as_array()?.clone();
        (events.len() >= 4).then_some(events)
    })
    .await;
    let numbers: Vec<u64> = events
        .iter()
        .filter_map(|event| event["sequence"].as_u64())
        .take(4)
        .collect();
    assert_eq!(numbers, expected);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_is_resumed_at_its_offset_and_cancelled_by_its_id() {
    let (client, engine) = start(&["--token-ms", "10"]).await;
    engine.load_model(&client).await;
    let request =
        json!({ "model": MODEL, "prompt": "one two three", "max_tokens": 8, "stream": true });
    let resume = json!({ "path": "/v1/completions", "offset": 5, "request": request });
    let answer = post(&client, &engine, "/engine/v1/resume", &resume).await;
    assert_eq!(answer.headers()["x-resume-offset"], "5");
    let (tokens, is_ended) = tokens_of(&answer.text().await.expect("a body"));
    assert!(is_ended);
    assert_eq!(tokens, expected_tokens("one two three", 8)[5..]);
    let url = format!("http://{}/v1/completions", engine.address());
    let long = json!({ "model": MODEL, "prompt": "one", "max_tokens": 9_999, "stream": true });
    let call = client.post(url).header("x-request-id", "long").json(&long);
    let answer = call.send().await.expect("a reply");
    let cancel = json!({ "request_id": "long" });
    let cancelled = post(&client, &engine, "/engine/v1/cancel", &cancel).await;
    assert!(cancelled.status().is_success());
    let (_, is_ended) = tokens_of(&answer.text().await.expect("a body"));
    assert!(!is_ended, "a cancelled stream has no end mark");
}

#[tokio::test(flavor = "multi_thread")]
async fn the_record_tells_refused_from_started_requests() {
    let (client, engine) = start(&[]).await;
    engine.load_model(&client).await;
    let faults = Faults {
        refusals: 1,
        ..Faults::default()
    };
    engine.set_faults(&client, &faults).await;
    let body = json!({ "model": MODEL, "prompt": "one" });
    for _ in 0..2 {
        post(&client, &engine, "/v1/completions", &body).await;
    }
    let record = engine.record(&client).await;
    let states: Vec<RequestState> = record.requests.iter().map(|seen| seen.state).collect();
    assert_eq!(states, [RequestState::Refused, RequestState::Finished]);
}
