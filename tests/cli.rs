//! Guards the command line: exit codes that scripts rely on, and changes that are lost or made
//! twice. The programs are real processes.

mod harness;

use std::{process::Output, time::Duration};

use assert_cmd::Command;
use harness::{
    ADMIN_TOKEN, TestFolder, TestProcess, control_settings, free_port, key_hash, text, wait_for,
};
use rstest::rstest;
use serde_json::{Value, json};

fn fleet(team: &str) -> String {
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

fn exit(output: &Output) -> i32 {
    output.status.code().expect("the command was not killed")
}

fn json_of(output: &Output) -> Value {
    serde_json::from_slice(&output.stdout).expect("the output is JSON")
}

/// A control daemon and the settings of a command line for it.
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
            (exit(&fixture.run(&["get"])) == 0).then_some(())
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
        self.command(arguments).output().expect("the command runs")
    }

    fn apply(&self, team: &str, flags: &[&str]) -> Output {
        let mut command = self.command(&["apply", "-"]);
        command
            .args(flags)
            .write_stdin(fleet(team))
            .output()
            .expect("the command runs")
    }
}

#[test]
fn a_configuration_is_checked_without_a_fleet() {
    let good = waxwing(&["validate", "-"])
        .write_stdin(fleet("a"))
        .output()
        .unwrap();
    assert_eq!(exit(&good), 0);
    let bad = fleet("a").replace("burst_tokens", "burst");
    let bad = waxwing(&["validate", "-", "--output", "json"])
        .write_stdin(bad)
        .output()
        .unwrap();
    assert_eq!(exit(&bad), 3);
    let issues = json_of(&bad)["issues"].clone();
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
    assert_eq!(exit(&waxwing(arguments).output().unwrap()), expected);
}

#[test]
fn two_files_are_compared_without_a_fleet() {
    let folder = TestFolder::new();
    let base = folder.write("base.json", &fleet("a"));
    let output = waxwing(&["diff", "-", "--base", text(&base)])
        .write_stdin(fleet("b"))
        .output()
        .unwrap();
    assert_eq!(
        String::from_utf8_lossy(&output.stdout),
        "- teams a\n+ teams b\n"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn of_two_operators_with_equal_revisions_one_wins() {
    let cli = CliFixture::start().await;
    let run = |team: &'static str| {
        let mut command = cli.command(&["apply", "-", "--expected", "0"]);
        command.write_stdin(fleet(team));
        std::thread::spawn(move || command.output().expect("the command runs"))
    };
    let mut exits: Vec<i32> = ["a", "b"]
        .map(run)
        .into_iter()
        .map(|thread| exit(&thread.join().unwrap()))
        .collect();
    exits.sort_unstable();
    assert_eq!(exits, [0, 4]);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_can_be_sent_again_with_its_request_id() {
    let cli = CliFixture::start().await;
    let flags = ["--expected", "0", "--request-id", "one", "--output", "json"];
    for _ in 0..2 {
        let output = cli.apply("a", &flags);
        assert_eq!(
            (exit(&output), json_of(&output)["revision"].as_u64()),
            (0, Some(1))
        );
    }
    let other = cli.apply("b", &flags);
    assert_eq!(
        (exit(&other), &json_of(&other)["name"]),
        (8, &json!("request_id_reused"))
    );
    let bad = cli
        .command(&["apply", "-"])
        .write_stdin(fleet("a b"))
        .output()
        .unwrap();
    assert_eq!(exit(&bad), 3);
    let view = json_of(&cli.run(&["get", "--output", "json"]));
    assert_eq!(view["revision"], 1);
    assert_eq!(exit(&cli.run(&["get", "--revision", "7"])), 10);
    assert_eq!(exit(&cli.apply("b", &["--wait"])), 0, "no entry lacks it");
    let history = cli.run(&["history"]);
    assert_eq!(String::from_utf8_lossy(&history.stdout).lines().count(), 3);
    let diff = cli.run(&["diff", "--from", "1", "--to", "2"]);
    assert_eq!(
        String::from_utf8_lossy(&diff.stdout),
        "- teams a\n+ teams b\n"
    );
    assert_eq!(exit(&cli.run(&["status"])), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn what_get_prints_can_be_applied() {
    let cli = CliFixture::start().await;
    cli.apply("a", &[]);
    let printed = cli.run(&["get"]).stdout;
    let again = cli
        .command(&["apply", "-", "--expected", "1"])
        .write_stdin(printed)
        .output()
        .unwrap();
    assert_eq!(exit(&again), 0);
    let diff = cli.run(&["diff", "--from", "1", "--to", "2"]);
    assert_eq!(String::from_utf8_lossy(&diff.stdout), "no differences\n");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_new_key_is_shown_once_and_only_its_hash_is_stored() {
    let cli = CliFixture::start().await;
    cli.apply("a", &[]);
    let output = cli.run(&["key", "add", "a-1", "--team", "a"]);
    assert_eq!(exit(&output), 0);
    let key = String::from_utf8(output.stdout).unwrap().trim().to_owned();
    assert!(key.starts_with("wl-") && key.len() == 51, "{key}");
    let stored = String::from_utf8(cli.run(&["get"]).stdout).unwrap();
    assert!(stored.contains(&key_hash(&key)) && !stored.contains(&key));
    assert_eq!(
        exit(&cli.run(&["key", "add", "a-1", "--team", "a"])),
        3,
        "the id is taken"
    );
    assert_eq!(
        exit(&cli.run(&["key", "add", "b-1", "--team", "b"])),
        3,
        "no such team"
    );
    for _ in 0..2 {
        assert_eq!(
            exit(&cli.run(&["key", "revoke", "a-1", "--request-id", "r"])),
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
async fn a_wrong_token_changes_nothing() {
    let cli = CliFixture::start().await;
    let token = cli.folder.write("wrong.token", &ADMIN_TOKEN[1..]);
    let output = cli.apply("a", &["--token-file", text(&token), "--expected", "0"]);
    assert_eq!(exit(&output), 5);
    let drain = cli.run(&["drain", "--vm", "vm-1", "--token-file", text(&token)]);
    assert_eq!(exit(&drain), 5);
    assert_eq!(
        json_of(&cli.run(&["get", "--output", "json"]))["revision"],
        0
    );
    assert_eq!(exit(&cli.run(&["drain", "--vm", "vm-1"])), 0);
    assert_eq!(exit(&cli.run(&["undrain", "--vm", "vm-1"])), 0);
}
