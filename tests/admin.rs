//! Guards the administration API against changes that are lost, applied twice or accepted without a
//! valid token. The control daemon is a real process.

mod harness;

use std::{
    io::Write,
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use harness::{
    ADMIN_TOKEN, TestFolder, TestProcess, control_settings, entry_settings, free_port, text,
    wait_for,
};
use reqwest::{Client, Method};
use serde_json::{Value, json};
use waxwinglatch::{client::http_client, operator::OperatorClient};

/// A running control daemon.
struct ControlFixture {
    folder: TestFolder,
    system: u16,
    admin: u16,
    client: Client,
    _process: TestProcess,
}

impl ControlFixture {
    async fn start() -> Self {
        let folder = TestFolder::new();
        let [system, admin] = [free_port(), free_port()];
        let settings = control_settings(&folder, system, admin).to_string();
        let path = folder.write("control.json", &settings);
        let process = TestProcess::start("waxwing-control", &["--config", text(&path)]);
        let client = http_client().expect("a client can be built");
        let fixture = Self {
            folder,
            system,
            admin,
            client,
            _process: process,
        };
        wait_for("leader", Duration::from_secs(10), async || {
            let (status, _) = fixture.call(Method::GET, "/config", None).await?;
            (status == 200).then_some(())
        })
        .await;
        fixture
    }

    async fn call(&self, method: Method, path: &str, body: Option<&Value>) -> Option<(u16, Value)> {
        let url = format!("http://127.0.0.1:{}/admin/v1{path}", self.admin);
        let call = self.client.request(method, url).bearer_auth(ADMIN_TOKEN);
        let call = match body {
            Some(body) => call.json(body),
            None => call,
        };
        let answer = call.send().await.ok()?;
        Some((answer.status().as_u16(), answer.json().await.ok()?))
    }

    async fn put(&self, body: &Value) -> (u16, Value) {
        self.call(Method::PUT, "/config", Some(body))
            .await
            .expect("the daemon answers")
    }

    async fn post(&self, path: &str, body: &Value) -> (u16, Value) {
        self.call(Method::POST, path, Some(body))
            .await
            .expect("the daemon answers")
    }

    async fn get(&self, path: &str) -> (u16, Value) {
        self.call(Method::GET, path, None)
            .await
            .expect("the daemon answers")
    }
}

fn fleet(teams: &[&str]) -> Value {
    let team = |id: &&str| json!({ "id": id, "rate_tokens_per_second": 10, "burst_tokens": 1000 });
    let teams: Vec<Value> = teams.iter().map(team).collect();
    json!({
        "teams": teams, "routes": [],
        "models": [{ "id": "m", "version": "1", "memory_mib": 10 }],
        "targets": [{
            "id": "e", "vm": "vm-e", "data_centre": "dc-1", "kind": "engine",
            "address": "127.0.0.1:1", "accelerators": 1, "accelerator_memory_mib": 10,
        }],
        "weight_store": { "loads_per_second": 1.5, "concurrent_loads": 10 },
    })
}

fn change(request_id: &str, expected: u64, teams: &[&str]) -> Value {
    json!({ "request_id": request_id, "expected": expected, "config": fleet(teams) })
}

#[tokio::test(flavor = "multi_thread")]
async fn of_concurrent_changes_to_one_revision_exactly_one_is_accepted() {
    let control = ControlFixture::start().await;
    let changes: Vec<Value> = (0..8)
        .map(|number| change(&format!("race-{number}"), 0, &[&format!("t{number}")]))
        .collect();
    let answers = futures::future::join_all(changes.iter().map(|body| control.put(body))).await;
    let accepted: Vec<usize> = (0..8).filter(|index| answers[*index].0 == 200).collect();
    assert_eq!(accepted.len(), 1, "{answers:?}");
    for (status, answer) in answers.iter().filter(|(status, _)| *status != 200) {
        let result = (
            *status,
            answer["name"].as_str(),
            answer["revision"].as_u64(),
        );
        assert_eq!(result, (409, Some("revision_conflict"), Some(1)));
    }
    let (_, view) = control.get("/config").await;
    assert_eq!(
        view["config"]["teams"][0]["id"],
        format!("t{}", accepted[0])
    );
    let resent = control.put(&changes[accepted[0]]).await;
    assert_eq!(
        (resent.0, &resent.1["revision"]),
        (200, &json!(1)),
        "the accepted change is resent"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_resent_change_returns_the_first_result() {
    let control = ControlFixture::start().await;
    let body = change("lost", 0, &["a"]).to_string();
    let mut connection = TcpStream::connect(("127.0.0.1", control.admin)).unwrap();
    let head = format!(
        "PUT /admin/v1/config HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {ADMIN_TOKEN}\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    connection.write_all(head.as_bytes()).unwrap();
    connection.write_all(body.as_bytes()).unwrap();
    wait_for("first change", Duration::from_secs(5), async || {
        (control.get("/config").await.1["revision"] == 1).then_some(())
    })
    .await;
    drop(connection);
    assert_eq!(control.put(&change("next", 1, &["b"])).await.0, 200);
    let (status, answer) = control.put(&change("lost", 0, &["a"])).await;
    assert_eq!((status, &answer["revision"]), (200, &json!(1)));
    let (status, answer) = control.put(&change("lost", 0, &["c"])).await;
    assert_eq!(
        (status, &answer["name"]),
        (422, &json!("request_id_reused"))
    );
    let (_, view) = control.get("/config").await;
    assert_eq!(
        (&view["revision"], &view["config"]["teams"][0]["id"]),
        (&json!(2), &json!("b"))
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn an_invalid_configuration_is_rejected() {
    let control = ControlFixture::start().await;
    assert_eq!(control.put(&change("good", 0, &["a"])).await.0, 200);
    let mut bad = change("bad", 1, &["a", "a"]);
    bad["config"]["targets"][0]["address"] = json!("nowhere");
    let (status, answer) = control.put(&bad).await;
    assert_eq!(
        (status, &answer["name"]),
        (422, &json!("invalid_configuration"))
    );
    let paths: Vec<&Value> = answer["issues"]
        .as_array()
        .unwrap()
        .iter()
        .map(|issue| &issue["path"])
        .collect();
    assert_eq!(paths, ["teams[1].id", "targets[0].address"]);
    for malformed in [
        json!({ "expected": 1 }),
        json!([]),
        json!({ "request_id": "a b", "expected": 1, "config": {} }),
    ] {
        let (status, answer) = control.put(&malformed).await;
        assert_eq!(
            (status, &answer["name"]),
            (400, &json!("malformed_request")),
            "{answer}"
        );
    }
    let (_, view) = control.get("/config").await;
    assert_eq!(view["revision"], 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_without_a_valid_token_are_rejected() {
    let control = ControlFixture::start().await;
    let url = |path: &str| format!("http://127.0.0.1:{}/admin/v1{path}", control.admin);
    for token in [
        None,
        Some(""),
        Some("operator-toke"),
        Some("operator-token2"),
    ] {
        for path in [
            "/config",
            "/history",
            "/status",
            "/drains",
            "/diff?from=0&to=1",
        ] {
            let call = control.client.get(url(path));
            let call = token.map_or(call.try_clone().unwrap(), |token| call.bearer_auth(token));
            let answer = call.send().await.unwrap();
            assert_eq!(answer.status().as_u16(), 401, "{path}");
            let answer: Value = answer.json().await.unwrap();
            assert_eq!(
                (&answer["code"], &answer["revision"]),
                (&json!(2005), &json!(0))
            );
        }
        let call = control
            .client
            .put(url("/config"))
            .json(&change("x", 0, &["a"]));
        let call = token.map_or(call.try_clone().unwrap(), |token| call.bearer_auth(token));
        assert_eq!(call.send().await.unwrap().status().as_u16(), 401);
    }
    assert_eq!(control.get("/config").await.1["revision"], 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn keys_are_added_once_during_concurrent_changes() {
    let control = ControlFixture::start().await;
    let key = |id: &str, digit: &str| json!({ "id": id, "team": "a", "hash": digit.repeat(64) });
    let add = json!({ "request_id": "add-1", "key": key("k1", "1") });
    let (status, answer) = control.post("/keys", &add).await;
    assert_eq!(
        (status, &answer["name"]),
        (422, &json!("invalid_configuration")),
        "there is no configuration yet"
    );
    assert_eq!(control.put(&change("base", 0, &["a"])).await.0, 200);
    let adds: Vec<Value> = (2..8)
        .map(|number| json!({ "request_id": format!("add-{number}"), "key": key(&format!("k{number}"), &number.to_string()) }))
        .collect();
    let answers =
        futures::future::join_all(adds.iter().map(|body| control.post("/keys", body))).await;
    assert!(
        answers.iter().all(|(status, _)| *status == 200),
        "{answers:?}"
    );
    let resent = control.post("/keys", &adds[0]).await;
    assert_eq!(
        resent.1["revision"], answers[0].1["revision"],
        "the addition is resent"
    );
    let other = json!({ "request_id": "add-2", "key": key("k9", "9") });
    assert_eq!(
        control.post("/keys", &other).await.1["name"],
        "request_id_reused"
    );
    let revoke = json!({ "request_id": "revoke-2", "id": "k2" });
    for _ in 0..2 {
        assert_eq!(
            control.post("/keys/revoke", &revoke).await,
            (
                200,
                json!({
                    "code": 0, "name": "accepted", "message": "revision 8 is accepted", "revision": 8,
                })
            )
        );
    }
    let missing = json!({ "request_id": "revoke-3", "id": "k2" });
    assert_eq!(control.post("/keys/revoke", &missing).await.0, 422);
    let (_, view) = control.get("/config").await;
    let mut ids: Vec<&str> = view["config"]["keys"]
        .as_array()
        .unwrap()
        .iter()
        .filter_map(|key| key["id"].as_str())
        .collect();
    ids.sort_unstable();
    assert_eq!(ids, ["k3", "k4", "k5", "k6", "k7"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn earlier_revisions_and_differences_can_be_read() {
    let control = ControlFixture::start().await;
    control.put(&change("one", 0, &["a"])).await;
    control.put(&change("two", 1, &["b"])).await;
    let (_, history) = control.get("/history").await;
    let listed: Vec<_> = history["revisions"]
        .as_array()
        .unwrap()
        .iter()
        .map(|note| &note["request_id"])
        .collect();
    assert_eq!(listed, ["two", "one"]);
    assert_eq!(
        control.get("/history/1").await.1["config"]["teams"][0]["id"],
        "a"
    );
    let (_, diff) = control.get("/diff?from=1&to=2").await;
    let kinds: Vec<_> = diff["changes"]
        .as_array()
        .unwrap()
        .iter()
        .map(|change| &change["kind"])
        .collect();
    assert_eq!(kinds, ["removed", "added"]);
    let (status, answer) = control.get("/history/3").await;
    assert_eq!((status, &answer["name"]), (404, &json!("unknown_revision")));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_drain_warns_of_models_that_no_longer_fit() {
    let control = ControlFixture::start().await;
    control.put(&change("one", 0, &["a"])).await;
    let drain = |id: &str, target: &str, state: &str| json!({ "request_id": id, "subject": { "target": target }, "state": state });
    let (status, answer) = control.post("/drains", &drain("d1", "e", "draining")).await;
    assert_eq!(
        (status, &answer["warnings"][0]["path"]),
        (200, &json!("models[0].memory_mib"))
    );
    assert_eq!(
        control
            .post("/drains", &drain("d2", "x", "draining"))
            .await
            .0,
        422
    );
    assert_eq!(
        control.post("/drains", &drain("d1", "e", "active")).await.1["name"],
        "request_id_reused"
    );
    let (_, status) = control.get("/status").await;
    assert_eq!(status["drains"][0]["subject"], json!({ "target": "e" }));
    control.post("/drains", &drain("d3", "e", "active")).await;
    assert_eq!(control.get("/drains").await.1["drains"], json!([]));
}

/// Guards against the refusal of a drain that was accepted and is sent again, after a change that removed its target.
#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_drain_is_accepted_after_its_target_was_removed() {
    let control = ControlFixture::start().await;
    control.put(&change("one", 0, &["a"])).await;
    let drain = json!({ "request_id": "d1", "subject": { "target": "e" }, "state": "draining" });
    assert_eq!(control.post("/drains", &drain).await.0, 200);
    let mut without = change("two", 1, &["a"]);
    without["config"]["targets"] = json!([]);
    without["config"]["models"] = json!([]);
    let (status, answer) = control.put(&without).await;
    assert_eq!(status, 200, "{answer}");
    let (status, answer) = control.post("/drains", &drain).await;
    assert_eq!(status, 200, "{answer}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_revision_is_in_force_when_every_live_entry_has_it() {
    let control = ControlFixture::start().await;
    let settings = entry_settings(&control.folder, "vm-1", free_port(), control.system);
    let path = control.folder.write("entry.json", &settings.to_string());
    let _entry = TestProcess::start("waxwing-entry", &["--config", text(&path)]);
    control.put(&change("one", 0, &["a"])).await;
    wait_for("revision in force", Duration::from_secs(10), async || {
        let (status, answer) = control.get("/in-force/1?wait_ms=500").await;
        (status == 200).then_some(answer)
    })
    .await;
    let (_, status) = control.get("/status").await;
    assert_eq!(
        (
            &status["entries"][0]["vm"],
            &status["entries"][0]["in_force"]
        ),
        (&json!("vm-1"), &json!("current"))
    );
    let (status, answer) = control.get("/in-force/2").await;
    assert_eq!(
        (status, &answer["name"], &answer["lacking"]),
        (504, &json!("not_in_force"), &json!(["vm-1"]))
    );
}

/// Starts a server on a loopback port that answers every request with a fixed response and closes the
/// connection. An empty response simulates a connection that is lost before the answer.
async fn start_fixed_server(response: String) -> SocketAddr {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut connection, _)) = listener.accept().await {
            let response = response.clone();
            tokio::spawn(async move {
                let mut buffer = vec![0; 64 * 1024];
                let _ = connection.read(&mut buffer).await;
                let _ = connection.write_all(response.as_bytes()).await;
            });
        }
    });
    address
}

#[tokio::test(flavor = "multi_thread")]
async fn the_client_follows_the_leader_and_resends_after_a_closed_connection() {
    let control = ControlFixture::start().await;
    let leader = SocketAddr::from(([127, 0, 0, 1], control.admin));
    let hint =
        json!({ "code": 2003, "name": "not_leader", "message": "", "leader": leader.to_string() })
            .to_string();
    let follower = start_fixed_server(format!(
        "HTTP/1.1 421 Misdirected Request\r\ncontent-type: application/json\r\ncontent-length: {}\r\nconnection: close\r\n\r\n{hint}",
        hint.len()
    ))
    .await;
    let closing = start_fixed_server(String::new()).await;
    let client = |addresses: &[SocketAddr], token: &str| {
        OperatorClient::new(addresses.to_vec(), token.to_owned(), Duration::from_secs(5)).unwrap()
    };
    let body = change("one", 0, &["a"]);
    for addresses in [[follower, closing], [closing, follower]] {
        let reply = client(&addresses, ADMIN_TOKEN)
            .send(Method::PUT, "/admin/v1/config", Some(&body))
            .await;
        let answer: Value = reply.unwrap().decode().unwrap().unwrap();
        assert_eq!(answer["revision"], 1);
    }
    let refused = client(&[leader], "wrong")
        .get("/admin/v1/config")
        .await
        .unwrap();
    assert_eq!(
        refused.decode::<Value>().unwrap().unwrap_err().name,
        "unauthorized"
    );
    let timed_client = OperatorClient::new(
        vec![closing],
        ADMIN_TOKEN.to_owned(),
        Duration::from_millis(500),
    )
    .unwrap();
    let error = timed_client
        .send(Method::PUT, "/admin/v1/config", Some(&body))
        .await
        .unwrap_err();
    assert!(
        matches!(error, waxwinglatch::error::Error::Unconfirmed { .. }),
        "{error}"
    );
}
