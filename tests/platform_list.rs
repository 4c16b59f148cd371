//! Guards against new requests to targets that the platform is about to stop, also while the
//! platform's list is temporarily unreadable.

mod harness;

use std::{
    fs,
    time::{Duration, Instant},
};

use harness::{
    CALLER_KEY, TestFolder, TestProcess, control_settings,
    entry_fleet::{StandIn, configuration},
    entry_settings, free_port, text, wait_for,
};
use serde_json::{Value, json};

const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Time after which a leaving target receives no new requests.
const LEAVING_TIMEOUT: Duration = Duration::from_secs(3);

#[tokio::test(flavor = "multi_thread")]
async fn a_target_on_a_leaving_vm_receives_no_new_requests_after_3_s() {
    let folder = TestFolder::new();
    let client = waxwinglatch::client::http_client().expect("a client can be built");
    let engines = [StandIn::start("engine", &[]), StandIn::start("engine", &[])];
    let service = StandIn::start("service", &[]);
    let list = folder.write("platform.json", r#"{ "live": ["vm-x"], "leaving": [] }"#);
    let [system, admin, port] = [(); 3].map(|()| free_port());
    let mut settings = control_settings(&folder, system, admin);
    settings["platform_list"] = json!({ "file": list });
    let path = folder.write("control.json", &settings.to_string());
    let _control = TestProcess::start("waxwing-control", &["--config", text(&path)]);
    let settings = entry_settings(&folder, "vm-1", port, system).to_string();
    let path = folder.write("entry.json", &settings);
    let _entry = TestProcess::start("waxwing-entry", &["--config", text(&path)]);

    let mut config = configuration(&engines, &service);
    config["models"][0]["residency"] = json!("pinned");
    config["models"][0]["min_copies"] = json!(2);
    let leaving = config["targets"][0]["vm"].clone();
    let model = config["models"][0]["id"].clone();
    let apply = json!({ "request_id": "apply-1", "expected": 0, "config": config });
    wait_for("accepted configuration", START_TIMEOUT, async || {
        let url = format!("http://127.0.0.1:{admin}/admin/v1/config");
        let call = client
            .put(url)
            .bearer_auth(harness::ADMIN_TOKEN)
            .json(&apply);
        call.send().await.ok()?.status().is_success().then_some(())
    })
    .await;
    let complete = async || {
        let url = format!("http://127.0.0.1:{port}/v1/completions");
        let body = json!({ "model": model, "prompt": "one", "max_tokens": 1 });
        let call = client.post(url).bearer_auth(CALLER_KEY).json(&body);
        call.send().await.ok()?.status().is_success().then_some(())
    };
    let completion_count = async |engine: &StandIn| {
        let requests = engine.record(&client).await.requests;
        requests
            .iter()
            .filter(|request| request.target.starts_with("/v1/completions"))
            .count()
    };
    wait_for("completions on both engines", START_TIMEOUT, async || {
        complete().await;
        (completion_count(&engines[0]).await > 0 && completion_count(&engines[1]).await > 0)
            .then_some(())
    })
    .await;

    let changed_at = Instant::now();
    let leaving: Value = json!({ "live": [], "leaving": [leaving] });
    fs::write(&list, leaving.to_string()).expect("the list is writable");
    tokio::time::sleep(LEAVING_TIMEOUT.saturating_sub(changed_at.elapsed())).await;
    // A partly written list does not clear the leaving state of the VM.
    fs::write(&list, "{ \"leav").expect("the list is writable");
    let count_before = completion_count(&engines[0]).await;
    for _ in 0..20 {
        complete().await.expect("the other engine answers");
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    complete().await.expect("the other engine answers");
    assert_eq!(
        completion_count(&engines[0]).await,
        count_before,
        "new requests to a leaving engine"
    );
}
