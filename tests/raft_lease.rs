//! The leader lease and linearizable reads.

mod raft_sim;

use std::time::Duration;

use raft_sim::{Fleet, MS};
use rstest::rstest;
use waxwinglatch::raft::{RaftInput, RefusalReason};

/// Guards against two valid leases when the leader is isolated: its lease must expire before
/// another leader gets one, as long as clock drift is within the bound.
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
            fleet.set_clock_rate(vm, if vm == old { leader_rate } else { other_rate });
        }
        fleet.run(5_000 * MS);
        fleet.blocked_links = (0..3).flat_map(|vm| [(old, vm), (vm, old)]).collect();
        fleet.run(4_000 * MS);
        assert_ne!(fleet.leader(), Some(old));
    }
}

/// Guards against a long time without a leader after the leader has crashed.
#[test]
fn a_crashed_leader_is_replaced() {
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

/// Guards against a leadership transfer that starts a campaign while a copy of the lease may be in
/// use, that loses an accepted proposal, or that takes longer than an election.
#[test]
fn a_planned_shutdown_transfers_leadership() {
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
        assert_eq!(fleet.refusals[&3], RefusalReason::NotLeader);
    }
}

/// Guards against a read that a leader without a lease answers without confirmation by a quorum.
#[test]
fn a_read_without_a_lease_waits_for_a_quorum() {
    let mut fleet = Fleet::new(3, 1);
    let leader = fleet.run_to_leader();
    fleet.read(leader, 1);
    assert!(fleet.ready_reads.contains_key(&1), "the lease is valid");
    fleet.input(leader, RaftInput::Transfer);
    fleet.read(leader, 2);
    fleet.read(leader, 3);
    assert!(!fleet.ready_reads.contains_key(&2));
    fleet.run(20 * MS);
    assert!(fleet.ready_reads.contains_key(&2) && fleet.ready_reads.contains_key(&3));
    fleet.blocked_links = (0..3).flat_map(|vm| [(leader, vm), (vm, leader)]).collect();
    fleet.read(leader, 4);
    fleet.run(1_000 * MS);
    assert_eq!(fleet.refusals[&4], RefusalReason::NotLeader);
}
