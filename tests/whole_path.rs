//! Guards against a break anywhere on the path of a request through real processes.

mod harness;

use std::time::Duration;

use harness::{
    ADMIN_TOKEN, CALLER_KEY, TestFolder, TestProcess, control_settings, entry_settings, free_port,
    key_hash, text, wait_for,
};
use serde_json::{Value, json};

const START_LIMIT: Duration = Duration::from_secs(10);

fn configuration(engine: u16, service: u16) -> Value {
    json!({
        "teams": [{ "id": "counter", "rate_tokens_per_second": 1000, "burst_tokens": 10000 }],
        "keys": [{ "id": "counter-1", "team": "counter", "hash": key_hash(CALLER_KEY) }],
        "routes": [
            { "id": "models", "path_prefix": "/v1", "kind": "model" },
            { "id": "stock", "path_prefix": "/stock", "kind": "service", "service": "stock", "access": "open" },
        ],
        "models": [{ "id": "reply-small", "version": "1", "memory_mib": 1000 }],
        "targets": [
            { "id": "engine-1", "vm": "target-1", "data_centre": "dc-1", "kind": "engine",
              "address": format!("127.0.0.1:{engine}"), "accelerators": 1, "accelerator_memory_mib": 8000 },
            { "id": "stock-1", "vm": "target-2", "data_centre": "dc-1", "kind": "service",
              "service": "stock", "address": format!("127.0.0.1:{service}") },
        ],
        "weight_store": { "loads_per_second": 1.5, "concurrent_loads": 10 },
    })
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_passes_from_caller_to_target_and_back() {
    let folder = TestFolder::new();
    let [system, admin, entry, engine, service] = [(); 5].map(|()| free_port());
    let control_path = folder.write(
        "control.json",
        &control_settings(&folder, system, admin).to_string(),
    );
    let entry_path = folder.write(
        "entry.json",
        &entry_settings(&folder, "vm-1", entry, system).to_string(),
    );
    let _processes = [
        TestProcess::start("waxwing-fake", &["engine", "--port", &engine.to_string()]),
        TestProcess::start("waxwing-fake", &["service", "--port", &service.to_string()]),
        TestProcess::start("waxwing-control", &["--config", text(&control_path)]),
        TestProcess::start("waxwing-entry", &["--config", text(&entry_path)]),
    ];
    let client = waxwinglatch::client::http_client().expect("a client can be built");
    let apply = json!({
        "request_id": "apply-1", "expected": 0, "config": configuration(engine, service),
    });
    wait_for("accepted configuration", START_LIMIT, async || {
        let url = format!("http://127.0.0.1:{admin}/admin/v1/config");
        let answer = client
            .put(url)
            .bearer_auth(ADMIN_TOKEN)
            .json(&apply)
            .send()
            .await
            .ok()?;
        answer.status().is_success().then_some(())
    })
    .await;
    let completion =
        json!({ "model": "reply-small", "prompt": "three round bells", "stream": true });
    let answer = wait_for("answer of the model", START_LIMIT, async || {
        let url = format!("http://127.0.0.1:{entry}/v1/completions");
        let call = client.post(url).bearer_auth(CALLER_KEY).json(&completion);
        let answer = call.send().await.ok()?;
        if answer.status().is_success() {
            answer.text().await.ok()
        } else {
            None
        }
    })
    .await;
    for word in ["three", "round", "bells", "[DONE]"] {
        assert!(answer.contains(word), "{word} is missing in {answer}");
    }
    let stock = client
        .get(format!("http://127.0.0.1:{entry}/stock/chalk"))
        .send()
        .await;
    let stock: Value = stock
        .expect("the entry answers")
        .json()
        .await
        .expect("the body is JSON");
    assert_eq!(stock["stock"], 12);
}
