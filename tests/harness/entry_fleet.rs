//! One entry in front of stand-in targets, with a stub in place of the control daemons.

use std::time::Duration;

use reqwest::{Client, RequestBuilder, Response};
use serde_json::{Value, json};
use waxwinglatch::{fake::Faults, fake::RequestRecord, sync::ResidentModel};

use super::{
    CALLER_KEY, TestFolder, TestProcess, entry_settings, free_port, key_hash,
    stub_control::StubControl, text, wait_for,
};

/// Name of the only model.
pub const MODEL: &str = "reply-small";
/// Time that processes have to start.
pub const START_LIMIT: Duration = Duration::from_secs(10);

/// A stand-in target that the test talks to directly.
pub struct StandIn {
    pub port: u16,
    pub process: TestProcess,
}

/// An entry with its targets.
pub struct EntryFleet {
    pub folder: TestFolder,
    pub client: Client,
    pub control: StubControl,
    pub control_port: u16,
    pub entry_port: u16,
    pub manage_port: u16,
    pub entry: TestProcess,
    pub engines: Vec<StandIn>,
    pub service: StandIn,
}

impl StandIn {
    /// Starts an engine or a service with more arguments.
    pub fn start(kind: &str, arguments: &[&str]) -> Self {
        let port = free_port();
        let port_text = port.to_string();
        let mut all = vec![kind, "--port", &port_text];
        all.extend(arguments);
        let process = TestProcess::start("waxwing-fake", &all);
        Self { port, process }
    }

    /// Address for the configuration.
    pub fn address(&self) -> String {
        format!("127.0.0.1:{}", self.port)
    }

    /// Sets the faults.
    pub async fn set_faults(&self, client: &Client, faults: &Faults) {
        let url = format!("http://{}/fake/v1/faults", self.address());
        let set = client.put(url).json(faults).send().await;
        assert!(set.expect("the target replies").status().is_success());
    }

    /// Reads the target's own record.
    pub async fn record(&self, client: &Client) -> RequestRecord {
        let url = format!("http://{}/fake/v1/record", self.address());
        let record = client.get(url).send().await.expect("the target replies");
        record.json().await.expect("the record is JSON")
    }

    /// Waits until the target replies.
    pub async fn wait(&self, client: &Client) {
        let url = format!("http://{}/fake/v1/record", self.address());
        wait_for("target", START_LIMIT, async || {
            client.get(&url).send().await.ok().map(drop)
        })
        .await;
    }

    /// Loads the model.
    pub async fn load_model(&self, client: &Client) {
        let order = json!({ "fencing": 1, "action": { "load": {
            "model": MODEL, "version": "1", "first_accelerator": 0, "span": 1,
            "memory_mib": 1000, "ready": false,
        }}});
        let url = format!("http://{}/engine/v1/order", self.address());
        let loaded = client.post(url).json(&order).send().await;
        assert!(loaded.expect("the engine replies").status().is_success());
    }
}

impl EntryFleet {
    /// Starts one engine per list of arguments, one service and the entry, and waits until it is
    /// ready.
    pub async fn start(engine_arguments: &[&[&str]]) -> Self {
        Self::with_settings(engine_arguments, |_| {}, |_| {}).await
    }

    /// Starts a fleet with changed settings of the entry and a changed configuration.
    pub async fn with_settings(
        engine_arguments: &[&[&str]],
        change_settings: impl FnOnce(&mut Value),
        change_config: impl FnOnce(&mut Value),
    ) -> Self {
        let folder = TestFolder::new();
        let client = waxwinglatch::client::http_client().expect("a client can be built");
        let engines: Vec<StandIn> = engine_arguments
            .iter()
            .map(|arguments| StandIn::start("engine", arguments))
            .collect();
        let service = StandIn::start("service", &[]);
        for stand_in in engines.iter().chain([&service]) {
            stand_in.wait(&client).await;
        }
        for engine in &engines {
            engine.load_model(&client).await;
        }
        let mut config = configuration(&engines, &service);
        change_config(&mut config);
        let [control_port, entry_port, manage_port] = [(); 3].map(|()| free_port());
        let control = StubControl::start(control_port, &config, copies(&engines));
        let mut settings = entry_settings(&folder, "vm-1", entry_port, control_port);
        settings["manage_listen"] = json!({ "address": "127.0.0.1", "port": manage_port });
        settings["drain_delay_ms"] = json!(100);
        change_settings(&mut settings);
        let path = folder.write("entry.json", &settings.to_string());
        let entry = TestProcess::start_logged(
            "waxwing-entry",
            &["--config", text(&path)],
            &folder.path("entry.log"),
        );
        let fleet = Self {
            folder,
            client,
            control,
            control_port,
            entry_port,
            manage_port,
            entry,
            engines,
            service,
        };
        fleet.wait_ready().await;
        fleet
    }

    /// What the entry printed.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.path("entry.log")).unwrap_or_default()
    }

    /// Waits until the entry is ready.
    pub async fn wait_ready(&self) {
        let what = format!(
            "ready entry; see {}",
            self.folder.path("entry.log").display()
        );
        wait_for(&what, START_LIMIT, async || {
            let answer = self.manage("/readyz").await?;
            answer.status().is_success().then_some(())
        })
        .await;
    }

    /// Reads from the management port; `None` when it does not reply.
    pub async fn manage(&self, path: &str) -> Option<Response> {
        let url = format!("http://127.0.0.1:{}{path}", self.manage_port);
        self.client.get(url).send().await.ok()
    }

    /// URL of a path at the entry.
    pub fn url(&self, path: &str) -> String {
        format!("http://127.0.0.1:{}{path}", self.entry_port)
    }

    /// A completion call with the caller's key.
    pub fn completion(&self, body: &Value) -> RequestBuilder {
        self.client
            .post(self.url("/v1/completions"))
            .bearer_auth(CALLER_KEY)
            .json(body)
    }

    /// Sends a streamed completion of `tokens` tokens and returns the whole text.
    pub async fn stream_text(&self, prompt: &str, tokens: u64) -> String {
        let body = json!({
            "model": MODEL, "prompt": prompt, "max_tokens": tokens, "stream": true,
        });
        let answer = self.completion(&body).send().await;
        let answer = answer.expect("the entry replies");
        answer.text().await.expect("the stream ends well")
    }
}

/// The tokens of a stream's text, and whether it has the end mark.
pub fn tokens_of(text: &str) -> (Vec<String>, bool) {
    let mut tokens = Vec::new();
    let mut is_ended = false;
    for line in text.lines() {
        match line.strip_prefix("data:").map(str::trim) {
            Some("[DONE]") => is_ended = true,
            Some(payload) => {
                let event: Value = serde_json::from_str(payload).expect("events are JSON");
                if let Some(token) = event["choices"][0]["text"].as_str() {
                    tokens.push(token.to_owned());
                }
            }
            None => {}
        }
    }
    (tokens, is_ended)
}

/// What the stand-in engine generates for a prompt.
pub fn expected_tokens(prompt: &str, count: usize) -> Vec<String> {
    let words: Vec<&str> = prompt.split_whitespace().collect();
    (0..count)
        .map(|index| match words[index % words.len()] {
            word if index < words.len() => word.to_owned(),
            word => format!("{word}-{index}"),
        })
        .collect()
}

/// A residency table in which every engine holds the model.
pub fn copies(engines: &[StandIn]) -> Vec<ResidentModel> {
    (1..=engines.len())
        .map(|number| ResidentModel {
            target: format!("engine-{number}").into(),
            model: MODEL.into(),
            version: "1".into(),
        })
        .collect()
}

/// Configuration with keyed, open and claimed routes; the key may come in every place.
pub fn configuration(engines: &[StandIn], service: &StandIn) -> Value {
    let mut targets: Vec<Value> = engines
        .iter()
        .enumerate()
        .map(|(index, engine)| {
            json!({
                "id": format!("engine-{}", index + 1), "vm": format!("target-{index}"),
                "data_centre": "dc-1", "kind": "engine", "address": engine.address(),
                "accelerators": 1, "accelerator_memory_mib": 8000,
            })
        })
        .collect();
    targets.push(json!({
        "id": "stock-1", "vm": "target-s", "data_centre": "dc-1", "kind": "service",
        "service": "stock", "address": service.address(),
    }));
    let route = |id: &str, extra: Value| {
        let mut route = json!({
            "id": id, "path_prefix": format!("/{id}"), "kind": "service", "service": "stock",
            "key_header": "X-Api-Key", "key_query": "key", "key_cookie": "session",
            "timeout_ms": 5000, "max_body_bytes": 200_000,
        });
        for (name, value) in extra.as_object().expect("an object") {
            route[name] = value.clone();
        }
        if route["kind"] == "model" {
            route.as_object_mut().expect("an object").remove("service");
        }
        route
    };
    json!({
        "teams": [{ "id": "counter", "rate_tokens_per_second": 1_000_000, "burst_tokens": 1_000_000 }],
        "keys": [
            { "id": "counter-1", "team": "counter", "hash": key_hash(CALLER_KEY) },
            { "id": "counter-2", "team": "counter", "hash": key_hash("wl-test-key-2") },
        ],
        "routes": [
            route("v1", json!({ "kind": "model" })),
            route("stock", json!({})),
            route("lookup", json!({ "idempotency": "idempotent" })),
            route("open", json!({ "access": "open" })),
            route("orders", json!({ "idempotency": "claimed" })),
        ],
        "models": [{ "id": MODEL, "version": "1", "memory_mib": 1000 }],
        "targets": targets,
        "weight_store": { "loads_per_second": 1.5, "concurrent_loads": 10 },
    })
}
