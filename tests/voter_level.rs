//! Guards against commands that a member with an older release does not support.

#[path = "harness/local_fleet.rs"]
mod local_fleet;
#[path = "harness/memory_storage.rs"]
mod memory_storage;

use std::time::Duration;

use local_fleet::LocalFleet;
use waxwinglatch::state::{Command, ControlState};

#[tokio::test(flavor = "multi_thread")]
async fn the_command_level_rises_only_when_all_members_support_it() {
    let fleet = LocalFleet::start(&[2, 2, 1]).await;
    let leader = fleet.leader().await;
    fleet.voter(leader).propose(Command::Noop).await.unwrap();
    tokio::time::sleep(Duration::from_secs(1)).await;
    let level = |number: usize| fleet.voter(number).read_local(ControlState::level);
    assert_eq!((0..3).map(level).collect::<Vec<_>>(), [1, 1, 1]);

    // The last voter is stopped for an upgrade; its old report must not count as a new one.
    fleet.voter(2).stop().await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert_eq!([level(0), level(1)], [1, 1]);

    fleet.launch(2, 2);
    for _ in 0..500 {
        if (0..3).all(|number| level(number) == 2) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("levels are {:?}", (0..3).map(level).collect::<Vec<_>>());
}
