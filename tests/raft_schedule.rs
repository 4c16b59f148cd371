//! Random schedules of messages, crashes, lost disks, partitions and frozen nodes.

mod raft_sim;

use raft_sim::{Fleet, MS, Network};
use std::panic::{AssertUnwindSafe, catch_unwind};

use rand::Rng;
use rstest::rstest;
use waxwinglatch::raft::VoterId;

/// Guards against any violation of election safety, log matching, leader completeness, state
/// machine safety, lease exclusivity and read linearizability that a schedule can reach, and
/// against a fleet that does not recover once the faults end.
#[rstest]
fn a_random_schedule_is_safe_and_the_fleet_recovers(
    #[values(3, 5)] voters: usize,
    #[values(0, 100, 200, 300)] first_seed: u64,
) {
    let (mut elections, mut committed, mut answered, mut installed) = (0, 0, 0, 0);
    for seed in first_seed..first_seed + 6 {
        let mut fleet = Fleet::new(voters, seed);
        schedule(&mut fleet, voters);
        elections += fleet.leader().map_or(0, |vm| fleet.core(vm).term());
        committed += fleet.committed.len();
        answered += fleet.ready_reads.len();
        installed += fleet.snapshots_installed;
    }
    println!(
        "{voters} voters, seeds {first_seed}..: {elections} terms, {committed} entries, \
         {answered} reads, {installed} snapshots installed"
    );
    assert!(committed > 2_000 && answered > 500 && elections > 40 && installed > 10);
}

/// Guards against schedules that exercise too little: they must detect the seeded fault in which
/// voters keep their identity after a disk loss.
#[test]
fn a_schedule_finds_a_lost_vote_or_entry_when_an_incarnation_is_reused() {
    let detected = (0..40).find_map(|seed| {
        let mut fleet = Fleet::new(3, seed);
        fleet.reuses_incarnations = true;
        let run = AssertUnwindSafe(|| schedule(&mut fleet, 3));
        let cause = catch_unwind(run).err()?;
        let text = cause.downcast_ref::<String>()?.clone();
        Some((seed, text))
    });
    println!("detected with {detected:?}");
    let (_, text) = detected.expect("no violation was detected");
    assert!(
        ["two leaders", "lacks an entry", "two entries are committed"]
            .iter()
            .any(|property| text.contains(property)),
        "{text}"
    );
}

/// Guards against the same with half quorums: of an even number of voters, half may lose their disks at once, and the
/// losses become known at any time.
#[rstest]
fn a_random_schedule_with_half_quorums_is_safe_and_the_fleet_recovers(
    #[values(2, 3, 4, 6)] voters: usize,
    #[values(0, 100, 200, 300)] first_seed: u64,
) {
    let (mut elections, mut committed) = (0, 0);
    for seed in first_seed..first_seed + 6 {
        let mut fleet = Fleet::new(voters, seed).with_half_quorums();
        schedule(&mut fleet, voters);
        elections += fleet.leader().map_or(0, |vm| fleet.core(vm).term());
        committed += fleet.committed.len();
    }
    println!("{voters} voters, seeds {first_seed}..: {elections} terms, {committed} entries");
    assert!(committed > 1_000 && elections > 40);
}

/// Returns whether another disk may be lost: without half quorums one at a time, with them as many as leave half of
/// the voters.
fn may_lose_disk(fleet: &Fleet, voters: usize) -> bool {
    if !fleet.half_quorums {
        return fleet.has_current_voters();
    }
    let Some(leader) = fleet.leader() else {
        return false;
    };
    if !fleet
        .core(leader)
        .is_membership_settled(fleet.clock(leader))
    {
        return false;
    }
    let membership = fleet.core(leader).membership();
    let current = |id: &&VoterId| fleet.nodes.iter().any(|node| node.id == **id);
    let kept = membership.voters.iter().filter(current).count();
    membership.voters.len() == voters && kept > voters.div_ceil(2)
}

fn schedule(fleet: &mut Fleet, voters: usize) {
    for vm in 0..voters {
        let is_slow = fleet.rng.random();
        // The ratio of the rates is just under 1.25, the bound on clock drift.
        let rate = if is_slow { 0.895 } else { 1.11 };
        fleet.set_clock_rate(vm, rate);
    }
    fleet.network = Network {
        loss: 0.05,
        duplication: 0.05,
        delay: 0.03,
    };
    fleet.crash_probability = 0.0002;
    for token in 0..2_000 {
        let vm = fleet.rng.random_range(0..voters);
        match fleet.rng.random_range(0..1_000) {
            0..4 => fleet.crash(vm),
            4..7 if may_lose_disk(fleet, voters) => fleet.lose_disk(vm),
            7..13 => {
                let until = fleet.now + fleet.rng.random_range(200..3_000) * MS;
                fleet.nodes[vm].frozen_until = until;
            }
            13..20 => {
                let side: Vec<bool> = (0..voters).map(|_| fleet.rng.random()).collect();
                let is_bidirectional = fleet.rng.random_bool(0.7);
                fleet.blocked_links = (0..voters * voters)
                    .map(|pair| (pair / voters, pair % voters))
                    .filter(|(a, b)| side[*a] != side[*b] && (is_bidirectional || side[*a]))
                    .collect();
            }
            20..32 => fleet.blocked_links.clear(),
            60..100 => fleet.snapshot(vm),
            100..104 => fleet.input(vm, waxwinglatch::raft::RaftInput::Transfer),
            110..250 => fleet.repair(1_000_000 + token),
            _ => {}
        }
        for down in 0..voters {
            if fleet.nodes[down].core.is_none() && fleet.rng.random_bool(0.1) {
                fleet.start(down);
            }
        }
        // Clients send their requests to the leader, and every seventh time to a random node.
        let receiver = fleet.leader().filter(|_| token % 7 != 0).unwrap_or(vm);
        if fleet.nodes[receiver].frozen_until <= fleet.now {
            for part in 0..3 {
                fleet.propose(receiver, 3 * token + part);
            }
            fleet.read(receiver, 2_000_000 + token);
        }
        let pause = fleet.rng.random_range(1..60);
        fleet.run(pause * MS);
    }
    recover(fleet, voters);
}

fn recover(fleet: &mut Fleet, voters: usize) {
    fleet.network = Network::default();
    fleet.crash_probability = 0.0;
    fleet.blocked_links.clear();
    for vm in 0..voters {
        fleet.nodes[vm].frozen_until = fleet.now;
        if fleet.nodes[vm].core.is_none() {
            fleet.start(vm);
        }
    }
    for token in 5_000_000..5_000_100 {
        fleet.run(100 * MS);
        fleet.repair(token);
    }
    assert!(
        fleet.has_current_voters(),
        "not all lost disks were replaced"
    );
    let leader = fleet.run_to_leader();
    fleet.propose(leader, 9_999_999);
    fleet.run(500 * MS);
    let applied = fleet.nodes[leader].applied.clone();
    assert!(applied.ends_with(&9_999_999_u64.to_be_bytes()));
    for node in &fleet.nodes {
        assert_eq!(node.applied, applied, "{:?} lags", node.id);
    }
}
