use std::{
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use reqwest::Client;
use serde_json::{Value, json};
use tempfile::TempDir;
use waxwinglatch::{client, config::ControlConfig};

use crate::{local::settings, microseconds};

const ROUNDS: usize = 20;
/// Time after the leader's end in which the longest gap is looked for.
const OBSERVED: Duration = Duration::from_secs(4);
/// Time between two attempts to commit while there is no leader.
const RETRY_PERIOD: Duration = Duration::from_millis(5);

/// Prints the longest time without a commit around the end of a leader's process.
pub async fn measure() {
    println!(
        "\nlongest time without a commit around the leader's end, 3 daemons, {ROUNDS} rounds each"
    );
    println!("| end | p50 ms | p90 ms | max ms |");
    println!("| --- | --- | --- | --- |");
    for (name, signal) in [("kill -9", "KILL"), ("SIGTERM", "TERM")] {
        let mut gaps = microseconds();
        let mut fleet = DaemonProcesses::start();
        let mut revision = fleet.commit(0).await.1;
        for _ in 0..ROUNDS {
            // The last leader must be a member again, or the next death would cost the quorum.
            tokio::time::sleep(Duration::from_secs(3)).await;
            let (leader, next) = fleet.commit(revision).await;
            fleet.end(leader, signal);
            let (gap, next) = fleet.longest_gap(next).await;
            gaps.saturating_record(u64::try_from(gap.as_millis()).unwrap_or(u64::MAX));
            revision = next;
            fleet.restart(leader);
        }
        let at = |quantile| gaps.value_at_quantile(quantile);
        println!("| {name} | {} | {} | {} |", at(0.5), at(0.9), gaps.max());
    }
}

struct DaemonProcesses {
    configs: Vec<ControlConfig>,
    processes: Vec<Child>,
    client: Client,
    folder: TempDir,
}

impl DaemonProcesses {
    fn start() -> Self {
        let folder = TempDir::new().expect("a temporary folder can be made");
        let configs = settings(folder.path(), 3);
        let processes = configs
            .iter()
            .map(|config| spawn(config, &folder))
            .collect();
        let client = client::http_client().expect("a client can be built");
        Self {
            configs,
            processes,
            client,
            folder,
        }
    }

    /// Commits a configuration and returns the leader and the new revision.
    async fn commit(&self, expected: u64) -> (usize, u64) {
        let body = json!({
            "request_id": format!("request-{expected}"), "expected": expected,
            "config": {
                "teams": [], "keys": [], "routes": [], "models": [], "targets": [],
                "weight_store": { "loads_per_second": 1.5, "concurrent_loads": 10 },
            },
        });
        loop {
            for (number, config) in self.configs.iter().enumerate() {
                let url = format!("http://{}/admin/v1/config", config.admin_listen.socket());
                let call = self.client.put(url).bearer_auth("measurement").json(&body);
                let answer = call.timeout(Duration::from_secs(1)).send().await;
                if let Ok(answer) = answer
                    && answer.status().is_success()
                    && let Ok(answer) = answer.json::<Value>().await
                {
                    return (number, answer["revision"].as_u64().unwrap_or_default());
                }
            }
            tokio::time::sleep(RETRY_PERIOD).await;
        }
    }

    /// Commits for a while and returns the longest time from one commit to the next. A leader that
    /// is told to stop still commits for a moment.
    async fn longest_gap(&self, mut revision: u64) -> (Duration, u64) {
        let begun = Instant::now();
        let mut longest = Duration::ZERO;
        while begun.elapsed() < OBSERVED {
            let last = Instant::now();
            revision = self.commit(revision).await.1;
            longest = longest.max(last.elapsed());
        }
        (longest, revision)
    }

    /// Sends a signal.
    fn end(&mut self, number: usize, signal: &str) {
        let id = self.processes[number].id().to_string();
        let sent = Command::new("kill").args(["-s", signal, &id]).status();
        assert!(sent.is_ok_and(|status| status.success()));
    }

    fn restart(&mut self, number: usize) {
        let _ = self.processes[number].wait();
        self.processes[number] = spawn(&self.configs[number], &self.folder);
    }
}

impl Drop for DaemonProcesses {
    fn drop(&mut self) {
        for process in &mut self.processes {
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}

fn spawn(config: &ControlConfig, folder: &TempDir) -> Child {
    let path = folder.path().join(format!("{}.json", config.vm));
    let text = serde_json::to_vec(config).expect("settings are JSON");
    std::fs::write(&path, text).expect("the folder is writable");
    // Examples are built into a folder beside the programs.
    let example = std::env::current_exe().expect("the program has a path");
    let target = example.parent().and_then(|folder| folder.parent());
    let program = target
        .expect("it is in a target folder")
        .join("waxwing-control");
    Command::new(program)
        .arg("--config")
        .arg(path)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .expect("waxwing-control is built")
}
