//! Guards against the loss of acknowledged changes when leaders fail, and against a fleet that does
//! not recover from repeated leader changes.

#[path = "harness/control_fleet.rs"]
mod control_fleet;
mod harness;

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use control_fleet::{ControlFleet, apply_request};

#[tokio::test(flavor = "multi_thread")]
async fn nothing_acknowledged_is_lost_when_the_leader_is_killed_during_a_stream() {
    let mut fleet = ControlFleet::start(3);
    let first = fleet.leader().await;
    let stop = Arc::new(AtomicBool::new(false));
    let acknowledged = {
        let stream = stream_of_changes(&fleet, Arc::clone(&stop));
        let killer = async {
            tokio::time::sleep(Duration::from_millis(1_500)).await;
            // `ControlFleet::kill` needs a mutable borrow, but the stream borrows the fleet.
            fleet.signal(first, "KILL");
            tokio::time::sleep(Duration::from_secs(4)).await;
            stop.store(true, Ordering::Relaxed);
        };
        tokio::join!(stream, killer).0
    };
    fleet.kill(first);
    let rest = fleet.running();
    let leader = fleet.leader_among(&rest).await;
    assert_ne!(leader, first);
    assert!(
        acknowledged.len() > 50,
        "only {} changes",
        acknowledged.len()
    );
    for (expected, revision) in &acknowledged {
        let again = fleet
            .apply_until_done(&rest, &apply_request(*expected))
            .await;
        assert_eq!(
            again, *revision,
            "the change of revision {expected} was lost"
        );
    }
    fleet.launch(first);
    fleet.wait_ready(first).await;
    let last = acknowledged.last().expect("no change was acknowledged").1;
    assert!(fleet.revision(first).await >= Some(last));
}

/// Applies changes one after another until `stop` is set. Returns expected and new revision of each
/// acknowledged change.
async fn stream_of_changes(fleet: &ControlFleet, stop: Arc<AtomicBool>) -> Vec<(u64, u64)> {
    let mut acknowledged = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let expected = acknowledged.len() as u64;
        let revision = fleet
            .apply_until_done(&[0, 1, 2], &apply_request(expected))
            .await;
        acknowledged.push((expected, revision));
    }
    acknowledged
}

#[tokio::test(flavor = "multi_thread")]
async fn ten_leader_changes_in_a_row_lose_nothing() {
    let mut fleet = ControlFleet::start(3);
    let mut revision = 0;
    for round in 0..10 {
        let leader = fleet.leader().await;
        revision = fleet
            .apply_until_done(&[leader], &apply_request(revision))
            .await;
        // Alternates between killing the leader and a shutdown with a leadership transfer.
        if round % 2 == 0 {
            fleet.kill(leader);
        } else {
            fleet.signal(leader, "TERM");
            let ended = fleet.wait(leader, Duration::from_secs(10)).await;
            assert_eq!(ended.code(), Some(0), "round {round}");
        }
        let next = fleet.leader().await;
        revision = fleet
            .apply_until_done(&[next], &apply_request(revision))
            .await;
        fleet.launch(leader);
    }
    assert_eq!(revision, 20);
    for number in 0..3 {
        fleet.wait_ready(number).await;
        fleet.wait_revision(number, 20).await;
    }
}
