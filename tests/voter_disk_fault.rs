//! Guards against a voter that acknowledges entries that may not be durable.

#[path = "harness/local_fleet.rs"]
mod local_fleet;
#[path = "harness/memory_storage.rs"]
mod memory_storage;

use std::time::Duration;

use local_fleet::LocalFleet;
use memory_storage::Faults;
use rstest::rstest;
use waxwinglatch::{
    error::Error,
    state::{Command, ControlState},
    voter::VoterPhase,
};

#[derive(Clone, Copy)]
enum DiskFault {
    FailedSync,
    FullDisk,
}

impl DiskFault {
    fn inject(self, disk: &memory_storage::MemoryStorage) {
        disk.set_faults(match self {
            Self::FailedSync => Faults {
                fail_sync: Some(disk.syncs() + 1),
                ..Faults::default()
            },
            Self::FullDisk => Faults {
                capacity: Some(0),
                ..Faults::default()
            },
        });
    }
}

#[rstest]
#[case::failed_sync(DiskFault::FailedSync)]
#[case::full_disk(DiskFault::FullDisk)]
#[tokio::test(flavor = "multi_thread")]
async fn a_single_voter_stops_permanently_without_acknowledging(#[case] fault: DiskFault) {
    let fleet = LocalFleet::start(&[1]).await;
    let voter = fleet.voter(fleet.leader().await);
    voter.propose(Command::Noop).await.unwrap();
    let applied = voter.read_local(ControlState::applied);
    fault.inject(&fleet.disks[0]);
    let proposals = (0..10).map(|_| voter.propose(Command::Noop));
    for result in futures::future::join_all(proposals).await {
        let error = result.expect_err("an entry that is not durable was acknowledged");
        assert!(
            matches!(error, Error::Unconfirmed { .. } | Error::Stopped { .. }),
            "{error}"
        );
    }
    let mut phase = voter.watch_phase();
    let stopped = phase.wait_for(|phase| *phase == VoterPhase::Stopped);
    tokio::time::timeout(Duration::from_secs(2), stopped)
        .await
        .unwrap()
        .unwrap();
    // The voter must stay stopped after the fault has ended.
    fleet.disks[0].set_faults(Faults::default());
    assert!(voter.lease().is_none());
    assert!(voter.propose(Command::Noop).await.is_err());
    assert!(voter.read(|_| ()).await.is_err());
    assert_eq!(voter.read_local(ControlState::applied), applied);
    // A new process restores every acknowledged entry.
    fleet.launch(0, 1);
    fleet.leader().await;
    assert!(fleet.voter(0).read_local(ControlState::applied) >= applied);
}

#[rstest]
#[case::failed_sync(DiskFault::FailedSync)]
#[case::full_disk(DiskFault::FullDisk)]
#[tokio::test(flavor = "multi_thread")]
async fn the_other_voters_continue_when_the_disk_of_the_leader_fails(#[case] fault: DiskFault) {
    let fleet = LocalFleet::start(&[1, 1, 1]).await;
    let failed = fleet.leader().await;
    let old = fleet.voter(failed);
    for _ in 0..20 {
        old.propose(Command::Noop).await.unwrap();
    }
    let applied = old.read_local(ControlState::applied);
    fault.inject(&fleet.disks[failed]);
    assert!(old.propose(Command::Noop).await.is_err());
    let mut phase = old.watch_phase();
    let stopped = phase.wait_for(|phase| *phase == VoterPhase::Stopped);
    tokio::time::timeout(Duration::from_secs(2), stopped)
        .await
        .unwrap()
        .unwrap();
    let leader = fleet.leader().await;
    assert_ne!(leader, failed);
    fleet.voter(leader).propose(Command::Noop).await.unwrap();
    assert!(fleet.voter(leader).read_local(ControlState::applied) > applied);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_proposal_without_a_quorum_ends_at_its_deadline_as_unconfirmed() {
    let fleet = LocalFleet::start(&[1, 1, 1]).await;
    let leader = fleet.leader().await;
    let voter = fleet.voter(leader);
    voter.propose(Command::Noop).await.unwrap();
    for number in (0..3).filter(|number| *number != leader) {
        fleet.voter(number).stop().await;
    }
    let limit = Duration::from_millis(300);
    let result = voter.propose_within(Command::Noop, limit).await;
    assert!(
        matches!(result, Err(Error::Unconfirmed { .. })),
        "{result:?}"
    );
    // Without a quorum the lease expires, and a later proposal is certainly not committed.
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert!(voter.lease().is_none());
    let result = voter.propose_within(Command::Noop, limit).await;
    assert!(matches!(result, Err(Error::NotLeader { .. })), "{result:?}");
}
