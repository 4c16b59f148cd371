//! Guards against the refusal of a change of the members that was made and is sent again.

#[path = "harness/control_fleet.rs"]
mod control_fleet;
mod harness;

use control_fleet::ControlFleet;
use serde_json::json;

#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_promotion_is_acknowledged() {
    let mut fleet = ControlFleet::start(3);
    let leader = fleet.leader().await;
    let new = fleet.join();
    fleet.wait_ready(new).await;
    let id = fleet.members(new).await.unwrap().this;
    fleet.change_until_done("promote", &id).await;
    let answer = fleet.change(leader, "promote", json!({ "id": id })).await;
    assert_eq!(answer.unwrap().name, "committed");
}
