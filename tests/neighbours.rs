//! Tests which gateways coordinators name as neighbours of stranded ones.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use waxwinglatch::{
    coordinator::GatewayTable,
    ids::EntryKey,
    sync::{Neighbour, RosterEntry},
};

const GATEWAYS: u8 = 12;

fn key(number: u8) -> EntryKey {
    EntryKey {
        vm: format!("edge-{number}").into(),
        incarnation: 1,
    }
}

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_615))
}

fn entry(number: u8, is_stranded: bool) -> RosterEntry {
    RosterEntry {
        gateway: key(number),
        data_centre: format!("z-{}", number % 3).into(),
        load_address: address(number),
        is_stranded,
    }
}

fn addresses(neighbours: &[Neighbour]) -> BTreeSet<SocketAddr> {
    let addresses = neighbours.iter().map(|neighbour| neighbour.address);
    addresses.collect()
}

/// Guards against stranded gateways that are all sent to the same few others, or to themselves.
#[test]
fn neighbours_are_spread_over_the_fleet() {
    let mut table = GatewayTable::default();
    table.set_roster(
        (0..GATEWAYS).map(|number| entry(number, false)).collect(),
        Duration::ZERO,
    );
    let mut named = BTreeSet::new();
    let mut sets = BTreeSet::new();
    for number in 0..GATEWAYS {
        let neighbours = addresses(&table.neighbours(&key(number)));
        assert_eq!(neighbours.len(), 4);
        assert!(!neighbours.contains(&address(number)));
        named.extend(neighbours.iter().copied());
        sets.insert(neighbours);
    }
    assert!(named.len() > usize::from(GATEWAYS) / 2, "{named:?}");
    assert!(sets.len() > usize::from(GATEWAYS) / 2, "{sets:?}");
}

/// Guards against gateways that are named although they reach no target themselves, also where a delegate has
/// learnt it from the leader, and against those that stay left out after their links are back.
#[test]
fn stranded_gateways_are_left_out_while_they_are_stranded() {
    let now = Duration::ZERO;
    let mut leader = GatewayTable::default();
    for number in 0..GATEWAYS {
        leader.record_delegated(&entry(number, false), now);
    }
    for number in 1..9 {
        leader.record_delegated(&entry(number, true), now);
    }
    let sound: BTreeSet<_> = (9..GATEWAYS).map(address).collect();
    assert_eq!(addresses(&leader.neighbours(&key(0))), sound);
    let roster = leader.roster_since(0).expect("the roster has changed");
    let mut delegate = GatewayTable::default();
    delegate.set_roster(roster.gateways, now);
    assert_eq!(addresses(&delegate.neighbours(&key(0))), sound);
    for number in 1..9 {
        leader.record_delegated(&entry(number, false), now);
    }
    let changed = leader.roster_since(roster.number).expect("it has changed");
    delegate.set_roster(changed.gateways, now);
    assert_eq!(leader.neighbours(&key(0)), delegate.neighbours(&key(0)));
    assert_eq!(delegate.neighbours(&key(0)).len(), 4);
}
