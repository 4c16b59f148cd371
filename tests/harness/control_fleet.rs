//! Control daemons as real processes, with the faults that tests inject.
#![allow(dead_code)] // Each test program uses a part.

use std::{
    fs,
    path::PathBuf,
    process::{Child, Command, ExitStatus, Stdio},
    time::{Duration, Instant},
};

use reqwest::Client;
use serde_json::{Value, json};
use waxwinglatch::control::{MemberAnswer, MembersView};

use crate::harness::{ADMIN_TOKEN, TestFolder, free_port, text, wait_for};

/// Time within which a fleet elects a leader on a busy machine.
pub const ELECTION_LIMIT: Duration = Duration::from_secs(15);
/// Time that one call to a daemon may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Ports of one daemon.
#[derive(Clone, Copy)]
pub struct DaemonPorts {
    /// Where the daemon listens for peers and entries.
    pub system: u16,
    /// Where peers and entries are told to find it.
    pub advertised: u16,
    /// Where it listens for operators.
    pub admin: u16,
}

/// A fleet of control daemons, numbered from 0; daemon `n` runs on `vm-n`.
pub struct ControlFleet {
    pub folder: TestFolder,
    pub client: Client,
    pub ports: Vec<DaemonPorts>,
    processes: Vec<Option<Child>>,
}

impl ControlFleet {
    /// Starts `count` daemons that found a fleet.
    pub fn start(count: usize) -> Self {
        let ports = (0..count).map(|_| {
            let system = free_port();
            let advertised = system;
            let admin = free_port();
            DaemonPorts {
                system,
                advertised,
                admin,
            }
        });
        Self::start_at(ports.collect())
    }

    /// Starts daemons at the given ports.
    pub fn start_at(ports: Vec<DaemonPorts>) -> Self {
        let folder = TestFolder::new();
        let client = waxwinglatch::client::http_client().expect("a client can be built");
        let count = ports.len();
        let processes = Vec::new();
        let mut fleet = Self {
            folder,
            client,
            ports,
            processes,
        };
        for number in 0..count {
            fleet.write_settings(number, count, false);
            fleet.processes.push(None);
            fleet.launch(number);
        }
        fleet
    }

    /// Adds a daemon that joins the fleet as a learner and returns its number.
    pub fn join(&mut self) -> usize {
        let founders = self.ports.len();
        let system = free_port();
        let advertised = system;
        let admin = free_port();
        self.ports.push(DaemonPorts {
            system,
            advertised,
            admin,
        });
        self.processes.push(None);
        self.write_settings(founders, founders, true);
        self.launch(founders);
        founders
    }

    fn write_settings(&self, number: usize, founders: usize, join: bool) {
        let voters = self.ports[..founders]
            .iter()
            .enumerate()
            .map(|(number, ports)| {
                json!({
                    "vm": vm(number), "data_centre": "dc-1",
                    "system": format!("127.0.0.1:{}", ports.advertised),
                    "admin": format!("127.0.0.1:{}", ports.admin),
                })
            });
        let settings = json!({
            "vm": vm(number), "data_centre": "dc-1", "data_folder": self.data_folder(number),
            "system_listen": { "address": "127.0.0.1", "port": self.ports[number].system },
            "admin_listen": { "address": "127.0.0.1", "port": self.ports[number].admin },
            "voters": voters.collect::<Vec<_>>(), "join": join,
            "system_secret_file": self.folder.path("system.secret"),
            "admin_token_file": self.folder.path("admin.token"),
        });
        self.folder
            .write(&format!("{}.json", vm(number)), &settings.to_string());
    }

    /// Path of a daemon's data folder.
    pub fn data_folder(&self, number: usize) -> PathBuf {
        self.folder.path(&vm(number))
    }

    /// Starts a daemon that does not run.
    pub fn launch(&mut self, number: usize) {
        let settings = self.folder.path(&format!("{}.json", vm(number)));
        let log_path = self.folder.path(&format!("{}.log", vm(number)));
        let log = fs::File::options().create(true).append(true).open(log_path);
        let log = log.expect("the log file can be opened");
        let child = Command::new(env!("CARGO_BIN_EXE_waxwing-control"))
            .args(["--config", text(&settings)])
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the file can be shared"))
            .stderr(log)
            .spawn();
        self.processes[number] = Some(child.expect("the program starts"));
    }

    /// Sends a signal to a daemon.
    pub fn signal(&self, number: usize, name: &str) {
        let child = self.processes[number].as_ref().expect("the daemon runs");
        let id = child.id().to_string();
        let sent = Command::new("kill").args(["-s", name, &id]).status();
        assert!(sent.expect("kill can be started").success());
    }

    /// Kills a daemon as `kill -9` does.
    pub fn kill(&mut self, number: usize) {
        if let Some(mut child) = self.processes[number].take() {
            child.kill().expect("the daemon can be killed");
            child.wait().expect("the daemon has ended");
        }
    }

    /// Waits until a daemon has ended by itself.
    pub async fn wait(&mut self, number: usize, limit: Duration) -> ExitStatus {
        let mut child = self.processes[number].take().expect("the daemon runs");
        let status = wait_for("end of the daemon", limit, async || {
            child.try_wait().expect("the daemon can be waited for")
        });
        status.await
    }

    /// Deletes the data folder of a daemon that does not run.
    pub fn lose_disk(&self, number: usize) {
        assert!(self.processes[number].is_none());
        fs::remove_dir_all(self.data_folder(number)).expect("the folder can be deleted");
    }

    /// Numbers of the daemons that run.
    pub fn running(&self) -> Vec<usize> {
        let running = |number: &usize| self.processes[*number].is_some();
        (0..self.processes.len()).filter(running).collect()
    }

    /// Returns what a daemon knows about the members.
    pub async fn members(&self, number: usize) -> Option<MembersView> {
        let call = self.client.get(self.url(number, "/admin/v1/members"));
        let answer = call
            .bearer_auth(ADMIN_TOKEN)
            .timeout(CALL_TIMEOUT)
            .send()
            .await
            .ok()?;
        answer.json().await.ok()
    }

    /// Waits until one daemon of `among` leads and the others follow it.
    pub async fn leader_among(&self, among: &[usize]) -> usize {
        wait_for("leader", ELECTION_LIMIT, async || {
            let asked = among.iter().map(|&number| self.members(number));
            let views = futures::future::join_all(asked).await;
            let views = views.into_iter().collect::<Option<Vec<_>>>()?;
            let at = views.iter().position(|view| view.leads)?;
            let agreed = |view: &MembersView| {
                view.term == views[at].term && view.leader.as_ref() == Some(&views[at].this)
            };
            views.iter().all(agreed).then_some(among[at])
        })
        .await
    }

    /// Waits for a leader among the daemons that run.
    pub async fn leader(&self) -> usize {
        self.leader_among(&self.running()).await
    }

    /// Asks a daemon to change the membership.
    pub async fn change(&self, number: usize, action: &str, body: Value) -> Option<MemberAnswer> {
        let call = self
            .client
            .post(self.url(number, &format!("/admin/v1/members/{action}")));
        let call = call
            .bearer_auth(ADMIN_TOKEN)
            .json(&body)
            .timeout(CALL_TIMEOUT * 4);
        call.send().await.ok()?.json().await.ok()
    }

    /// Repeats a membership change at the leader until it is committed.
    pub async fn change_until_done(&self, action: &str, id: &str) {
        wait_for("committed membership change", ELECTION_LIMIT, async || {
            let leader = self.leader().await;
            let answer = self.change(leader, action, json!({ "id": id })).await?;
            (answer.code == 0).then_some(())
        })
        .await;
    }

    /// Sends a configuration and returns the revision when it is accepted.
    pub async fn apply(&self, number: usize, request: &Value) -> Option<u64> {
        let call = self.client.put(self.url(number, "/admin/v1/config"));
        let call = call
            .bearer_auth(ADMIN_TOKEN)
            .json(request)
            .timeout(CALL_TIMEOUT);
        let answer = call.send().await.ok()?;
        if !answer.status().is_success() {
            return None;
        }
        answer.json::<Value>().await.ok()?["revision"].as_u64()
    }

    /// Sends a configuration to the daemons of `among` in turn until one accepts it.
    pub async fn apply_until_done(&self, among: &[usize], request: &Value) -> u64 {
        wait_for("accepted configuration", ELECTION_LIMIT, async || {
            for &number in among {
                if let Some(revision) = self.apply(number, request).await {
                    return Some(revision);
                }
            }
            None
        })
        .await
    }

    /// Returns the revision that a daemon shows.
    pub async fn revision(&self, number: usize) -> Option<u64> {
        let call = self.client.get(self.url(number, "/admin/v1/config"));
        let answer = call
            .bearer_auth(ADMIN_TOKEN)
            .timeout(CALL_TIMEOUT)
            .send()
            .await
            .ok()?;
        answer.json::<Value>().await.ok()?["revision"].as_u64()
    }

    /// Waits until a daemon answers that it is ready.
    pub async fn wait_ready(&self, number: usize) {
        wait_for("ready daemon", ELECTION_LIMIT, async || {
            let call = self
                .client
                .get(self.url(number, "/readyz"))
                .timeout(CALL_TIMEOUT);
            let answer = call.send().await.ok()?;
            answer.status().is_success().then_some(())
        })
        .await;
    }

    /// Address of a path on a daemon's administration port.
    pub fn url(&self, number: usize, path: &str) -> String {
        format!("http://127.0.0.1:{}{path}", self.ports[number].admin)
    }
}

impl Drop for ControlFleet {
    fn drop(&mut self) {
        for number in 0..self.processes.len() {
            self.kill(number);
            if std::thread::panicking() {
                let log = fs::read_to_string(self.folder.path(&format!("{}.log", vm(number))));
                let log = log.unwrap_or_default();
                let lines: Vec<_> = log.lines().collect();
                let last = lines.len().saturating_sub(30);
                eprintln!("--- log of {}\n{}", vm(number), lines[last..].join("\n"));
            }
        }
    }
}

/// VM of a daemon.
pub fn vm(number: usize) -> String {
    format!("vm-{number}")
}

/// Request to replace the configuration, numbered by the revision that it starts from.
pub fn apply_request(expected: u64) -> Value {
    padded_request(expected, 0)
}

/// Request with a configuration of at least `padding` bytes.
pub fn padded_request(expected: u64, padding: usize) -> Value {
    let teams = (0..=padding / 100).map(|number| {
        json!({ "id": format!("team-{expected}-{number}"), "rate_tokens_per_second": 1000, "burst_tokens": 10000 })
    });
    json!({
        "request_id": format!("request-{expected}"), "expected": expected,
        "config": {
            "teams": teams.collect::<Vec<_>>(), "keys": [], "routes": [], "models": [], "targets": [],
            "weight_store": { "loads_per_second": 1.5, "concurrent_loads": 10 },
        },
    })
}

/// Time since `started` in milliseconds, for messages.
pub fn elapsed_ms(started: Instant) -> u128 {
    started.elapsed().as_millis()
}
