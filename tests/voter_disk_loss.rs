//! Guards against a voter that votes under the identity of its lost disk, and against a repair that
//! leaves committed entries on too few disks.

#[path = "harness/control_fleet.rs"]
mod control_fleet;
mod harness;

use std::time::Duration;

use control_fleet::{ControlFleet, ELECTION_LIMIT, apply_request};
use harness::wait_for;

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

    // With the third voter gone, the lost one would be needed for a quorum. It must not help, not
    // even to commit what the leader proposes.
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
    // The request that was not confirmed above may be committed now; the same id finds it.
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
    // The whole fleet restarts: the members must find the new one, which no settings name.
    let rest = fleet.running();
    for &number in &rest {
        fleet.kill(number);
    }
    for &number in &rest {
        fleet.launch(number);
    }
    fleet.leader_among(&rest).await;
    assert_eq!(fleet.apply_until_done(&rest, &apply_request(1)).await, 2);
    // The removed voter must neither disturb the fleet nor come back by itself.
    fleet.launch(leaving);
    tokio::time::sleep(Duration::from_secs(3)).await;
    fleet.leader_among(&rest).await;
    let members = fleet.members(rest[0]).await.unwrap().members;
    assert!(
        members.iter().all(|member| member.id != leaving_id),
        "{members:?}"
    );
}
