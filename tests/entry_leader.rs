//! Entries whose settings name control daemons that do not lead. All parts are real processes.

#[path = "harness/control_fleet.rs"]
mod control_fleet;
mod harness;

use std::time::Duration;

use control_fleet::ControlFleet;
use harness::{
    CALLER_KEY, TestProcess,
    entry_fleet::{StandIn, configuration},
    entry_settings, free_port, text, wait_for,
};
use serde_json::json;

/// Time within which an entry serves its first caller on a busy machine.
const START_LIMIT: Duration = Duration::from_secs(20);

/// Guards against an entry that serves nobody since none of the daemons in its settings leads (issue 49).
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_serves_though_its_settings_do_not_name_the_leader() {
    let fleet = ControlFleet::start(3);
    let service = StandIn::start("service", &[]);
    service.wait(&fleet.client).await;
    let mut config = configuration(&[], &service);
    config["models"] = json!([]);
    let body = json!({ "request_id": "apply-1", "expected": 0, "config": config });
    fleet.apply_until_done(&fleet.running(), &body).await;
    let leader = fleet.leader().await;
    let followers = (0..3).filter(|number| *number != leader);
    let followers: Vec<String> = followers
        .map(|number| format!("127.0.0.1:{}", fleet.ports[number].system))
        .collect();
    let port = free_port();
    let mut settings = entry_settings(&fleet.folder, "entry-1", port, 0);
    settings["control"] = json!(followers);
    let path = fleet.folder.write("entry-1.json", &settings.to_string());
    let _entry = TestProcess::start("waxwing-entry", &["--config", text(&path)]);
    wait_for("serving entry", START_LIMIT, async || {
        let url = format!("http://127.0.0.1:{port}/stock/ready");
        let call = fleet.client.get(url).bearer_auth(CALLER_KEY);
        let answer = call.send().await.ok()?;
        answer.status().is_success().then_some(())
    })
    .await;
}
