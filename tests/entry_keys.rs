//! Tests that a caller's key reaches neither a target nor the log.

mod harness;

use harness::{CALLER_KEY, entry_fleet::EntryFleet};
use reqwest::{RequestBuilder, StatusCode};
use rstest::rstest;
use waxwinglatch::fake::RequestRecord;

fn assert_no_key(record: &RequestRecord) {
    assert!(
        !record.requests.is_empty(),
        "the target received no request"
    );
    for request in &record.requests {
        let text = format!("{} {:?}", request.target, request.headers);
        assert!(
            !text.contains(CALLER_KEY),
            "the target received the key: {text}"
        );
    }
}

#[rstest]
#[case::bearer(&["bearer"])]
#[case::header(&["header"])]
#[case::query(&["query"])]
#[case::cookie(&["cookie"])]
#[case::everywhere(&["bearer", "header", "query", "cookie"])]
#[case::twice_in_one_location(&["bearer", "bearer", "query", "query"])]
#[case::in_locations_that_no_route_configures(&["bearer", "stray header", "stray query"])]
#[case::escaped_in_the_query(&["escaped query"])]
#[tokio::test(flavor = "multi_thread")]
async fn the_key_does_not_reach_a_target(#[case] locations: &[&str]) {
    let fleet = EntryFleet::start(&[]).await;
    for path in ["/stock/a", "/open/a"] {
        let mut url = format!("{}?size=2", fleet.url(path));
        for location in locations {
            match *location {
                "query" => url = format!("{url}&key={CALLER_KEY}"),
                "stray query" => url = format!("{url}&other=x{CALLER_KEY}"),
                "escaped query" => {
                    url = format!("{url}&ke%79={}", CALLER_KEY.replace('-', "%2D"));
                }
                _ => {}
            }
        }
        let mut call: RequestBuilder = fleet.client.get(format!("{url}&colour=red"));
        for location in locations {
            call = match *location {
                "bearer" => call.header("Authorization", format!("bEARER {CALLER_KEY}")),
                "header" => call.header("x-api-key", CALLER_KEY),
                "cookie" => call.header("cookie", format!("a=1; session={CALLER_KEY}; b=2")),
                "stray header" => call.header("x-stray", format!("token {CALLER_KEY}")),
                _ => call,
            };
        }
        let response = call.send().await.expect("the entry replies");
        assert_eq!(response.status(), StatusCode::OK, "{path}");
    }
    let record = fleet.service.record(&fleet.client).await;
    assert_no_key(&record);
    let request = record
        .requests
        .iter()
        .find(|request| request.target.starts_with("/stock"))
        .expect("the request is recorded");
    assert!(request.target.contains("size=2&"), "{}", request.target);
    assert!(request.target.ends_with("colour=red"), "{}", request.target);
    if locations.contains(&"cookie") {
        let cookies = request.headers.iter().find(|(name, _)| name == "cookie");
        assert_eq!(cookies.expect("other cookies are forwarded").1, "a=1; b=2");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn the_key_reaches_neither_engines_nor_the_log() {
    let fleet =
        EntryFleet::with_settings(&[&[]], |settings| settings["log"] = "json".into(), |_| {}).await;
    let text = fleet.stream_text("one two", 2).await;
    assert!(text.contains("[DONE]"), "{text}");
    // Refused requests are logged in more detail than served ones.
    for path in ["/stock/a", "/nowhere/a", "/v1/nothing"] {
        let url = format!("{}?key={CALLER_KEY}&key=other", fleet.url(path));
        let response = fleet.client.get(url).send().await;
        assert!(!response.expect("the entry replies").status().is_success());
    }
    assert_no_key(&fleet.engines[0].record(&fleet.client).await);
    let log = fleet.log();
    assert!(log.contains("entry:") && log.contains("route:"), "{log}");
    assert!(!log.contains(CALLER_KEY), "{log}");
    for line in log.lines() {
        let parsed = serde_json::from_str::<serde_json::Value>(line);
        assert!(parsed.is_ok(), "not a JSON line: {line}");
    }
}

#[rstest]
#[case::none(&[], 1005)]
#[case::unknown(&[("x-api-key", "wl-unknown")], 1006)]
#[case::two_known_keys(&[("x-api-key", CALLER_KEY), ("authorization", "Bearer wl-test-key-2")], 1006)]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_without_one_valid_key_is_not_run(
    #[case] headers: &[(&str, &str)],
    #[case] code: u64,
) {
    let fleet = EntryFleet::start(&[]).await;
    let mut call = fleet.client.post(fleet.url("/stock/a"));
    for (name, value) in headers {
        call = call.header(*name, *value);
    }
    let response = call.send().await.expect("the entry replies");
    assert_eq!(response.status(), StatusCode::UNAUTHORIZED);
    let body: serde_json::Value = response.json().await.expect("errors are JSON");
    assert_eq!(body["code"], code);
    assert_eq!(body["not_run"], true);
    let record = fleet.service.record(&fleet.client).await;
    assert!(
        record.requests.is_empty(),
        "the target received a refused request"
    );
}
