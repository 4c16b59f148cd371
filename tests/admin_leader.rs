//! Guards against changes that are lost or applied twice when the leader fails or a follower gets
//! the request. Three control daemons run as real processes.

mod harness;

use std::{process::Output, time::Duration};

use assert_cmd::Command;
use harness::{ADMIN_TOKEN, TestFolder, TestProcess, free_port, text, wait_for};
use reqwest::Client;
use serde_json::{Value, json};
use waxwinglatch::client::http_client;

const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Three running control daemons.
struct ClusterFixture {
    folder: TestFolder,
    admin: [u16; 3],
    client: Client,
    processes: Vec<TestProcess>,
}

impl ClusterFixture {
    fn start() -> Self {
        let folder = TestFolder::new();
        let [system, admin] = [[(); 3].map(|()| free_port()), [(); 3].map(|()| free_port())];
        let voters: Vec<Value> = (0..3)
            .map(|index| {
                json!({
                    "vm": format!("vm-{index}"), "data_centre": format!("dc-{index}"),
                    "system": format!("127.0.0.1:{}", system[index]),
                    "admin": format!("127.0.0.1:{}", admin[index]),
                })
            })
            .collect();
        let start = |index: usize| {
            let settings = json!({
                "vm": format!("vm-{index}"), "data_centre": format!("dc-{index}"),
                "data_folder": folder.path(&format!("data-{index}")),
                "system_listen": { "address": "127.0.0.1", "port": system[index] },
                "admin_listen": { "address": "127.0.0.1", "port": admin[index] },
                "voters": voters,
                "system_secret_file": folder.path("system.secret"),
                "admin_token_file": folder.path("admin.token"),
            });
            let path = folder.write(&format!("control-{index}.json"), &settings.to_string());
            TestProcess::start("waxwing-control", &["--config", text(&path)])
        };
        let processes = (0..3).map(start).collect();
        let client = http_client().expect("a client can be built");
        Self {
            folder,
            admin,
            client,
            processes,
        }
    }

    /// Waits until a daemon leads and answers reads, and returns its index.
    async fn leader(&self) -> usize {
        wait_for("leader", START_TIMEOUT, async || {
            for index in 0..3 {
                if self
                    .get(index)
                    .await
                    .is_some_and(|(status, _)| status == 200)
                {
                    return Some(index);
                }
            }
            None
        })
        .await
    }

    async fn get(&self, index: usize) -> Option<(u16, Value)> {
        let url = format!("http://127.0.0.1:{}/admin/v1/config", self.admin[index]);
        let call = self.client.get(url).bearer_auth(ADMIN_TOKEN);
        let answer = call.timeout(Duration::from_secs(2)).send().await.ok()?;
        Some((answer.status().as_u16(), answer.json().await.ok()?))
    }

    /// Runs the operators' command against the administration APIs of some daemons.
    fn run_command(&self, arguments: &[&str], daemons: &[usize], input: &str) -> Output {
        let mut command = Command::new(env!("CARGO_BIN_EXE_waxwing"));
        let token = self.folder.path("admin.token");
        command.args(arguments).args(["--token-file", text(&token)]);
        for daemon in daemons {
            command.args(["--admin", &format!("127.0.0.1:{}", self.admin[*daemon])]);
        }
        command
            .write_stdin(input)
            .output()
            .expect("the command runs")
    }
}

fn fleet(team: &str) -> String {
    json!({
        "teams": [{ "id": team, "rate_tokens_per_second": 10, "burst_tokens": 1000 }],
        "routes": [], "models": [], "targets": [],
        "weight_store": { "loads_per_second": 1.5, "concurrent_loads": 10 },
    })
    .to_string()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_survives_the_loss_of_the_leader_and_is_applied_once() {
    let mut cluster = ClusterFixture::start();
    let leader = cluster.leader().await;
    let follower = (leader + 1) % 3;
    let hint = wait_for("leader hint", START_TIMEOUT, async || {
        let (status, answer) = cluster.get(follower).await?;
        assert_eq!((status, &answer["name"]), (421, &json!("not_leader")));
        answer["leader"].as_str().map(str::to_owned)
    })
    .await;
    assert_eq!(hint, format!("127.0.0.1:{}", cluster.admin[leader]));
    let apply = [
        "apply",
        "-",
        "--expected",
        "0",
        "--request-id",
        "one",
        "--output",
        "json",
    ];
    let first = cluster.run_command(&apply, &[follower], &fleet("a"));
    assert_eq!(
        first.status.code(),
        Some(0),
        "{}",
        String::from_utf8_lossy(&first.stderr)
    );
    cluster.processes[leader].kill();
    let all = [0, 1, 2];
    let resent = cluster.run_command(&apply, &all, &fleet("a"));
    let answer: Value = serde_json::from_slice(&resent.stdout).expect("the output is JSON");
    assert_eq!(
        (resent.status.code(), &answer["revision"]),
        (Some(0), &json!(1))
    );
    let other = cluster.run_command(&apply, &all, &fleet("b"));
    assert_eq!(other.status.code(), Some(8));
    let next = ["apply", "-", "--expected", "1", "--output", "json"];
    assert_eq!(
        cluster.run_command(&next, &all, &fleet("b")).status.code(),
        Some(0)
    );
    let members = cluster.run_command(&["members", "list"], &[follower], "");
    let listed = String::from_utf8_lossy(&members.stdout).into_owned();
    assert_eq!(listed.matches("vm-").count(), 3, "{listed}");
    let refused = cluster.run_command(&["members", "promote", "vm-9@0000000000000001"], &all, "");
    assert_eq!(
        refused.status.code(),
        Some(3),
        "{}",
        String::from_utf8_lossy(&refused.stderr)
    );
    // Without a quorum, a change is neither accepted nor reported as refused.
    let last_follower = (0..3)
        .find(|index| *index != leader && *index != follower)
        .unwrap();
    cluster.processes[last_follower].kill();
    let without_quorum = ["apply", "-", "--expected", "2", "--timeout-ms", "3000"];
    let without_quorum = cluster
        .run_command(&without_quorum, &all, &fleet("c"))
        .status
        .code();
    assert!(matches!(without_quorum, Some(6 | 7)), "{without_quorum:?}");
}

/// Guards against a configuration that passes validation but is too large for the log or for the
/// messages between voters.
#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_of_maximum_size_is_committed() {
    let cluster = ClusterFixture::start();
    cluster.leader().await;
    let fleet = |count: usize| {
        let route = |id| json!({ "id": format!("r{id}"), "path_prefix": format!("/{id}"), "kind": "model" });
        let routes: Vec<Value> = (0..count).map(route).collect();
        json!({
            "teams": [], "routes": routes, "models": [], "targets": [],
            "weight_store": { "loads_per_second": 1.5, "concurrent_loads": 10 },
        })
        .to_string()
    };
    // Routes have many defaults, so the configuration grows most when these are written out.
    let refused = cluster.run_command(&["validate", "-"], &[0], &fleet(30_000));
    let reason = String::from_utf8_lossy(&refused.stderr).into_owned();
    assert!(reason.contains("with its defaults"), "{reason}");
    let config = fleet(23_000);
    let apply = ["apply", "-", "--expected", "0", "--timeout-ms", "30000"];
    let started = std::time::Instant::now();
    let output = cluster.run_command(&apply, &[0, 1, 2], &config);
    println!("applied in {:?}", started.elapsed());
    assert_eq!(
        output.status.code(),
        Some(0),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
}
