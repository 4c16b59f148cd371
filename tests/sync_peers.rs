//! Tests which coordinator a gateway of a large fleet syncs with (docs/design.md, section 20). No network is
//! needed.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use rstest::rstest;
use waxwinglatch::gateway::{SyncPeer, SyncPeers};

const LEADER: u8 = 1;

fn address(number: u8) -> SocketAddr {
    format!("10.0.0.{number}:7600").parse().unwrap()
}

fn peers(vm: &str, delegates: &[u8]) -> SyncPeers {
    let mut peers = SyncPeers::new(vm.into(), vec![address(LEADER)]);
    peers.set_delegates(delegates.iter().copied().map(address).collect());
    peers
}

fn next(peers: &SyncPeers, now: Duration) -> SyncPeer {
    peers.next(false, now).unwrap()
}

#[test]
fn small_fleet_syncs_with_the_leader() {
    let peers = peers("edge-1", &[]);
    assert_eq!(
        next(&peers, Duration::ZERO),
        SyncPeer::Leader(address(LEADER))
    );
}

#[test]
fn what_only_the_leader_can_record_goes_to_the_leader() {
    let peers = peers("edge-1", &[2, 3]);
    let peer = peers.next(true, Duration::ZERO);
    assert_eq!(peer, Some(SyncPeer::Leader(address(LEADER))));
}

/// Pattern: one leader on a small VM answered the syncs of 291 gateways, and four coordinators were idle (SHORT).
#[rstest]
#[case::large_fleet(291)]
#[case::next_size(1_000)]
fn gateways_share_themselves_over_the_delegates(#[case] gateways: usize) {
    let mut counts: HashMap<SyncPeer, usize> = HashMap::new();
    for gateway in 0..gateways {
        let peers = peers(&format!("edge-{gateway}"), &[2, 3, 4, 5]);
        *counts.entry(next(&peers, Duration::ZERO)).or_default() += 1;
    }
    assert!(!counts.contains_key(&SyncPeer::Leader(address(LEADER))));
    let most = counts.values().max().unwrap();
    assert!(*most < gateways * 2 / 5, "{counts:?}");
}

#[test]
fn gateways_of_a_lost_delegate_spread_over_the_others() {
    let mut moved: HashMap<SyncPeer, usize> = HashMap::new();
    for gateway in 0..291 {
        let vm = format!("edge-{gateway}");
        let (before, after) = (peers(&vm, &[2, 3, 4, 5]), peers(&vm, &[3, 4, 5]));
        let [before, after] = [before, after].map(|peers| next(&peers, Duration::ZERO));
        if before == SyncPeer::Delegate(address(2)) {
            *moved.entry(after).or_default() += 1;
        } else {
            assert_eq!(before, after, "{vm} moves without need");
        }
    }
    assert_eq!(moved.len(), 3, "{moved:?}");
}

/// Guards against a leader that is buried as it takes over (SHORT): a gateway whose delegate has no proof asks the
/// other delegates before the leader.
#[test]
fn gateway_without_an_answer_asks_the_other_delegates_before_the_leader() {
    let mut peers = peers("edge-1", &[2, 3, 4]);
    let now = Duration::from_secs(10);
    let mut asked = Vec::new();
    for _ in 0..3 {
        let SyncPeer::Delegate(delegate) = next(&peers, now) else {
            panic!("the leader is asked after {asked:?}");
        };
        asked.push(delegate);
        peers.record_refusal(delegate, now);
    }
    asked.sort_unstable();
    assert_eq!(asked, [2, 3, 4].map(address));
    assert_eq!(next(&peers, now), SyncPeer::Leader(address(LEADER)));
    let later = now + Duration::from_secs(1);
    assert!(matches!(next(&peers, later), SyncPeer::Delegate(_)));
}

#[test]
fn silent_delegate_is_avoided_for_longer_than_one_that_refuses() {
    let mut peers = peers("edge-1", &[2]);
    peers.record_silence(address(2), Duration::ZERO);
    assert_eq!(
        next(&peers, Duration::from_secs(2)),
        SyncPeer::Leader(address(LEADER))
    );
    assert_eq!(
        next(&peers, Duration::from_secs(3)),
        SyncPeer::Delegate(address(2))
    );
}
