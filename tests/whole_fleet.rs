//! Guards against lost, doubled or crossed answers when an entry and the leading control daemon
//! are killed under load, against cut requests when every entry is restarted in turn, and against
//! the same with both deployments' callers. All parts are real processes.

#[path = "harness/control_fleet.rs"]
mod control_fleet;
mod harness;

use std::time::Duration;

use control_fleet::ControlFleet;
use harness::{
    ADMIN_TOKEN, TestProcess, entry_fleet::StandIn, free_port, key_hash, text, wait_for,
};
use rstest::rstest;
use serde_json::{Value, json};
use waxwinglatch::load::{LoadReport, LoadRun, LoadSettings, LoadShape};

const START_LIMIT: Duration = Duration::from_secs(30);
const TEAMS: usize = 5;

struct WholeFleet {
    control: ControlFleet,
    entries: Vec<(u16, TestProcess)>,
    engines: Vec<StandIn>,
    services: Vec<StandIn>,
}

impl WholeFleet {
    async fn start() -> Self {
        let control = ControlFleet::start(3);
        let slow = &["--token-ms", "2"][..];
        let engines: Vec<StandIn> = (0..3).map(|_| StandIn::start("engine", slow)).collect();
        let services: Vec<StandIn> = (0..1).map(|_| StandIn::start("service", &[])).collect();
        let entries = (0..3)
            .map(|_| (free_port(), None::<TestProcess>))
            .collect::<Vec<_>>();
        let mut fleet = Self {
            control,
            entries: Vec::new(),
            engines,
            services,
        };
        for (number, (port, _)) in entries.into_iter().enumerate() {
            let process = fleet.start_entry(number, port);
            fleet.entries.push((port, process));
        }
        let body =
            json!({ "request_id": "fleet-1", "expected": 0, "config": fleet.configuration() });
        let all = fleet.control.running();
        fleet.control.apply_until_done(&all, &body).await;
        fleet.wait_served().await;
        fleet
    }

    fn start_entry(&self, number: usize, port: u16) -> TestProcess {
        let folder = &self.control.folder;
        let control: Vec<String> = self
            .control
            .ports
            .iter()
            .map(|ports| format!("127.0.0.1:{}", ports.system))
            .collect();
        let settings = json!({
            "vm": format!("entry-{number}"), "data_centre": format!("dc-{}", number + 1),
            "listen": { "address": "127.0.0.1", "port": port }, "control": control,
            "system_secret_file": folder.path("system.secret"),
            "key_hash_secret_file": folder.path("key.secret"),
            "drain_delay_ms": 500, "drain_timeout_ms": 20_000,
        });
        let path = folder.write(&format!("entry-{number}.json"), &settings.to_string());
        let log = folder.path(&format!("entry-{number}.log"));
        TestProcess::start_logged("waxwing-entry", &["--config", text(&path)], &log)
    }

    fn configuration(&self) -> Value {
        let teams = (0..TEAMS).map(|n| {
            json!({
                "id": format!("team-{n}"), "rate_tokens_per_second": 5_000, "burst_tokens": 50_000,
            })
        });
        let keys = (0..TEAMS).map(|n| {
            json!({
                "id": format!("key-{n}"), "team": format!("team-{n}"),
                "hash": key_hash(&format!("wl-team-{n}")),
            })
        });
        let engines = self.engines.iter().enumerate().map(|(n, engine)| json!({
            "id": format!("engine-{n}"), "vm": format!("vm-e{n}"),
            "data_centre": format!("dc-{}", n + 1), "kind": "engine", "address": engine.address(),
            "accelerators": 1, "accelerator_memory_mib": 8_000, "slots": 64, "checks_fencing": n != 1,
        }));
        let services = self.services.iter().enumerate().map(|(n, service)| {
            json!({
                "id": format!("shop-{n}"), "vm": format!("vm-s{n}"),
                "data_centre": format!("dc-{}", n + 1), "kind": "service", "service": "shop",
                "address": service.address(), "slots": 64,
            })
        });
        json!({
            "teams": teams.collect::<Vec<_>>(), "keys": keys.collect::<Vec<_>>(),
            "routes": [
                { "id": "models", "path_prefix": "/v1", "kind": "model" },
                { "id": "stock", "path_prefix": "/stock", "kind": "service", "service": "shop" },
                { "id": "orders", "path_prefix": "/orders", "kind": "service", "service": "shop",
                  "idempotency": "claimed" },
            ],
            "models": [
                { "id": "chat", "version": "1", "memory_mib": 2_000, "residency": "pinned", "min_copies": 3 },
                { "id": "draft", "version": "1", "memory_mib": 3_000 },
            ],
            "adapters": [{ "id": "warranty", "model": "chat", "version": "1", "memory_mib": 50 }],
            "targets": engines.chain(services).collect::<Vec<_>>(),
            "weight_store": { "loads_per_second": 10.0, "concurrent_loads": 10 },
        })
    }

    async fn wait_served(&self) {
        for (port, _) in &self.entries {
            for model in ["chat", "draft", "warranty"] {
                wait_for(&format!("answer of {model}"), START_LIMIT, async || {
                    let url = format!("http://127.0.0.1:{port}/v1/completions");
                    let body = json!({ "model": model, "prompt": "ready", "max_tokens": 1 });
                    let call = self
                        .control
                        .client
                        .post(url)
                        .bearer_auth("wl-team-0")
                        .json(&body);
                    let answer = call.timeout(Duration::from_secs(5)).send().await.ok()?;
                    answer.status().is_success().then_some(())
                })
                .await;
            }
        }
    }

    fn load(
        &self,
        shape: LoadShape,
        seconds: u64,
        seed: u64,
    ) -> tokio::task::JoinHandle<LoadReport> {
        let settings = LoadSettings {
            entries: self
                .entries
                .iter()
                .map(|(port, _)| format!("127.0.0.1:{port}"))
                .collect(),
            keys: (0..TEAMS).map(|n| format!("wl-team-{n}")).collect(),
            models: ["chat", "draft", "warranty"].map(str::to_owned).to_vec(),
            duration: Duration::from_secs(seconds),
            seed,
        };
        tokio::spawn(
            LoadRun::new(shape, settings)
                .expect("a client can be built")
                .run(),
        )
    }

    /// Checks the services' own records against what callers were told.
    async fn check_reservations(&self, report: &LoadReport) {
        let mut runs = std::collections::BTreeMap::<String, u64>::new();
        for service in &self.services {
            let record = service.record(&self.control.client).await;
            for (key, count) in record.runs {
                *runs.entry(key).or_default() += count;
            }
        }
        for (key, count) in &runs {
            assert_eq!(*count, 1, "reservation {key} ran {count} times");
        }
        for key in &report.reserved {
            assert!(
                runs.contains_key(key),
                "reservation {key} was answered and never ran"
            );
        }
    }
}

#[rstest]
#[case::atlas(LoadShape::atlas(4.0), 1)]
#[case::brattvold(LoadShape::brattvold(4.0), 2)]
#[tokio::test(flavor = "multi_thread")]
async fn nothing_is_doubled_or_crossed_when_an_entry_and_the_leader_die(
    #[case] shape: LoadShape,
    #[case] seed: u64,
) {
    let mut fleet = WholeFleet::start().await;
    let load = fleet.load(shape, 14, seed);
    tokio::time::sleep(Duration::from_secs(3)).await;
    let leader = fleet.control.leader().await;
    fleet.control.kill(leader);
    tokio::time::sleep(Duration::from_secs(4)).await;
    fleet.entries[0].1.kill();
    tokio::time::sleep(Duration::from_secs(1)).await;
    fleet.control.launch(leader);
    let port = fleet.entries[0].0;
    fleet.entries[0].1 = fleet.start_entry(0, port);
    let report = load.await.expect("the load run ends");
    println!("{report}");
    assert_eq!(report.wrong, 0, "answers of other requests");
    // An entry that has just started has no configuration yet; that is no unknown route.
    assert!(!report.refused.contains_key("unknown_route"), "{report}");
    fleet.check_reservations(&report).await;
    // An engine counts its memory itself, whatever orders came late.
    for engine in &fleet.engines {
        let url = format!("http://{}/engine/v1/report", engine.address());
        let answer = fleet
            .control
            .client
            .get(url)
            .send()
            .await
            .expect("the engine answers");
        let body: Value = answer.json().await.expect("the report is JSON");
        let copies = body["copies"].as_array().cloned().unwrap_or_default();
        let used: u64 = copies
            .iter()
            .filter_map(|copy| copy["memory_mib"].as_u64())
            .sum();
        assert!(used <= 8_000, "{used} MiB");
    }
    let whole: u64 = report.teams.values().map(|team| team.whole).sum();
    assert!(whole > 0, "{report}");
}

#[tokio::test(flavor = "multi_thread")]
async fn no_request_is_cut_when_every_entry_is_restarted_in_turn() {
    let mut fleet = WholeFleet::start().await;
    let mut restarted = Vec::new();
    for number in 0..fleet.entries.len() {
        // Callers move to the other entries once readiness fails, as behind a load balancer.
        let others: Vec<u16> = fleet
            .entries
            .iter()
            .enumerate()
            .filter(|(other, _)| *other != number)
            .map(|(_, (port, _))| *port)
            .collect();
        let streams: Vec<_> = (0..10)
            .map(|stream| {
                let url = format!(
                    "http://127.0.0.1:{}/v1/completions",
                    fleet.entries[number].0
                );
                let prompt = (0..300)
                    .map(|word| format!("s{stream}w{word}"))
                    .collect::<Vec<_>>();
                let body = json!({ "model": "chat", "prompt": prompt.join(" "), "stream": true,
                    "max_tokens": 300 });
                let call = fleet
                    .control
                    .client
                    .post(url)
                    .bearer_auth("wl-team-1")
                    .json(&body);
                tokio::spawn(async move { call.send().await?.text().await })
            })
            .collect();
        tokio::time::sleep(Duration::from_millis(300)).await;
        let (port, process) = &mut fleet.entries[number];
        let port = *port;
        process.terminate();
        let code = process.exit_code(Duration::from_secs(20)).await;
        assert_eq!(code, Some(0), "entry {number}");
        for stream in streams {
            let answer = stream
                .await
                .expect("the task ends")
                .expect("the stream ends cleanly");
            assert!(
                answer.contains("w299") && answer.contains("[DONE]"),
                "entry {number} cut it"
            );
        }
        fleet.entries[number].1 = fleet.start_entry(number, port);
        restarted.push(port);
        fleet.wait_served().await;
        assert!(!others.is_empty());
    }
    assert_eq!(restarted.len(), 3);
    let status = format!(
        "http://127.0.0.1:{}/admin/v1/config?local=true",
        fleet.control.ports[0].admin
    );
    let answer = fleet
        .control
        .client
        .get(status)
        .bearer_auth(ADMIN_TOKEN)
        .send()
        .await;
    assert!(
        answer
            .expect("the control daemon answers")
            .status()
            .is_success()
    );
}
