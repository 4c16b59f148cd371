//! Tests that requests and responses are forwarded unchanged, complete and within limits.

mod harness;

use harness::{CALLER_KEY, entry_fleet::EntryFleet, raw_target::RawTarget};
use reqwest::{Method, StatusCode};
use rstest::rstest;
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};
use waxwinglatch::fake::Faults;

/// Sends a raw request and returns all bytes until the entry closes the connection.
async fn raw_exchange(fleet: &EntryFleet, request: &str) -> String {
    let mut stream = TcpStream::connect(("127.0.0.1", fleet.entry_port))
        .await
        .expect("the entry accepts");
    stream
        .write_all(request.as_bytes())
        .await
        .expect("the request is sent");
    let mut text = Vec::new();
    stream.read_to_end(&mut text).await.expect("a response");
    String::from_utf8_lossy(&text).into_owned()
}

#[rstest]
#[case::get(Method::GET)]
#[case::post(Method::POST)]
#[case::put(Method::PUT)]
#[case::patch(Method::PATCH)]
#[case::delete(Method::DELETE)]
#[case::options(Method::OPTIONS)]
#[tokio::test(flavor = "multi_thread")]
async fn any_method_reaches_the_service_unchanged(#[case] method: Method) {
    let fleet = EntryFleet::start(&[]).await;
    let response = fleet
        .client
        .request(method.clone(), fleet.url("/stock/a%20b/c?x=1&y=%26"))
        .bearer_auth(CALLER_KEY)
        .body("fourteen bytes")
        .send()
        .await
        .expect("the entry replies");
    let body: Value = response.json().await.expect("the body is JSON");
    assert_eq!(body["method"], method.as_str());
    assert_eq!(body["bytes"], 14);
    let record = fleet.service.record(&fleet.client).await;
    assert_eq!(record.requests[0].target, "/stock/a%20b/c?x=1&y=%26");
}

/// A framework that interprets the form field `_method`, as Rocket does, would forward another
/// method.
#[tokio::test(flavor = "multi_thread")]
async fn the_method_of_a_form_is_not_changed() {
    let target = RawTarget::start("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").await;
    let address = target.address();
    let fleet = EntryFleet::with_settings(
        &[],
        |_| {},
        |config| {
            config["targets"][0]["address"] = json!(address);
        },
    )
    .await;
    let response = fleet
        .client
        .post(fleet.url("/stock/a"))
        .bearer_auth(CALLER_KEY)
        .header("content-type", "application/x-www-form-urlencoded")
        .body("_method=delete")
        .send()
        .await;
    assert!(response.expect("the entry replies").status().is_success());
    let received = target.received();
    assert!(
        received.starts_with("POST /stock/a HTTP/1.1\r\n"),
        "{received}"
    );
    assert!(!received.contains(CALLER_KEY), "{received}");
}

#[tokio::test(flavor = "multi_thread")]
async fn hop_by_hop_headers_are_removed_in_both_directions() {
    let fleet = EntryFleet::start(&[]).await;
    let response = raw_exchange(
        &fleet,
        &format!(
            "GET /stock/a HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer {CALLER_KEY}\r\n\
             Connection: close, X-Private\r\nX-Private: 1\r\nKeep-Alive: 5\r\nTE: trailers\r\n\
             Upgrade: h2c\r\nX-Waxwing-Secret: guess\r\nX-Kept: 2\r\n\r\n"
        ),
    )
    .await;
    // The service lists its header `x-of-connection` in `Connection`.
    assert!(
        !response.to_lowercase().contains("x-of-connection"),
        "{response}"
    );
    let record = fleet.service.record(&fleet.client).await;
    let names: Vec<&str> = record.requests[0]
        .headers
        .iter()
        .map(|(name, _)| name.as_str())
        .collect();
    for removed in [
        "x-private",
        "keep-alive",
        "te",
        "upgrade",
        "x-waxwing-secret",
        "connection",
    ] {
        assert!(!names.contains(&removed), "{removed} reached the service");
    }
    assert!(names.contains(&"x-kept"), "{names:?}");
}

#[rstest]
#[case::head("HEAD", "200", Some("content-length: "), false)]
#[case::no_content("GET", "204", None, false)]
#[case::not_modified("GET", "304", None, false)]
#[case::created("POST", "201", Some("content-length: "), true)]
#[tokio::test(flavor = "multi_thread")]
async fn responses_without_a_body_keep_their_headers(
    #[case] method: &str,
    #[case] status: &str,
    #[case] header: Option<&str>,
    #[case] has_body: bool,
) {
    let fleet = EntryFleet::start(&[]).await;
    let response = raw_exchange(
        &fleet,
        &format!(
            "{method} /stock/a HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer {CALLER_KEY}\r\n\
             X-Want-Status: {status}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
        ),
    )
    .await;
    let (head, body) = response.split_once("\r\n\r\n").expect("a complete head");
    assert!(head.starts_with(&format!("HTTP/1.1 {status}")), "{head}");
    assert_eq!(!body.is_empty(), has_body, "{response}");
    let head = head.to_lowercase();
    assert!(!head.contains("transfer-encoding"), "{head}");
    if let Some(header) = header {
        assert!(head.contains(header), "{head}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn large_and_chunked_bodies_are_forwarded_in_both_directions() {
    let fleet = EntryFleet::start(&[]).await;
    let parts: Vec<Result<Vec<u8>, std::io::Error>> =
        (0..15).map(|_| Ok(vec![7; 10_000])).collect();
    let response = fleet
        .client
        .post(fleet.url("/stock/a"))
        .bearer_auth(CALLER_KEY)
        .body(reqwest::Body::wrap_stream(futures::stream::iter(parts)))
        .send()
        .await
        .expect("the entry replies");
    let body: Value = response.json().await.expect("the body is JSON");
    assert_eq!(body["bytes"], 150_000);
    let response = fleet
        .client
        .get(fleet.url("/stock/a"))
        .bearer_auth(CALLER_KEY)
        .header("x-want-chunked", "20000000")
        .send()
        .await
        .expect("the entry replies");
    let bytes = response.bytes().await.expect("the body is complete");
    assert_eq!(bytes.len(), 20_000_000);
    assert!(bytes.iter().all(|byte| *byte == b'x'));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_truncated_body_aborts_the_connection() {
    let fleet = EntryFleet::start(&[]).await;
    let faults = Faults {
        short_bodies: 1,
        ..Faults::default()
    };
    fleet.service.set_faults(&fleet.client, &faults).await;
    let call = fleet.client.get(fleet.url("/stock/a"));
    let response = call.bearer_auth(CALLER_KEY).send().await;
    let body = response.expect("the head arrives").bytes().await;
    assert!(
        body.is_err(),
        "a truncated response ended without an error: {body:?}"
    );
}

#[rstest]
#[case::declared(true, 1004, true)]
#[case::chunked(false, 1004, false)]
#[tokio::test(flavor = "multi_thread")]
async fn a_body_over_the_size_limit_is_refused(
    #[case] is_declared: bool,
    #[case] code: u64,
    #[case] not_run: bool,
) {
    let fleet = EntryFleet::start(&[]).await;
    let call = fleet.client.post(fleet.url("/stock/a"));
    let call = call.bearer_auth(CALLER_KEY);
    let call = if is_declared {
        call.body(vec![0; 200_001])
    } else {
        let parts: Vec<Result<Vec<u8>, std::io::Error>> =
            (0..3).map(|_| Ok(vec![7; 100_000])).collect();
        call.body(reqwest::Body::wrap_stream(futures::stream::iter(parts)))
    };
    let response = call.send().await.expect("the entry replies");
    assert_eq!(response.status(), StatusCode::PAYLOAD_TOO_LARGE);
    let body: Value = response.json().await.expect("errors are JSON");
    assert_eq!(body["code"], code);
    assert_eq!(body["not_run"], not_run);
}

#[rstest]
#[case::malformed("/v1/completions", "{\"model\":", 1001)]
#[case::no_model("/v1/completions", "{}", 1001)]
#[case::unknown_model("/v1/completions", "{\"model\":\"nothing\"}", 1003)]
#[case::unknown_call("/v1/nothing", "{}", 1002)]
#[case::unknown_route("/nowhere", "{}", 1002)]
#[case::over_burst(
    "/v1/completions",
    "{\"model\":\"reply-small\",\"max_tokens\":2000000}",
    1102
)]
#[tokio::test(flavor = "multi_thread")]
async fn invalid_input_is_refused_with_its_result_code(
    #[case] path: &str,
    #[case] body: &'static str,
    #[case] code: u64,
) {
    let fleet = EntryFleet::start(&[&[]]).await;
    let call = fleet.client.post(fleet.url(path)).bearer_auth(CALLER_KEY);
    let response = call.body(body).send().await.expect("the entry replies");
    let id = response.headers()["x-request-id"].clone();
    let body: Value = response.json().await.expect("errors are JSON");
    assert_eq!(body["code"], code, "{body}");
    assert_eq!(body["not_run"], true);
    assert_eq!(body["request_id"], id.to_str().expect("an id"));
    let record = fleet.engines[0].record(&fleet.client).await;
    assert!(
        record.requests.is_empty(),
        "the engine received a refused request"
    );
}

#[rstest]
#[case::plain("/stock/../admin")]
#[case::escaped("/stock/%2e%2E/admin")]
#[case::backslash("/stock/..\\admin")]
#[tokio::test(flavor = "multi_thread")]
async fn a_path_cannot_escape_its_route(#[case] path: &str) {
    let fleet = EntryFleet::start(&[]).await;
    let response = raw_exchange(
        &fleet,
        &format!(
            "GET {path} HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer {CALLER_KEY}\r\n\
             Connection: close\r\n\r\n"
        ),
    )
    .await;
    assert!(response.starts_with("HTTP/1.1 400"), "{response}");
    let record = fleet.service.record(&fleet.client).await;
    assert!(
        record.requests.is_empty(),
        "the service received {:?}",
        record.requests
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn models_and_adapters_are_listed() {
    let fleet = EntryFleet::with_settings(
        &[&[]],
        |_| {},
        |config| {
            config["adapters"] = json!([
                { "id": "warranty", "model": "reply-small", "version": "1", "memory_mib": 10 },
            ]);
        },
    )
    .await;
    let call = fleet.client.get(fleet.url("/v1/models"));
    let response = call.bearer_auth(CALLER_KEY).send().await;
    let body: Value = response
        .expect("the entry replies")
        .json()
        .await
        .expect("JSON");
    let names: Vec<&str> = body["data"]
        .as_array()
        .expect("a list")
        .iter()
        .filter_map(|model| model["id"].as_str())
        .collect();
    assert_eq!(names, ["reply-small", "warranty"]);
}
