//! The leader lease and linearizable reads.

mod raft_sim;

use raft_sim::{Fleet, MS};
use rstest::rstest;

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
