//! Measures the slopes from which docs/CAPACITY.md works out the figures at the design scale.
//!
//! Run it alone, with `cargo test --release --test capacity -- --ignored --nocapture`.

#![allow(clippy::cast_precision_loss)] // Figures for people.

mod harness;

use std::{
    fs,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use harness::{
    ADMIN_TOKEN, TestFolder, TestProcess, control_settings, entry_settings, free_port, key_hash,
    text, wait_for,
};
use serde_json::{Value, json};
use tokio::net::{TcpListener, TcpStream};
use waxwinglatch::{
    border::FleetConfig,
    client,
    config::EntryConfig,
    entry::{DemandCounter, PolledReports, SharedAllowance, SharedView, SyncContext, SyncFollower},
    fleet::{FleetDelta, FleetIndex},
    sync,
};

const START_LIMIT: Duration = Duration::from_secs(20);
const MEASURE_TIME: Duration = Duration::from_secs(6);
/// Clock ticks a second in `/proc/PID/stat`.
const TICKS_PER_SECOND: f64 = 100.0;

/// A configuration with so many models and a proportional number of engines, keys and teams.
fn configuration(models: u64) -> Value {
    let list = |number: u64, item: &dyn Fn(u64) -> Value| (0..number).map(item).collect::<Vec<_>>();
    json!({
        "teams": list(models / 10, &|n| json!({
            "id": format!("team-{n}"), "rate_tokens_per_second": 1_000, "burst_tokens": 100_000,
        })),
        "keys": list(models / 4, &|n| json!({
            "id": format!("key-{n}"), "team": format!("team-{}", n % (models / 10)),
            "hash": key_hash(&format!("wl-{n}")),
        })),
        "routes": [{ "id": "models", "path_prefix": "/v1", "kind": "model" }],
        "models": list(models, &|n| json!({
            "id": format!("model-{n}"), "version": "2026-12-01", "memory_mib": 20_000,
        })),
        "targets": list(models * 860 / 1_600, &|n| json!({
            "id": format!("engine-{n}"), "vm": format!("vm-{n}"),
            "data_centre": format!("dc-{}", n % 6), "kind": "engine",
            "address": format!("127.1.{}.{}:9", n / 250, 1 + n % 250), "accelerators": 8,
            "accelerator_memory_mib": 81_920,
        })),
        "weight_store": { "loads_per_second": 100.0, "concurrent_loads": 100 },
    })
}

fn typed(models: u64) -> FleetConfig {
    serde_json::from_value(configuration(models)).expect("the configuration fits the types")
}

fn cpu_seconds(pid: u32) -> f64 {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).expect("the process runs");
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap_or("")
        .split_whitespace()
        .collect();
    let ticks: f64 =
        fields[11].parse::<f64>().unwrap_or(0.0) + fields[12].parse::<f64>().unwrap_or(0.0);
    ticks / TICKS_PER_SECOND
}

fn resident_kib(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).expect("the process runs");
    let line = status
        .lines()
        .find(|line| line.starts_with("VmRSS:"))
        .unwrap_or_default();
    line.split_whitespace()
        .nth(1)
        .and_then(|kib| kib.parse().ok())
        .unwrap_or(0)
}

struct ControlProcess {
    folder: TestFolder,
    process: TestProcess,
    system: u16,
    admin: u16,
}

impl ControlProcess {
    async fn start(models: u64) -> Self {
        let folder = TestFolder::new();
        let [system, admin] = [(); 2].map(|()| free_port());
        let settings = control_settings(&folder, system, admin).to_string();
        let path = folder.write("control.json", &settings);
        let process = TestProcess::start("waxwing-control", &["--config", text(&path)]);
        let control = Self {
            folder,
            process,
            system,
            admin,
        };
        let body = json!({
            "request_id": "capacity-0", "expected": 0, "config": configuration(models),
        });
        wait_for("accepted configuration", START_LIMIT, async || {
            control.apply(&body).await
        })
        .await;
        control
    }

    async fn apply(&self, body: &Value) -> Option<()> {
        let client = client::http_client().ok()?;
        let url = format!("http://127.0.0.1:{}/admin/v1/config", self.admin);
        let call = client
            .put(url)
            .bearer_auth(ADMIN_TOKEN)
            .json(body)
            .send()
            .await
            .ok()?;
        let status = call.status();

        status.is_success().then_some(())
    }

    /// Starts stand-in entries: the real follower without a caller port.
    fn entries(
        &self,
        number: u64,
        port: u16,
    ) -> Vec<(Arc<SharedView>, tokio::task::JoinHandle<()>)> {
        let entry = |n: u64| {
            let settings = entry_settings(&self.folder, &format!("entry-{n}"), 1, port);
            let config: EntryConfig = serde_json::from_value(settings).expect("settings fit");
            let view = Arc::new(SharedView::default());
            let parts = SyncContext {
                view: Arc::clone(&view),
                demand: Arc::new(DemandCounter::default()),
                polled: Arc::new(PolledReports::default()),
                allowance: Arc::new(SharedAllowance::new()),
                parts: Arc::new(waxwinglatch::gateway::CrashWatch::new(&"edge".into())),
            };
            let client = client::http_client().expect("a client can be built");
            let follower = SyncFollower::new(&config, "system-secret".to_owned(), parts, client);
            (view, tokio::spawn(Arc::new(follower).run()))
        };
        (0..number).map(entry).collect()
    }
}

/// Forwards to a port and counts the bytes of both directions.
async fn counting_relay(to: u16) -> (u16, Arc<AtomicU64>) {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let port = listener
        .local_addr()
        .expect("the listener has an address")
        .port();
    let bytes = Arc::new(AtomicU64::new(0));
    let counted = Arc::clone(&bytes);
    tokio::spawn(async move {
        while let Ok((caller, _)) = listener.accept().await {
            let counted = Arc::clone(&counted);
            tokio::spawn(async move {
                let Ok(target) = TcpStream::connect(("127.0.0.1", to)).await else {
                    return;
                };
                let (from_caller, to_caller) = caller.into_split();
                let (from_target, to_target) = target.into_split();
                let up = tokio::spawn(copy_counted(from_caller, to_target, Arc::clone(&counted)));
                copy_counted(from_target, to_caller, counted).await;
                up.abort();
            });
        }
    });
    (port, bytes)
}

async fn copy_counted(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    counted: Arc<AtomicU64>,
) {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let mut buffer = vec![0; 16 * 1_024];
    while let Ok(read) = from.read(&mut buffer).await {
        if read == 0 || to.write_all(&buffer[..read]).await.is_err() {
            return;
        }
        counted.fetch_add(read as u64, Ordering::Relaxed);
    }
}

async fn wait_for_revision(
    entries: &[(Arc<SharedView>, tokio::task::JoinHandle<()>)],
    revision: u64,
) {
    wait_for("revision at all entries", START_LIMIT, async || {
        entries
            .iter()
            .all(|(view, _)| view.get().revision >= revision)
            .then_some(())
    })
    .await;
}

fn print_fit(what: &str, points: &[(f64, f64)]) {
    let number = points.len() as f64;
    let sum = |value: &dyn Fn(&(f64, f64)) -> f64| points.iter().map(value).sum::<f64>();
    let (x, y) = (sum(&|p| p.0) / number, sum(&|p| p.1) / number);
    let slope = sum(&|p| (p.0 - x) * (p.1 - y)) / sum(&|p| (p.0 - x).powi(2));
    let residual = sum(&|p| (p.1 - (y + slope * (p.0 - x))).powi(2));
    let total = sum(&|p| (p.1 - y).powi(2)).max(1e-12);
    println!(
        "fit: {what} = {:.4} + {slope:.5} x, r2 {:.3}",
        y - slope * x,
        1.0 - residual / total
    );
}

#[tokio::test(flavor = "multi_thread")]
#[ignore = "a measurement of two minutes, not a check"]
async fn slopes_of_the_sync() {
    println!("\nentries  leader cpu %  us per entry s  leader rss MiB  apply to in force ms");
    let mut cpu = Vec::new();
    let mut memory = Vec::new();
    for number in [25_u64, 50, 100, 200, 400] {
        let control = ControlProcess::start(100).await;
        let entries = control.entries(number, control.system);
        wait_for_revision(&entries, 1).await;
        let pid = control.process.id();
        let before = cpu_seconds(pid);
        tokio::time::sleep(MEASURE_TIME).await;
        let used = (cpu_seconds(pid) - before) / MEASURE_TIME.as_secs_f64();
        let mut changed = configuration(100);
        changed["keys"]
            .as_array_mut()
            .expect("keys are a list")
            .pop();
        let body = json!({ "request_id": "capacity-1", "expected": 1, "config": changed });
        let started = Instant::now();
        control.apply(&body).await.expect("the change is accepted");
        wait_for_revision(&entries, 2).await;
        let in_force = started.elapsed();
        let rss = resident_kib(pid) as f64 / 1_024.0;
        println!(
            "{number:>7} {:>13.2} {:>15.1} {rss:>15.1} {:>21.0}",
            used * 100.0,
            used * 1e6 / number as f64,
            in_force.as_secs_f64() * 1e3,
        );
        cpu.push((number as f64, used * 100.0));
        memory.push((number as f64, rss));
        for (_, task) in entries {
            task.abort();
        }
    }
    print_fit("leader cpu % per entry", &cpu);
    print_fit("leader rss MiB per entry", &memory);
}

#[tokio::test(flavor = "multi_thread")]
#[ignore = "a measurement of a minute, not a check"]
async fn slopes_of_the_configuration() {
    println!(
        "\nmodels  snapshot B  key change B  model change B  index ms  entry rss MiB  idle B/s  entry cpu %"
    );
    let mut snapshots = Vec::new();
    let mut memory = Vec::new();
    for models in [100_u64, 400, 800, 1_600] {
        let config = typed(models);
        let snapshot = sync::encode(&config).expect("it encodes").len();
        let mut fewer_keys = config.clone();
        fewer_keys.keys.pop();
        let mut new_version = config.clone();
        new_version.models[3].version = "2026-12-04".into();
        let delta = |new: &FleetConfig| {
            sync::encode(&FleetDelta::between(&config, new))
                .expect("it encodes")
                .len()
        };
        let started = Instant::now();
        let index = FleetIndex::new(&config);
        let index_ms = started.elapsed().as_secs_f64() * 1e3;
        drop(index);

        let control = ControlProcess::start(models).await;
        let (relay, bytes) = counting_relay(control.system).await;
        let port = free_port();
        let settings = entry_settings(&control.folder, "entry-1", port, relay).to_string();
        let path = control.folder.write("entry.json", &settings);
        let entry = TestProcess::start("waxwing-entry", &["--config", text(&path)]);
        let client = client::http_client().expect("a client can be built");
        wait_for("serving entry", START_LIMIT, async || {
            let url = format!("http://127.0.0.1:{port}/v1/models");
            let call = client.get(url).bearer_auth("wl-0").send().await.ok()?;
            call.status().is_success().then_some(())
        })
        .await;
        tokio::time::sleep(Duration::from_secs(2)).await;
        let (bytes_before, cpu_before) = (bytes.load(Ordering::Relaxed), cpu_seconds(entry.id()));
        tokio::time::sleep(MEASURE_TIME).await;
        let seconds = MEASURE_TIME.as_secs_f64();
        let rate = (bytes.load(Ordering::Relaxed) - bytes_before) as f64 / seconds;
        let cpu = (cpu_seconds(entry.id()) - cpu_before) / seconds * 100.0;
        let rss = resident_kib(entry.id()) as f64 / 1_024.0;
        println!(
            "{models:>6} {snapshot:>11} {:>13} {:>15} {index_ms:>9.2} {rss:>14.1} {rate:>9.0} {cpu:>12.2}",
            delta(&fewer_keys),
            delta(&new_version),
        );
        snapshots.push((models as f64, snapshot as f64));
        memory.push((models as f64, rss));
    }
    print_fit("snapshot bytes per model", &snapshots);
    print_fit("entry rss MiB per model", &memory);
}
