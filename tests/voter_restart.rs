//! Guards against an older revision after a restart, and against members that cannot catch up after
//! the log was replaced by a snapshot.

#[path = "harness/control_fleet.rs"]
mod control_fleet;
mod harness;

use std::{fs, time::Duration};

use control_fleet::{ControlFleet, apply_request, padded_request};

/// Size of the padding in each configuration; the changes together exceed two snapshot intervals of
/// 8 MiB well before the last one.
const PADDING_BYTES: usize = 100_000;
const CHANGES: u64 = 300;

#[tokio::test(flavor = "multi_thread")]
async fn a_restart_after_hundreds_of_changes_restores_the_last_revision() {
    let mut fleet = ControlFleet::start(3);
    let leader = fleet.leader().await;
    let lagging = (leader + 1) % 3;
    fleet.kill(lagging);
    for expected in 0..CHANGES {
        let request = padded_request(expected, PADDING_BYTES);
        fleet.apply_until_done(&fleet.running(), &request).await;
    }
    // The leader has compacted the entries that the lagging voter is missing.
    fleet.launch(lagging);
    fleet.wait_ready(lagging).await;
    assert_eq!(fleet.revision(lagging).await, Some(CHANGES));
    let log = fs::read_to_string(fleet.folder.path(&format!("vm-{lagging}.log"))).unwrap();
    assert!(log.contains("installed the leader's snapshot"), "{log}");
    let size = journal_bytes(&fleet, leader);
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

fn journal_bytes(fleet: &ControlFleet, number: usize) -> u64 {
    let folder = fleet.data_folder(number).join("journal");
    let files = fs::read_dir(folder).unwrap();
    files
        .map(|file| file.unwrap().metadata().unwrap().len())
        .sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_single_voter_restores_every_acknowledged_change() {
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
async fn sigterm_transfers_leadership_and_ends_with_status_0() {
    let mut fleet = ControlFleet::start(3);
    let leader = fleet.leader().await;
    fleet.signal(leader, "TERM");
    let ended = fleet.wait(leader, Duration::from_secs(10)).await;
    assert_eq!(ended.code(), Some(0));
    // Without a transfer the other voters would first wait for an election timeout.
    let log = fs::read_to_string(fleet.folder.path(&format!("vm-{leader}.log"))).unwrap();
    let step_down = log
        .find("Follower in term")
        .expect("the leader did not step down");
    assert!(log[step_down..].contains("control: has stopped"), "{log}");
    fleet.launch(leader);
    fleet.wait_ready(leader).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_second_sigterm_ends_the_daemon_at_once() {
    let mut fleet = ControlFleet::start(3);
    let leader = fleet.leader().await;
    // Without the other voters the leader cannot transfer leadership and would wait.
    for number in (0..3).filter(|number| *number != leader) {
        fleet.kill(number);
    }
    fleet.signal(leader, "TERM");
    tokio::time::sleep(Duration::from_millis(100)).await;
    fleet.signal(leader, "TERM");
    let ended = fleet.wait(leader, Duration::from_millis(500)).await;
    assert_ne!(ended.code(), Some(0));
}
