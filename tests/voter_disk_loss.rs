//! Guards against a voter that votes with its old identity after it lost its disk, and against a
//! repair that leaves committed entries on less than a quorum.

#[path = "harness/control_fleet.rs"]
mod control_fleet;
mod harness;

use std::{fs, time::Duration};

use control_fleet::{ControlFleet, ELECTION_LIMIT, apply_request};
use harness::wait_for;
use serde_json::json;

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_disk_never_votes_and_a_second_loss_after_the_repair_loses_nothing() {
    let mut fleet = ControlFleet::start(3);
    let mut revision = 0;
    let leader = fleet.leader().await;
    for _ in 0..20 {
        revision = fleet
            .apply_until_done(&[leader], &apply_request(revision))
            .await;
    }
    let [lost, other] = [(leader + 1) % 3, (leader + 2) % 3];
    let old = fleet.members(lost).await.unwrap().this;
    fleet.kill(lost);
    fleet.lose_disk(lost);

    // Without the third voter, the leader would need the voter with the lost disk for a quorum.
    // That voter must not count, neither for an election nor for a commit.
    fleet.kill(other);
    fleet.launch(lost);
    let new = wait_for("new identity", ELECTION_LIMIT, async || {
        Some(fleet.members(lost).await?.this)
    })
    .await;
    assert_ne!(new, old);
    for _ in 0..30 {
        assert_eq!(fleet.apply(leader, &apply_request(revision)).await, None);
        assert!(!fleet.members(lost).await.unwrap().leads);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }

    fleet.launch(other);
    fleet.leader_among(&[leader, other]).await;
    // The unconfirmed request from above may be committed now; a retry with the same id finds it.
    revision = fleet
        .apply_until_done(&[leader, other], &apply_request(revision))
        .await;
    wait_for("learner", ELECTION_LIMIT, async || {
        let members = fleet.members(leader).await?.members;
        let joined = |member: &waxwinglatch::control::MemberView| {
            member.id == new && member.kind == "learner"
        };
        members.iter().any(joined).then_some(())
    })
    .await;
    fleet.change_until_done("promote", &new).await;
    fleet.change_until_done("remove", &old).await;

    // F8: a second VM is lost right after the repair.
    fleet.kill(leader);
    fleet.lose_disk(leader);
    let rest = [lost, other];
    fleet.leader_among(&rest).await;
    let next = fleet
        .apply_until_done(&rest, &apply_request(revision))
        .await;
    assert_eq!(next, revision + 1);
    for expected in 0..revision {
        let again = fleet
            .apply_until_done(&rest, &apply_request(expected))
            .await;
        assert_eq!(again, expected + 1, "an acknowledged change was lost");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_that_joins_becomes_a_learner_and_can_replace_a_voter() {
    let mut fleet = ControlFleet::start(3);
    let leader = fleet.leader().await;
    fleet.apply_until_done(&[leader], &apply_request(0)).await;
    let joined = fleet.join();
    fleet.wait_ready(joined).await;
    let view = fleet.members(joined).await.unwrap();
    let own = view
        .members
        .iter()
        .find(|member| member.id == view.this)
        .unwrap();
    assert_eq!(own.kind, "learner");
    let leaving = (leader + 1) % 3;
    let leaving_id = fleet.members(leaving).await.unwrap().this;
    fleet.change_until_done("promote", &view.this).await;
    fleet.change_until_done("remove", &leaving_id).await;
    fleet.kill(leaving);
    // All daemons restart. The others must find the new member, which is in none of their settings.
    let rest = fleet.running();
    for &number in &rest {
        fleet.kill(number);
    }
    for &number in &rest {
        fleet.launch(number);
    }
    fleet.leader_among(&rest).await;
    assert_eq!(fleet.apply_until_done(&rest, &apply_request(1)).await, 2);
    // The removed voter must neither disturb the fleet nor become a member again.
    fleet.launch(leaving);
    tokio::time::sleep(Duration::from_secs(3)).await;
    fleet.leader_among(&rest).await;
    let members = fleet.members(rest[0]).await.unwrap().members;
    assert!(
        members.iter().all(|member| member.id != leaving_id),
        "{members:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_voter_with_a_damaged_log_receives_it_again_as_a_learner() {
    let mut fleet = ControlFleet::start(3);
    let leader = fleet.leader().await;
    let mut revision = 0;
    for _ in 0..20 {
        revision = fleet
            .apply_until_done(&[leader], &apply_request(revision))
            .await;
    }
    let damaged = (leader + 1) % 3;
    let old = fleet.members(damaged).await.unwrap().this;
    fleet.kill(damaged);
    let journal = fleet.data_folder(damaged).join("journal");
    let segment = journal.join("segment-00000000000000000001");
    let mut content = fs::read(&segment).unwrap();
    content[1_000] ^= 1;
    fs::write(&segment, content).unwrap();

    fleet.launch(damaged);
    fleet.wait_ready(damaged).await;
    let view = fleet.members(damaged).await.unwrap();
    assert_ne!(view.this, old);
    let own = view.members.iter().find(|member| member.id == view.this);
    assert_eq!(own.unwrap().kind, "learner");
    assert_eq!(fleet.revision(damaged).await, Some(revision));
    assert!(fleet.data_folder(damaged).join("damaged-1").exists());
    fleet.change_until_done("promote", &view.this).await;
    fleet.change_until_done("remove", &old).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn members_change_only_with_the_operators_token_and_when_the_change_applies() {
    let fleet = ControlFleet::start(1);
    let leader = fleet.leader().await;
    let view = fleet.members(leader).await.unwrap();
    for path in ["add", "promote", "remove"] {
        let url = fleet.url(leader, &format!("/admin/v1/members/{path}"));
        let call = fleet.client.post(url).bearer_auth("another token");
        let answer = call.json(&json!({ "id": view.this })).send().await.unwrap();
        assert_eq!(answer.status().as_u16(), 401, "{path}");
    }
    // The last voter, an unknown member and a malformed name.
    for (id, name) in [
        (view.this.as_str(), "change_refused"),
        ("vm-7@00000000000000aa", "change_refused"),
        ("vm-7", "malformed_request"),
    ] {
        let answer = fleet.change(leader, "remove", json!({ "id": id })).await;
        assert_eq!(answer.unwrap().name, name, "{id}");
    }
}
