//! The leader lease and linearizable reads.

mod raft_sim;

use std::time::Duration;

use raft_sim::{Fleet, MS};
use rstest::rstest;
use waxwinglatch::raft::{RaftInput, RefusalReason};

/// Guards against two holders of the lease when the leader is cut off: the old one must have lost
/// it before another leads, as long as clocks drift within the bound.
#[rstest]
#[case::equal_clocks(1.0, 1.0)]
#[case::slow_leader_at_the_bound(0.9, 1.12)]
#[case::fast_leader(1.12, 0.9)]
#[should_panic(expected = "hold a lease")]
#[case::beyond_the_bound(0.5, 1.5)]
fn an_isolated_leader_loses_its_lease_first(#[case] leader_rate: f64, #[case] other_rate: f64) {
    for seed in 0..20 {
        let mut fleet = Fleet::new(3, seed);
        let old = fleet.run_to_leader();
        for vm in 0..3 {
            fleet.set_rate(vm, if vm == old { leader_rate } else { other_rate });
        }
        fleet.run(5_000 * MS);
        fleet.cut = (0..3).flat_map(|vm| [(old, vm), (vm, old)]).collect();
        fleet.run(4_000 * MS);
        assert_ne!(fleet.leader(), Some(old));
    }
}

/// Guards against a long search for a leader after one has died.
#[test]
fn a_dead_leader_is_replaced() {
    for seed in 0..40 {
        let mut fleet = Fleet::new(3, seed);
        let old = fleet.run_to_leader();
        fleet.crash(old);
        let from = fleet.now;
        fleet.run(100 * MS);
        fleet.run_to_leader();
        assert!(
            fleet.now.saturating_sub(from) < 4_000 * MS,
            "seed {seed}: {:?}",
            fleet.now.saturating_sub(from)
        );
    }
}

/// Guards against a hand-over that campaigns while a copy of the lease may be in use, that loses an
/// accepted proposal, or that takes longer than an election.
#[test]
fn a_planned_shutdown_hands_over() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(3, seed);
        let old = fleet.run_to_leader();
        fleet.propose(old, 1);
        fleet.input(old, RaftInput::Transfer);
        let from = fleet.now;
        assert_eq!(fleet.core(old).lease_until(Duration::ZERO), None);
        fleet.run(600 * MS);
        assert_eq!(fleet.leader(), Some(old), "the lease has not expired");
        fleet.propose(old, 2);
        let new = fleet.run_to_leader();
        assert!(new != old && fleet.now.saturating_sub(from) < 1_000 * MS);
        fleet.run(200 * MS);
        let expected = [1_u64.to_be_bytes(), 2_u64.to_be_bytes()].concat();
        assert_eq!(fleet.nodes[old].applied, expected);
        fleet.propose(old, 3);
        assert_eq!(fleet.refused[&3], RefusalReason::NotLeader);
    }
}

/// Guards against a read that a leader without a lease answers on its own.
#[test]
fn a_read_without_a_lease_waits_for_a_quorum() {
    let mut fleet = Fleet::new(3, 1);
    let leader = fleet.run_to_leader();
    fleet.read(leader, 1);
    assert!(fleet.ready.contains_key(&1), "the lease holds");
    fleet.input(leader, RaftInput::Transfer);
    fleet.read(leader, 2);
    fleet.read(leader, 3);
    assert!(!fleet.ready.contains_key(&2));
    fleet.run(20 * MS);
    assert!(fleet.ready.contains_key(&2) && fleet.ready.contains_key(&3));
    fleet.cut = (0..3).flat_map(|vm| [(leader, vm), (vm, leader)]).collect();
    fleet.read(leader, 4);
    fleet.run(1_000 * MS);
    assert_eq!(fleet.refused[&4], RefusalReason::NotLeader);
}
