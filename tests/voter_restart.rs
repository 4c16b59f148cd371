//! Guards against a restart that shows an older revision than before, and against members that
//! cannot catch up after the log was replaced by a snapshot.

#[path = "harness/control_fleet.rs"]
mod control_fleet;
mod harness;

use std::{fs, time::Duration};

use control_fleet::{ControlFleet, apply_request, padded_request};

/// Bytes of each configuration; two snapshot intervals of 8 MiB are exceeded well before the last.
const PADDING: usize = 100_000;
const CHANGES: u64 = 300;

#[tokio::test(flavor = "multi_thread")]
async fn a_restart_after_hundreds_of_changes_comes_up_at_the_shown_revision() {
    let mut fleet = ControlFleet::start(3);
    let leader = fleet.leader().await;
    let lagging = (leader + 1) % 3;
    fleet.kill(lagging);
    for expected in 0..CHANGES {
        let request = padded_request(expected, PADDING);
        fleet.apply_until_done(&fleet.running(), &request).await;
    }
    // The entries that the lagging voter lacks have left the leader's memory.
    fleet.launch(lagging);
    fleet.wait_ready(lagging).await;
    assert_eq!(fleet.revision(lagging).await, Some(CHANGES));
    let log = fs::read_to_string(fleet.folder.path(&format!("vm-{lagging}.log"))).unwrap();
    assert!(log.contains("installed the leader's snapshot"), "{log}");
    let size = folder_bytes(&fleet, leader);
    assert!(
        size < 40 << 20,
        "the journal was not compacted: {size} bytes"
    );

    for number in 0..3 {
        fleet.kill(number);
    }
    for number in 0..3 {
        fleet.launch(number);
    }
    for number in 0..3 {
        fleet.wait_ready(number).await;
        assert_eq!(
            fleet.revision(number).await,
            Some(CHANGES),
            "daemon {number}"
        );
    }
    let leader = fleet.leader().await;
    let next = fleet
        .apply_until_done(&[leader], &apply_request(CHANGES))
        .await;
    assert_eq!(next, CHANGES + 1);
}

fn folder_bytes(fleet: &ControlFleet, number: usize) -> u64 {
    let folder = fleet.data_folder(number).join("journal");
    let files = fs::read_dir(folder).unwrap();
    files
        .map(|file| file.unwrap().metadata().unwrap().len())
        .sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_voter_alone_restarts_with_everything_it_acknowledged() {
    let mut fleet = ControlFleet::start(1);
    for expected in 0..200 {
        fleet.apply_until_done(&[0], &apply_request(expected)).await;
        if expected % 50 == 49 {
            fleet.kill(0);
            fleet.launch(0);
            fleet.wait_ready(0).await;
            assert_eq!(fleet.revision(0).await, Some(expected + 1));
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn sigterm_ends_with_status_0_and_leadership_handed_over() {
    let mut fleet = ControlFleet::start(3);
    let leader = fleet.leader().await;
    fleet.signal(leader, "TERM");
    let ended = fleet.wait(leader, Duration::from_secs(10)).await;
    assert_eq!(ended.code(), Some(0));
    // Without a transfer the others would first wait for an election timeout.
    let log = fs::read_to_string(fleet.folder.path(&format!("vm-{leader}.log"))).unwrap();
    let handed = log.find("Follower in term").expect("the leader steps down");
    assert!(log[handed..].contains("control: has stopped"), "{log}");
    fleet.launch(leader);
    fleet.wait_ready(leader).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_second_sigterm_ends_at_once() {
    let mut fleet = ControlFleet::start(3);
    let leader = fleet.leader().await;
    // Without the others the leader cannot hand over and would wait.
    for number in (0..3).filter(|number| *number != leader) {
        fleet.kill(number);
    }
    fleet.signal(leader, "TERM");
    tokio::time::sleep(Duration::from_millis(100)).await;
    fleet.signal(leader, "TERM");
    let ended = fleet.wait(leader, Duration::from_millis(500)).await;
    assert_ne!(ended.code(), Some(0));
}
