//! Losses in turn, each as soon as the one before it no longer counts, for a leader that replaces members by itself.

mod raft_sim;

use std::time::Duration;

use raft_sim::{CommittedChanges, Fleet, MS, ReplacementRule};
use rand::Rng;
use rstest::rstest;
use waxwinglatch::raft::{RaftInput, ReplacementPolicy, VoterId};

/// Time after the start of a successor by which another machine may be lost, in the fleets checked here.
const CATCH_UPS: [Duration; 2] = [Duration::from_secs(4), Duration::from_secs(6)];
/// Maximum time without a leader; a longer one counts as the end of the fleet.
const MAX_OUTAGE: Duration = Duration::from_secs(30);
/// Number of losses in one chain.
const LOSSES: usize = 6;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Loss {
    /// The machine is gone for good; another one starts with an empty disk.
    Replaced,
    /// The machine comes back with an empty disk.
    LostDisk,
    /// The machine loses its disk, and the one that comes back is replaced as well.
    LostDiskThenReplaced,
    /// The successor is up before the machine stops as planned, for good.
    Planned,
    /// The machine stops as planned and comes back with its disk.
    Restarted,
    /// The machine is frozen and goes on.
    Frozen,
}

const LOSSES_OF_ALL_KINDS: [Loss; 6] = [
    Loss::Replaced,
    Loss::LostDisk,
    Loss::LostDiskThenReplaced,
    Loss::Planned,
    Loss::Restarted,
    Loss::Frozen,
];

/// A fault that the check must find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// The rule before issue 43: checks each 0.7 s, 3 s of silence, counted anew by each leader, announcements each
    /// second.
    FormerRule,
    /// A new leader forgets what it has heard before.
    CountsAnew,
    /// Voters that stop as planned keep their seats.
    NoHandover,
    /// Successors wait for a loss, and half of the voters is no quorum, as before issue 56.
    NoSuccessor,
    /// Members that restart do not know that the last change of the voters is committed, as before issue 60.
    ChangeNotSaved,
}

fn rule(voters: usize, catch_up: Duration, fault: Fault) -> ReplacementRule {
    let policy = ReplacementPolicy::new(voters, catch_up);
    match fault {
        Fault::FormerRule => ReplacementRule {
            policy: ReplacementPolicy {
                voter_silence: Duration::from_secs(3),
                ..policy
            },
            check_interval: 700 * MS,
            announce_interval: 1_000 * MS,
            counts_anew: true,
        },
        _ => ReplacementRule {
            policy,
            check_interval: 20 * MS,
            announce_interval: 400 * MS,
            counts_anew: fault == Fault::CountsAnew,
        },
    }
}

/// A fleet under a chain of losses.
struct Chain {
    fleet: Fleet,
    catch_up: Duration,
    fault: Fault,
    token: u64,
    history: Vec<String>,
}

impl Chain {
    fn new(voters: usize, spares: usize, catch_up: Duration, fault: Fault, seed: u64) -> Self {
        let mut fleet = Fleet::new(voters, seed);
        fleet.half_quorums = matches!(fault, Fault::None | Fault::ChangeNotSaved);
        if fault == Fault::ChangeNotSaved {
            fleet.committed_changes = CommittedChanges::KeptInMemory;
        }
        fleet.replacement = Some(rule(voters, catch_up, fault));
        let mut chain = Self {
            fleet,
            catch_up,
            fault,
            token: 0,
            history: Vec::new(),
        };
        for _ in 0..spares {
            chain.start_new();
        }
        chain.fleet.run_to_leader();
        chain.fleet.run(catch_up);
        chain.fleet.is_set_up = true;
        chain
    }

    fn start_new(&mut self) -> usize {
        let new = self.fleet.add_node();
        self.fleet.start(new);
        new
    }

    /// Runs until an entry of this call is committed. Returns whether it was.
    fn commit(&mut self) -> bool {
        let end = self.fleet.now + MAX_OUTAGE;
        while self.fleet.now < end {
            self.token += 1;
            if let Some(leader) = self.fleet.leader() {
                self.fleet.propose(leader, self.token);
            }
            self.fleet.run(100 * MS);
            let proposed = self.fleet.proposed.get(&self.token);
            let committed = proposed.and_then(|(_, index)| self.fleet.committed.get(index));
            if committed.is_some_and(|entry| Some(&(entry.term, entry.index)) == proposed) {
                return true;
            }
        }
        false
    }

    fn running(&self) -> Vec<usize> {
        let nodes = self.fleet.nodes.iter().enumerate();
        let running = nodes.filter(|(_, node)| node.core.is_some());
        running.map(|(vm, _)| vm).collect()
    }

    /// Draws a running node, half of the time the leader, that is none of `others`.
    fn victim(&mut self, others: &[usize]) -> usize {
        let leader = self.fleet.leader().filter(|vm| !others.contains(vm));
        let mut running = self.running();
        running.retain(|vm| !others.contains(vm));
        let any = running[self.fleet.rng.random_range(0..running.len())];
        match leader {
            Some(leader) if self.fleet.rng.random_bool(0.5) => leader,
            _ => any,
        }
    }

    /// Draws the voter that is removed for good.
    fn removed(&mut self, victim: Victim) -> usize {
        let leader = self.fleet.run_to_leader();
        if victim == Victim::Leader {
            return leader;
        }
        let voters = &self.fleet.core(leader).membership().voters;
        let is_follower = |vm: &usize| *vm != leader && voters.contains(&self.fleet.nodes[*vm].id);
        let followers: Vec<usize> = self.running().into_iter().filter(is_follower).collect();
        followers[self.fleet.rng.random_range(0..followers.len())]
    }

    fn delay(&mut self, most: u32) -> Duration {
        self.fleet.rng.random_range(0..=most) * MS
    }

    /// Stops a node as planned.
    fn stop(&mut self, vm: usize) {
        self.fleet.input(vm, RaftInput::Transfer);
        let end = self.fleet.now + 3_000 * MS;
        while self.fleet.leader() == Some(vm) && self.fleet.now < end {
            self.fleet.run(10 * MS);
        }
        let id = self.fleet.nodes[vm].id.clone();
        let end = self.fleet.now + 1_500 * MS;
        while self.fault != Fault::NoHandover && self.fleet.now < end {
            match self.fleet.leader().filter(|leader| *leader != vm) {
                Some(leader) if self.has_given_seat(leader, &id) => break,
                Some(leader) => self.fleet.nodes[leader].contacts.add_leaving(id.clone()),
                None => {}
            }
            self.fleet.run(10 * MS);
        }
        for node in &mut self.fleet.nodes {
            node.contacts.remove_leaving(&id);
        }
        self.fleet.crash(vm);
    }

    /// Returns whether a leader tells a voter that stops as planned that its seat is given away.
    fn has_given_seat(&self, leader: usize, id: &VoterId) -> bool {
        let core = self.fleet.core(leader);
        !core.membership().contains(id) && core.is_membership_settled(self.fleet.clock(leader))
    }

    /// Loses a node. Returns when it no longer counts as lost.
    fn lose(&mut self, loss: Loss, vm: usize, delay: Duration) -> Duration {
        self.history
            .push(format!("{:?}: {loss:?} of {vm}, {delay:?}", self.fleet.now));
        match loss {
            Loss::Replaced => {
                self.fleet.crash(vm);
                self.fleet.run(delay);
                self.start_new();
            }
            Loss::LostDisk => {
                self.fleet.lose_disk(vm);
                self.fleet.run(delay);
                self.fleet.start(vm);
            }
            Loss::LostDiskThenReplaced => {
                self.fleet.lose_disk(vm);
                self.fleet.run(delay);
                self.fleet.start(vm);
                self.fleet.run(delay);
                self.fleet.crash(vm);
                self.fleet.run(delay);
                self.start_new();
            }
            Loss::Planned => {
                self.start_new();
                self.fleet.run(self.catch_up);
                self.stop(vm);
                return self.fleet.now;
            }
            Loss::Restarted => {
                self.stop(vm);
                self.fleet.run(delay);
                self.fleet.start(vm);
            }
            Loss::Frozen => {
                self.fleet.nodes[vm].frozen_until = self.fleet.now + 3 * delay;
                self.fleet.run(3 * delay);
            }
        }
        self.fleet.now + self.catch_up
    }

    /// Loses nodes in turn, `at_once` of them at a time, and returns whether the fleet still commits.
    fn run(&mut self, kinds: &[Loss], at_once: usize) -> bool {
        for _ in 0..LOSSES {
            let mut lost = Vec::new();
            let mut until = self.fleet.now;
            for _ in 0..at_once {
                let vm = self.victim(&lost);
                lost.push(vm);
                let kind = kinds[self.fleet.rng.random_range(0..kinds.len())];
                let delay = self.delay(2_000);
                until = until.max(self.lose(kind, vm, delay));
            }
            let rest = until.saturating_sub(self.fleet.now);
            self.fleet.run(rest);
        }
        self.commit()
    }
}

fn first_failure(
    (voters, spares): (usize, usize),
    kinds: &[Loss],
    at_once: usize,
    fault: Fault,
    seeds: u64,
) -> Option<(u64, Vec<String>)> {
    (0..seeds).find_map(|seed| {
        let catch_up = CATCH_UPS[usize::from(seed % 2 == 1)];
        let mut chain = Chain::new(voters, spares, catch_up, fault, seed);
        (!chain.run(kinds, at_once)).then_some((seed, chain.history))
    })
}

/// Guards against a quorum that is lost for good by losses in turn, each `CatchUpS` after the former machine was
/// back or replaced, as in review/1 and its kin.
#[rstest]
#[case::replaced(&[Loss::Replaced])]
#[case::lost_disk(&[Loss::LostDisk])]
#[case::lost_disk_and_replaced(&[Loss::Replaced, Loss::LostDisk, Loss::LostDiskThenReplaced])]
#[case::planned(&[Loss::Planned, Loss::LostDisk])]
#[case::returning(&[Loss::Frozen, Loss::Restarted, Loss::LostDisk])]
#[case::all(&LOSSES_OF_ALL_KINDS)]
fn losses_in_turn_keep_a_quorum(#[case] kinds: &[Loss]) {
    for size in [(3, 0), (3, 2)] {
        let failure = first_failure(size, kinds, 1, Fault::None, 40);
        assert_eq!(failure, None, "{size:?} voters and learners");
    }
}

/// Guards against the same with five voters, of which two are lost at once.
#[rstest]
#[case::replaced(&[Loss::Replaced])]
#[case::all(&LOSSES_OF_ALL_KINDS)]
fn two_losses_at_once_in_turn_keep_a_quorum(#[case] kinds: &[Loss]) {
    for size in [(5, 0), (5, 4)] {
        let failure = first_failure(size, kinds, 2, Fault::None, 20);
        assert_eq!(failure, None, "{size:?} voters and learners");
    }
}

/// Removes a machine whose successor has had its time, and loses a disk up to 3 s later, in turn. Returns whether the
/// fleet still commits.
fn survives_removals(chain: &mut Chain, at_once: usize, victim: Victim) -> bool {
    for _ in 0..LOSSES {
        chain.start_new();
        chain.fleet.run(chain.catch_up);
        if !chain.commit() {
            return false;
        }
        let removed = chain.removed(victim);
        chain.fleet.crash(removed);
        let delay = chain.delay(3_000);
        chain.history.push(format!(
            "{:?}: {removed} is removed, {delay:?}",
            chain.fleet.now
        ));
        chain.fleet.run(delay);
        let mut lost = vec![removed];
        let mut until = chain.fleet.now;
        for _ in 0..at_once {
            let vm = chain.victim(&lost);
            lost.push(vm);
            let down_time = chain.delay(2_000);
            until = until.max(chain.lose(Loss::LostDisk, vm, down_time));
        }
        let rest = until.saturating_sub(chain.fleet.now);
        chain.fleet.run(rest);
    }
    chain.commit()
}

/// Which machine is removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Victim {
    Leader,
    Follower,
}

fn first_removal_failure(
    (voters, spares): (usize, usize),
    victim: Victim,
    fault: Fault,
    seeds: u64,
) -> Option<(u64, Vec<String>)> {
    (0..seeds).find_map(|seed| {
        let catch_up = CATCH_UPS[usize::from(seed % 2 == 1)];
        let mut chain = Chain::new(voters, spares, catch_up, fault, seed);
        let survived = survives_removals(&mut chain, voters / 2, victim);
        (!survived).then_some((seed, chain.history))
    })
}

/// Guards against a core without a leader for good after a machine is removed without a word, its successor up for
/// `CatchUpS`, and as many machines as may be lost at once lose their disks up to 3 s later (review/6).
#[rstest]
fn a_disk_lost_right_after_a_removal_leaves_a_quorum(
    #[values((3, 0), (3, 1), (3, 2), (5, 0), (5, 1))] size: (usize, usize),
    #[values(Victim::Leader, Victim::Follower)] victim: Victim,
) {
    let failure = first_removal_failure(size, victim, Fault::None, 20);
    assert_eq!(failure, None, "{size:?} voters and learners");
}

/// Guards against a check that cannot fail: without the successor's seat and half quorums there is no leader again.
#[rstest]
fn the_rule_before_issue_56_loses_the_quorum(
    #[values((3, 0), (5, 0))] size: (usize, usize),
    #[values(Victim::Leader, Victim::Follower)] victim: Victim,
) {
    let failure = first_removal_failure(size, victim, Fault::NoSuccessor, 20);
    assert!(failure.is_some());
}

/// Guards against a check that cannot fail: the former rules lose the quorum.
#[rstest]
#[case::former_rule(Fault::FormerRule, &[Loss::Replaced])]
#[case::counts_anew(Fault::CountsAnew, &[Loss::Replaced])]
#[case::no_handover(Fault::NoHandover, &[Loss::Planned, Loss::LostDisk])]
fn a_former_rule_loses_the_quorum(#[case] fault: Fault, #[case] kinds: &[Loss]) {
    assert!(first_failure((3, 0), kinds, 1, fault, 40).is_some());
}

/// Replaces a voter, restarts all machines once the successor had its time, and keeps as many voters as may be lost at
/// once away for good. Returns whether the fleet commits again.
fn survives_a_restart(chain: &mut Chain, at_once: usize) -> bool {
    let replaced = chain.removed(Victim::Follower);
    let delay = chain.delay(2_000);
    let until = chain.lose(Loss::Replaced, replaced, delay);
    chain.fleet.run(until.saturating_sub(chain.fleet.now));
    if !chain.commit() {
        return false;
    }
    let leader = chain.fleet.run_to_leader();
    let voters = chain.fleet.core(leader).membership().voters.clone();
    let running = chain.running();
    let is_voter = |vm: &&usize| voters.contains(&chain.fleet.nodes[**vm].id);
    let away: Vec<usize> = running.iter().filter(is_voter).copied().collect();
    let away = &away[..at_once];
    for vm in &running {
        chain.fleet.crash(*vm);
    }
    chain.history.push(format!(
        "{:?}: all restart, {away:?} stay away",
        chain.fleet.now
    ));
    chain.fleet.run(1_000 * MS);
    for vm in running.iter().filter(|vm| !away.contains(vm)) {
        chain.fleet.start(*vm);
    }
    chain.commit()
}

fn first_restart_failure(
    (voters, spares): (usize, usize),
    fault: Fault,
    seeds: u64,
) -> Option<(u64, Vec<String>)> {
    (0..seeds).find_map(|seed| {
        let catch_up = CATCH_UPS[usize::from(seed % 2 == 1)];
        let mut chain = Chain::new(voters, spares, catch_up, fault, seed);
        let survived = survives_a_restart(&mut chain, voters / 2);
        (!survived).then_some((seed, chain.history))
    })
}

/// Guards against a core without a leader for good (RECOVER) after all its machines lost power and one of them stays
/// away: the others needed a quorum of the membership before the last replacement as well, with a voter that is gone.
#[rstest]
fn a_restart_after_a_replacement_needs_no_replaced_voter(
    #[values((3, 0), (3, 1), (3, 2), (5, 0), (5, 1))] size: (usize, usize),
) {
    let failure = first_restart_failure(size, Fault::None, 20);
    assert_eq!(failure, None, "{size:?} voters and learners");
}

/// Guards against a check that cannot fail: without the snapshot the replaced voter is needed.
#[rstest]
fn a_restart_by_the_rule_before_issue_60_needs_the_replaced_voter(
    #[values((3, 0), (3, 1), (5, 0))] size: (usize, usize),
) {
    assert!(first_restart_failure(size, Fault::ChangeNotSaved, 20).is_some());
}
