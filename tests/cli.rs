//! Tests of the command line against a real control daemon: exit codes that scripts rely on, and
//! changes that are lost or applied twice.

mod harness;

use std::{process::Output, time::Duration};

use assert_cmd::Command;
use harness::{
    ADMIN_TOKEN, TestFolder, TestProcess, control_settings, free_port, key_hash, text, wait_for,
};
use rstest::rstest;
use serde_json::{Value, json};

fn fleet_config(team: &str) -> String {
    json!({
        "teams": [{ "id": team, "rate_tokens_per_second": 10, "burst_tokens": 1000 }],
        "routes": [], "models": [], "targets": [],
        "weight_store": { "loads_per_second": 1.5, "concurrent_loads": 10 },
    })
    .to_string()
}

fn waxwing(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_waxwing"));
    command.args(arguments).timeout(Duration::from_secs(20));
    command
}

fn exit_code(output: &Output) -> i32 {
    output
        .status
        .code()
        .expect("the command was killed by a signal")
}

fn stdout_json(output: &Output) -> Value {
    serde_json::from_slice(&output.stdout).expect("standard output is not JSON")
}

/// A running control daemon and a settings file with which the command line reaches it.
struct CliFixture {
    folder: TestFolder,
    settings: String,
    _process: TestProcess,
}

impl CliFixture {
    async fn start() -> Self {
        let folder = TestFolder::new();
        let [system, admin] = [free_port(), free_port()];
        let control = control_settings(&folder, system, admin).to_string();
        let control = folder.write("control.json", &control);
        let process = TestProcess::start("waxwing-control", &["--config", text(&control)]);
        let settings = json!({
            "admin": [format!("127.0.0.1:{admin}")], "token_file": folder.path("admin.token"),
            "key_hash_secret_file": folder.path("key.secret"),
        });
        let settings = folder.write("waxwing.json", &settings.to_string());
        let settings = text(&settings).to_owned();
        let fixture = Self {
            folder,
            settings,
            _process: process,
        };
        wait_for("leader", Duration::from_secs(10), async || {
            (exit_code(&fixture.run(&["get"])) == 0).then_some(())
        })
        .await;
        fixture
    }

    fn command(&self, arguments: &[&str]) -> Command {
        let mut command = waxwing(arguments);
        command.args(["--config", &self.settings]);
        command
    }

    fn run(&self, arguments: &[&str]) -> Output {
        self.command(arguments)
            .output()
            .expect("the command did not run")
    }

    fn apply(&self, team: &str, flags: &[&str]) -> Output {
        let mut command = self.command(&["apply", "-"]);
        command
            .args(flags)
            .write_stdin(fleet_config(team))
            .output()
            .expect("the command did not run")
    }
}

#[test]
fn validate_reports_issues_without_a_fleet() {
    let valid = waxwing(&["validate", "-"])
        .write_stdin(fleet_config("a"))
        .output()
        .unwrap();
    assert_eq!(exit_code(&valid), 0);
    let invalid = fleet_config("a").replace("burst_tokens", "burst");
    let invalid = waxwing(&["validate", "-", "--output", "json"])
        .write_stdin(invalid)
        .output()
        .unwrap();
    assert_eq!(exit_code(&invalid), 3);
    let issues = stdout_json(&invalid)["issues"].clone();
    assert_eq!(
        (&issues[0]["path"], &issues[1]["path"]),
        (&json!("teams[0].burst_tokens"), &json!("teams[0].burst"))
    );
}

#[rstest]
#[case::no_address(&["get"], 2)]
#[case::unknown_flag(&["get", "--nothing"], 2)]
#[case::no_command(&[], 2)]
#[case::unreadable_file(&["validate", "no-such-file.json"], 1)]
#[case::unreachable(&["get", "--admin", "127.0.0.1:1", "--token-file", "Cargo.toml", "--timeout-ms", "300"], 6)]
#[case::completions(&["completions", "bash"], 0)]
#[case::help(&["apply", "--help"], 0)]
fn exit_codes_without_a_fleet(#[case] arguments: &[&str], #[case] expected: i32) {
    assert_eq!(exit_code(&waxwing(arguments).output().unwrap()), expected);
}

#[test]
fn diff_compares_two_files_without_a_fleet() {
    let folder = TestFolder::new();
    let base = folder.write("base.json", &fleet_config("a"));
    let output = waxwing(&["diff", "-", "--base", text(&base)])
        .write_stdin(fleet_config("b"))
        .output()
        .unwrap();
    assert_eq!(
        String::from_utf8_lossy(&output.stdout),
        "- teams a\n+ teams b\n"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn only_one_of_two_concurrent_changes_is_accepted() {
    let cli = CliFixture::start().await;
    let run = |team: &'static str| {
        let mut command = cli.command(&["apply", "-", "--expected", "0"]);
        command.write_stdin(fleet_config(team));
        std::thread::spawn(move || command.output().expect("the command did not run"))
    };
    let mut exits: Vec<i32> = ["a", "b"]
        .map(run)
        .into_iter()
        .map(|thread| exit_code(&thread.join().unwrap()))
        .collect();
    exits.sort_unstable();
    assert_eq!(exits, [0, 4]);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_retry_with_the_same_request_id_returns_the_first_outcome() {
    let cli = CliFixture::start().await;
    let flags = ["--expected", "0", "--request-id", "one", "--output", "json"];
    for _ in 0..2 {
        let output = cli.apply("a", &flags);
        assert_eq!(
            (
                exit_code(&output),
                stdout_json(&output)["revision"].as_u64()
            ),
            (0, Some(1))
        );
    }
    let other = cli.apply("b", &flags);
    assert_eq!(
        (exit_code(&other), &stdout_json(&other)["name"]),
        (8, &json!("request_id_reused"))
    );
    let invalid = cli
        .command(&["apply", "-"])
        .write_stdin(fleet_config("a b"))
        .output()
        .unwrap();
    assert_eq!(exit_code(&invalid), 3);
    let view = stdout_json(&cli.run(&["get", "--output", "json"]));
    assert_eq!(view["revision"], 1);
    assert_eq!(exit_code(&cli.run(&["get", "--revision", "7"])), 10);
    assert_eq!(
        exit_code(&cli.apply("b", &["--wait"])),
        0,
        "no entry is outdated"
    );
    let history = cli.run(&["history"]);
    assert_eq!(String::from_utf8_lossy(&history.stdout).lines().count(), 3);
    let diff = cli.run(&["diff", "--from", "1", "--to", "2"]);
    assert_eq!(
        String::from_utf8_lossy(&diff.stdout),
        "- teams a\n+ teams b\n"
    );
    assert_eq!(exit_code(&cli.run(&["status"])), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn apply_accepts_the_output_of_get() {
    let cli = CliFixture::start().await;
    cli.apply("a", &[]);
    let printed = cli.run(&["get"]).stdout;
    let reapplied = cli
        .command(&["apply", "-", "--expected", "1"])
        .write_stdin(printed)
        .output()
        .unwrap();
    assert_eq!(exit_code(&reapplied), 0);
    let diff = cli.run(&["diff", "--from", "1", "--to", "2"]);
    assert_eq!(String::from_utf8_lossy(&diff.stdout), "no differences\n");
}

#[tokio::test(flavor = "multi_thread")]
async fn key_add_prints_the_key_and_stores_only_its_hash() {
    let cli = CliFixture::start().await;
    cli.apply("a", &[]);
    let output = cli.run(&["key", "add", "a-1", "--team", "a"]);
    assert_eq!(exit_code(&output), 0);
    let key = String::from_utf8(output.stdout).unwrap().trim().to_owned();
    assert!(key.starts_with("wl-") && key.len() == 51, "{key}");
    let stored = String::from_utf8(cli.run(&["get"]).stdout).unwrap();
    assert!(stored.contains(&key_hash(&key)) && !stored.contains(&key));
    assert_eq!(
        exit_code(&cli.run(&["key", "add", "a-1", "--team", "a"])),
        3,
        "the id is already in use"
    );
    assert_eq!(
        exit_code(&cli.run(&["key", "add", "b-1", "--team", "b"])),
        3,
        "the team does not exist"
    );
    for _ in 0..2 {
        assert_eq!(
            exit_code(&cli.run(&["key", "revoke", "a-1", "--request-id", "r"])),
            0
        );
    }
    assert!(
        !String::from_utf8(cli.run(&["get"]).stdout)
            .unwrap()
            .contains("a-1")
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_wrong_token_is_refused_without_a_change() {
    let cli = CliFixture::start().await;
    let token = cli.folder.write("wrong.token", &ADMIN_TOKEN[1..]);
    let output = cli.apply("a", &["--token-file", text(&token), "--expected", "0"]);
    assert_eq!(exit_code(&output), 5);
    let drain = cli.run(&["drain", "--vm", "vm-1", "--token-file", text(&token)]);
    assert_eq!(exit_code(&drain), 5);
    assert_eq!(
        stdout_json(&cli.run(&["get", "--output", "json"]))["revision"],
        0
    );
    assert_eq!(exit_code(&cli.run(&["drain", "--vm", "vm-1"])), 0);
    assert_eq!(exit_code(&cli.run(&["undrain", "--vm", "vm-1"])), 0);
}
