//! Membership changes.

mod raft_sim;

use raft_sim::{Fleet, MS, voter};
use rstest::rstest;
use waxwinglatch::raft::{MemberChange, RaftInput, RefusalReason};

fn change(fleet: &mut Fleet, vm: usize, token: u64, change: MemberChange) -> Option<RefusalReason> {
    fleet.input(vm, RaftInput::Change { token, change });
    fleet.refusals.get(&token).copied()
}

/// Guards against changes that could lose the quorum or form two disjoint ones.
#[rstest]
#[case::unknown_learner(MemberChange::Promote(voter(7, 1)), RefusalReason::ChangeInvalid)]
#[case::voter_as_learner(MemberChange::AddLearner(voter(0, 1)), RefusalReason::ChangeInvalid)]
#[case::unknown_member(MemberChange::Remove(voter(0, 2)), RefusalReason::ChangeInvalid)]
fn a_change_that_does_not_apply_is_refused(
    #[case] requested: MemberChange,
    #[case] reason: RefusalReason,
) {
    let mut fleet = Fleet::new(3, 1);
    let leader = fleet.run_to_leader();
    assert_eq!(
        change(&mut fleet, leader, 1, requested.clone()),
        Some(reason)
    );
    let follower = (leader + 1) % 3;
    let refused = change(&mut fleet, follower, 2, requested);
    assert_eq!(refused, Some(RefusalReason::NotLeader));
}

/// Guards against a second change while one is uncommitted, the promotion of a learner with missing
/// entries, and the removal of a voter that is needed for a quorum.
#[test]
fn changes_are_made_one_at_a_time_and_keep_a_quorum() {
    let mut fleet = Fleet::new(3, 2);
    let leader = fleet.run_to_leader();
    let (lost, other) = ((leader + 1) % 3, (leader + 2) % 3);
    let old = fleet.nodes[lost].id.clone();
    fleet.lose_disk(lost);
    let new = fleet.nodes[lost].id.clone();
    let learner = MemberChange::AddLearner(new.clone());
    assert_eq!(change(&mut fleet, leader, 1, learner), None);
    let promotion = MemberChange::Promote(new);
    let refused = change(&mut fleet, leader, 2, promotion.clone());
    assert_eq!(refused, Some(RefusalReason::ChangePending));
    fleet.run(1_000 * MS);
    let refused = change(&mut fleet, leader, 3, promotion.clone());
    assert_eq!(refused, Some(RefusalReason::NotCaughtUp));
    let needed = MemberChange::Remove(fleet.nodes[other].id.clone());
    let refused = change(&mut fleet, leader, 4, needed);
    assert_eq!(refused, Some(RefusalReason::QuorumAtRisk));
    fleet.start(lost);
    fleet.run(500 * MS);
    assert_eq!(change(&mut fleet, leader, 5, promotion), None);
    fleet.run(500 * MS);
    assert_eq!(
        change(&mut fleet, leader, 6, MemberChange::Remove(old)),
        None
    );
    fleet.run(500 * MS);
    assert!(fleet.has_current_voters());
}

/// Guards against a leader that continues after it was removed from the membership.
#[test]
fn a_removed_leader_steps_down_once_its_removal_is_committed() {
    let mut fleet = Fleet::new(3, 3);
    let leader = fleet.run_to_leader();
    fleet.run(200 * MS);
    let own = MemberChange::Remove(voter(leader, 1));
    assert_eq!(change(&mut fleet, leader, 1, own), None);
    assert_eq!(fleet.leader(), Some(leader));
    fleet.run(100 * MS);
    assert_eq!(fleet.leader(), None);
    assert_ne!(fleet.run_to_leader(), leader);
    fleet.run(10_000 * MS);
    assert_ne!(fleet.leader(), Some(leader));
    assert_eq!(
        fleet.core(leader).term() + 1,
        fleet.core(fleet.leader().unwrap()).term()
    );
}
