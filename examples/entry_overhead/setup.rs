//! Processes of the measurement.

use std::{
    fs,
    net::TcpListener,
    path::PathBuf,
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use serde_json::json;
use tempfile::TempDir;
use waxwinglatch::fleet::KeyHasher;

/// Name of the model of the fast engine.
pub const MODEL: &str = "reply-small";
/// Name of the model of the slow engine.
pub const SLOW_MODEL: &str = "reply-slow";
/// Key of the only team.
pub const KEY: &str = "wl-overhead-key";
/// Clock ticks per second in `/proc/<pid>/stat`; the value of all common Linux systems.
const TICKS_PER_SECOND: u64 = 100;

/// A control daemon, an entry, a fast engine and a slow one.
pub struct Setup {
    /// URL of the fast engine.
    pub engine_url: String,
    /// URL of the entry.
    pub entry_url: String,
    entry: Child,
    others: Vec<Child>,
    _folder: TempDir,
}

impl Setup {
    /// Starts the processes and waits until the model is served.
    pub async fn start() -> Self {
        let folder = TempDir::new().expect("a temporary folder can be made");
        let write = |name: &str, content: &str| {
            let path = folder.path().join(name);
            fs::write(&path, content).expect("the file is writable");
            path.to_str().expect("the path is UTF-8").to_owned()
        };
        let secret = write("system.secret", "system-secret");
        let hash_secret = write("key.secret", "key-secret");
        let token = write("admin.token", "operator-token");
        let [engine, slow, system, admin, entry] = [(); 5].map(|()| free_port());
        let listen = |port: u16| json!({ "address": "127.0.0.1", "port": port });
        let control_settings = write(
            "control.json",
            &json!({
                "vm": "vm-1", "data_centre": "dc-1", "data_folder": folder.path().join("data"),
                "system_listen": listen(system), "admin_listen": listen(admin),
                "voters": [{
                    "vm": "vm-1", "data_centre": "dc-1",
                    "system": format!("127.0.0.1:{system}"), "admin": format!("127.0.0.1:{admin}"),
                }],
                "system_secret_file": secret, "admin_token_file": token,
            })
            .to_string(),
        );
        let entry_settings = write(
            "entry.json",
            &json!({
                "vm": "vm-1", "data_centre": "dc-1", "listen": listen(entry),
                "control": [format!("127.0.0.1:{system}")],
                "system_secret_file": secret, "key_hash_secret_file": hash_secret,
            })
            .to_string(),
        );
        let fake = |port: u16, accelerators: &str, token_ms: &str| {
            let port = port.to_string();
            let arguments = [
                "engine",
                "--port",
                &port,
                "--accelerators",
                accelerators,
                "--token-ms",
                token_ms,
                "--slots",
                "4096",
            ];
            start("waxwing-fake", &arguments)
        };
        let others = vec![
            fake(engine, "1", "0"),
            fake(slow, "2", "200"),
            start("waxwing-control", &["--config", &control_settings]),
        ];
        let entry_process = start("waxwing-entry", &["--config", &entry_settings]);
        let setup = Self {
            engine_url: format!("http://127.0.0.1:{engine}"),
            entry_url: format!("http://127.0.0.1:{entry}"),
            entry: entry_process,
            others,
            _folder: folder,
        };
        setup.apply(admin, engine, slow).await;
        setup
    }

    async fn apply(&self, admin: u16, engine: u16, slow: u16) {
        let client = waxwinglatch::client::http_client().expect("a client can be built");
        let hash = KeyHasher::new("key-secret").hash(KEY).to_string();
        let config = json!({
            "teams": [{ "id": "load", "rate_tokens_per_second": 100_000_000, "burst_tokens": 2_000_000_000 }],
            "keys": [{ "id": "load-1", "team": "load", "hash": hash }],
            "routes": [{ "id": "models", "path_prefix": "/v1", "kind": "model" }],
            // Each model fits one engine only.
            "models": [
                { "id": MODEL, "version": "1", "memory_mib": 1000, "residency": "pinned" },
                { "id": SLOW_MODEL, "version": "1", "memory_mib": 500, "span": 2, "residency": "pinned" },
            ],
            "targets": [
                {
                    "id": "engine-1", "vm": "target-1", "data_centre": "dc-1", "kind": "engine",
                    "address": format!("127.0.0.1:{engine}"), "accelerators": 1,
                    "accelerator_memory_mib": 1000, "slots": 4096,
                },
                {
                    "id": "engine-2", "vm": "target-2", "data_centre": "dc-1", "kind": "engine",
                    "address": format!("127.0.0.1:{slow}"), "accelerators": 2,
                    "accelerator_memory_mib": 500, "slots": 4096,
                },
            ],
            "weight_store": { "loads_per_second": 1.5, "concurrent_loads": 10 },
        });
        let apply = json!({ "request_id": "apply-1", "expected": 0, "config": config });
        let started = Instant::now();
        let mut is_applied = false;
        while started.elapsed() < Duration::from_secs(30) {
            let url = format!("http://127.0.0.1:{admin}/admin/v1/config");
            let call = client.put(url).bearer_auth("operator-token").json(&apply);
            is_applied = is_applied || call.send().await.is_ok_and(|it| it.status().is_success());
            let body = json!({ "model": MODEL, "prompt": "ready" });
            let call = client.post(format!("{}/v1/completions", self.entry_url));
            let answer = call.bearer_auth(KEY).json(&body).send().await;
            if is_applied && answer.is_ok_and(|answer| answer.status().is_success()) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        panic!("the fleet does not serve within 30 s");
    }

    /// Processor time that the entry has used.
    pub fn entry_cpu_time(&self) -> Duration {
        let stat = self.read_proc("stat");
        let after_name = stat.rsplit_once(')').expect("the format of proc").1;
        let fields: Vec<&str> = after_name.split_whitespace().collect();
        let ticks: u64 = [11, 12]
            .iter()
            .filter_map(|index| fields.get(*index)?.parse::<u64>().ok())
            .sum();
        Duration::from_millis(ticks * 1_000 / TICKS_PER_SECOND)
    }

    /// Resident memory of the entry.
    pub fn entry_memory_kib(&self) -> u32 {
        let status = self.read_proc("status");
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let number = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
        number.expect("the format of proc")
    }

    fn read_proc(&self, name: &str) -> String {
        fs::read_to_string(format!("/proc/{}/{name}", self.entry.id())).expect("proc is readable")
    }
}

impl Drop for Setup {
    fn drop(&mut self) {
        for child in self.others.iter_mut().chain([&mut self.entry]) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

fn start(program: &str, arguments: &[&str]) -> Child {
    let example = std::env::current_exe().expect("the path of this program is known");
    let folder: PathBuf = example
        .parent()
        .and_then(|examples| examples.parent())
        .expect("examples lie below the programs")
        .into();
    Command::new(folder.join(program))
        .args(arguments)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .spawn()
        .expect("the program was built")
}

fn free_port() -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    listener.local_addr().expect("an address").port()
}
