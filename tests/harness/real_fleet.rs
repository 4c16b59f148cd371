//! Entries in front of stand-in targets with a real control daemon, for what needs its log.

use std::time::Duration;

use reqwest::Client;
use serde_json::{Value, json};

use super::{
    ADMIN_TOKEN, CALLER_KEY, TestFolder, TestProcess, control_settings, entry_fleet::StandIn,
    entry_settings, free_port, text, wait_for,
};

/// Time that the fleet has to start; a new leader grants nothing for 3.6 s.
const START_LIMIT: Duration = Duration::from_secs(20);

/// One control daemon, one service, two engines and some entries.
pub struct RealFleet {
    pub folder: TestFolder,
    pub client: Client,
    pub control: TestProcess,
    pub entries: Vec<(u16, TestProcess)>,
    pub engines: Vec<StandIn>,
    pub service: StandIn,
    admin_port: u16,
}

impl RealFleet {
    /// Starts the fleet and waits until every entry serves; engines hold no model before the
    /// control daemon loads one.
    pub async fn start(entries: usize, engine_arguments: &[&[&str]]) -> Self {
        Self::with_config(entries, engine_arguments, |_| {}).await
    }

    /// Starts a fleet with a changed configuration.
    pub async fn with_config(
        entries: usize,
        engine_arguments: &[&[&str]],
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
        let [system, admin_port] = [(); 2].map(|()| free_port());
        let settings = control_settings(&folder, system, admin_port);
        let path = folder.write("control.json", &settings.to_string());
        let control = TestProcess::start("waxwing-control", &["--config", text(&path)]);
        let entries = (1..=entries)
            .map(|number| {
                let port = free_port();
                let name = format!("vm-{number}");
                let settings = entry_settings(&folder, &name, port, system);
                let path = folder.write(&format!("entry-{number}.json"), &settings.to_string());
                let log = folder.path(&format!("entry-{number}.log"));
                let entry =
                    TestProcess::start_logged("waxwing-entry", &["--config", text(&path)], &log);
                (port, entry)
            })
            .collect();
        let fleet = Self {
            folder,
            client,
            control,
            entries,
            engines,
            service,
            admin_port,
        };
        fleet.wait_served(change_config).await;
        fleet
    }

    async fn wait_served(&self, change_config: impl FnOnce(&mut Value)) {
        let mut config = super::entry_fleet::configuration(&self.engines, &self.service);
        config["routes"][0]["timeout_ms"] = json!(10_000);
        // Both engines hold the model, so that a request can go to another one.
        config["models"][0]["residency"] = json!("pinned");
        config["models"][0]["min_copies"] = json!(self.engines.len());
        if self.engines.is_empty() {
            config["models"] = json!([]);
        }
        change_config(&mut config);
        let apply = json!({ "request_id": "apply-1", "expected": 0, "config": config });
        wait_for("accepted configuration", START_LIMIT, async || {
            let url = format!("http://127.0.0.1:{}/admin/v1/config", self.admin_port);
            let call = self.client.put(url).bearer_auth(ADMIN_TOKEN).json(&apply);
            let answer = call.send().await.ok()?;
            let status = answer.status();
            assert_ne!(status, 422, "{:?}", answer.text().await);
            status.is_success().then_some(())
        })
        .await;
        for index in 0..self.entries.len() {
            wait_for("serving entry", START_LIMIT, async || {
                let call = self.client.get(self.url(index, "/stock/ready"));
                let answer = call.bearer_auth(CALLER_KEY).send().await.ok()?;
                answer.status().is_success().then_some(())
            })
            .await;
        }
        for engine in &self.engines {
            wait_for("loaded model", START_LIMIT, async || {
                let url = format!("http://{}/v1/models", engine.address());
                let answer = self.client.get(url).send().await.ok()?;
                let body: Value = answer.json().await.ok()?;
                (!body["data"].as_array()?.is_empty()).then_some(())
            })
            .await;
        }
    }

    /// URL of a path at an entry.
    pub fn url(&self, entry: usize, path: &str) -> String {
        format!("http://127.0.0.1:{}{path}", self.entries[entry].0)
    }

    /// What an entry printed.
    pub fn log(&self, entry: usize) -> String {
        let path = self.folder.path(&format!("entry-{}.log", entry + 1));
        std::fs::read_to_string(path).unwrap_or_default()
    }
}
