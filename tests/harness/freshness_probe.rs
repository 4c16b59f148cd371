//! Asks a control daemon for a proof of freshness, as an entry does.

use std::time::Duration;

use reqwest::{Client, StatusCode};
use waxwinglatch::sync::{self, SECRET_HEADER, SYNC_PATH, SyncRequest};

/// Returns the status of a sync that the daemon need not hold.
pub async fn prove(client: &Client, system_port: u16) -> Option<StatusCode> {
    let request = SyncRequest {
        vm: "vm-9".into(),
        data_centre: "dc-1".into(),
        incarnation: 1,
        serial: 1,
        revision: 0,
        residency_version: 0,
        avoided_version: 0,
        parts_version: 0,
        crashes_version: 0,
        is_shutting_down: false,
        shares: Vec::new(),
        demand: Vec::new(),
        reports: Vec::new(),
        observations: Vec::new(),
        hold_ms: 0,
    };
    let call = client
        .post(format!("http://127.0.0.1:{system_port}{SYNC_PATH}"))
        .header(SECRET_HEADER, "system-secret")
        .timeout(Duration::from_secs(3))
        .body(sync::encode(&request).expect("the request can be encoded"));
    Some(call.send().await.ok()?.status())
}
