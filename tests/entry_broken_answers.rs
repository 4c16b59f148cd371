//! Tests that callers of an entry can tell an answer that its target broke off from a complete one,
//! whatever the framing.

mod harness;

use harness::{CALLER_KEY, entry_fleet::EntryFleet, raw_target::RawTarget, real_fleet::RealFleet};
use rstest::rstest;
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};
use uuid::Uuid;

const BROKEN_STREAM: &str =
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\ndata: one\n\ndata: tw";
const BROKEN_STREAM_OF_KNOWN_LENGTH: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
    content-length: 19\r\n\r\ndata: one\n\ndata: tw";
const BROKEN_STREAM_IN_CHUNKS: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
    transfer-encoding: chunked\r\n\r\n13\r\ndata: one\n\ndata: tw\r\n0\r\n\r\n";
const BROKEN_DOCUMENT: &str =
    "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\r\n{\"stock\": [1, 2";
const WHOLE_DOCUMENT: &str =
    "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\r\n{\"stock\": [1, 2]}";

async fn start_fleet(answer: &'static str) -> EntryFleet {
    let address = RawTarget::start(answer).await.address();
    let change = |config: &mut serde_json::Value| config["targets"][0]["address"] = json!(address);
    EntryFleet::with_settings(&[], |_| {}, change).await
}

/// Guards against issue 27: an answer that its target broke off reached its caller framed as complete.
#[rstest]
#[case::stream(BROKEN_STREAM)]
#[case::stream_of_known_length(BROKEN_STREAM_OF_KNOWN_LENGTH)]
#[case::stream_in_chunks(BROKEN_STREAM_IN_CHUNKS)]
#[case::document(BROKEN_DOCUMENT)]
#[tokio::test(flavor = "multi_thread")]
async fn a_broken_answer_does_not_look_complete(#[case] answer: &'static str) {
    let fleet = start_fleet(answer).await;
    let call = fleet.client.get(fleet.url("/stock/a"));
    let response = call.bearer_auth(CALLER_KEY).send().await;
    let text = response.expect("the entry replies").text().await;
    assert!(text.is_err(), "{text:?}");
}

/// Guards against issue 27 for callers that speak HTTP/1.0: their answers end with the connection, so
/// that only a reset tells them that an answer was broken off.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_without_chunks_sees_a_reset_after_a_broken_answer() {
    let fleet = start_fleet(BROKEN_STREAM).await;
    let address = format!("127.0.0.1:{}", fleet.entry_port);
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let head = format!(
        "GET /stock/a HTTP/1.0\r\nhost: a.example\r\nauthorization: Bearer {CALLER_KEY}\r\n\r\n"
    );
    let sent = stream.write_all(head.as_bytes()).await;
    sent.expect("the entry reads");
    let mut received = Vec::new();
    let ended = stream.read_to_end(&mut received).await;
    assert!(ended.is_err(), "{:?}", String::from_utf8_lossy(&received));
}

/// Guards against issue 27 in claims: the break of an answer was recorded as the request's outcome, so
/// that every resend got the short answer as well.
#[tokio::test(flavor = "multi_thread")]
async fn a_broken_answer_is_not_recorded_as_the_outcome_of_a_claim() {
    let address = RawTarget::start(BROKEN_DOCUMENT).await.address();
    let change = |config: &mut serde_json::Value| config["targets"][0]["address"] = json!(address);
    let fleet = RealFleet::with_config(1, &[], change).await;
    let call = fleet.client.post(fleet.url(0, "/orders/a"));
    let call = call.bearer_auth(CALLER_KEY).body("two");
    let call = call.header("idempotency-key", Uuid::now_v7().to_string());
    let response = call.send().await.expect("the entry replies");
    let body: serde_json::Value = response.json().await.expect("errors are JSON");
    assert_eq!(body["name"], "answer_cut", "{body}");
    assert_eq!(body["not_run"], false);
}

/// Guards against issue 56: a status that is no final answer reached callers as the target's answer.
#[rstest]
#[case::protocol("HTTP/1.1 101 Switching Protocols\r\ncontent-length: 4\r\n\r\nbody")]
#[case::none("HTTP/1.1 000 X\r\ncontent-length: 4\r\n\r\nbody")]
#[case::beyond("HTTP/1.1 600 X\r\ncontent-length: 4\r\n\r\nbody")]
#[case::last("HTTP/1.1 999 X\r\ncontent-length: 4\r\n\r\nbody")]
#[tokio::test(flavor = "multi_thread")]
async fn a_status_that_is_no_answer_is_not_relayed(#[case] answer: &'static str) {
    let fleet = start_fleet(answer).await;
    let call = fleet.client.get(fleet.url("/stock/a"));
    let response = call.bearer_auth(CALLER_KEY).send().await;
    let response = response.expect("the entry replies");
    assert_eq!(response.status().as_u16(), 502);
    let body: serde_json::Value = response.json().await.expect("errors are JSON");
    assert_eq!(body["not_run"], false, "{body}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_whole_document_that_ends_with_its_connection_is_delivered() {
    let fleet = start_fleet(WHOLE_DOCUMENT).await;
    let call = fleet.client.get(fleet.url("/stock/a"));
    let response = call.bearer_auth(CALLER_KEY).send().await;
    let text = response.expect("the entry replies").text().await;
    assert_eq!(text.expect("a whole body"), "{\"stock\": [1, 2]}");
}
