//! Model check of the replicated log with the production step functions; see
//! docs/model-checking.md.

#[path = "model/member.rs"]
mod member;
mod model;
#[path = "model/voters.rs"]
mod voters;

use model::{assert_holds, assert_violates};
use rstest::rstest;
use voters::{Bounds, Change, Fault, Voters};

/// Two candidates in an untimed model.
const LOG: Bounds = Bounds {
    term: 2,
    proposals: 0,
    crashes: 0,
    lost_disks: 0,
    changes: 0,
    time: 0,
    messages: 4,
    candidates: &[0, 1],
    blocked_links: &[],
    elections: &[],
    starts_with_leader: false,
    fragile: &[2],
    sightings: 0,
    change_kinds: &[Change::AddLearner(2), Change::Promote(2), Change::Remove(2)],
};
const CANDIDATES: Bounds = Bounds {
    candidates: &[0, 1, 2],
    ..LOG
};
const TERMS: Bounds = Bounds {
    term: 3,
    messages: 3,
    ..LOG
};
const CRASH: Bounds = Bounds {
    crashes: 1,
    messages: 3,
    ..LOG
};
const WIDE_CRASH: Bounds = Bounds { crashes: 1, ..LOG };
const LOST_DISK: Bounds = Bounds {
    lost_disks: 1,
    ..LOG
};
/// Two leaders, which cannot reach each other, have each replicated an entry to one voter.
const OLD_ENTRIES: Bounds = Bounds {
    term: 4,
    candidates: &[0, 2],
    blocked_links: &[(0, 2), (2, 0)],
    elections: &[(0, 1), (2, 1)],
    ..LOG
};
/// A leader with a slow clock has a lease, and a voter with a fast clock campaigns.
const LEASE: Bounds = Bounds {
    time: 7,
    candidates: &[1],
    starts_with_leader: true,
    ..LOG
};
const LEASE_PROPOSAL: Bounds = Bounds {
    proposals: 1,
    messages: 3,
    ..LEASE
};
const LEASE_CRASH: Bounds = Bounds {
    crashes: 1,
    ..LEASE
};
const LONG_LEASE: Bounds = Bounds { time: 9, ..LEASE };
/// A voter that lost its disk is replaced.
const REPAIR: Bounds = Bounds {
    lost_disks: 1,
    changes: 3,
    messages: 3,
    candidates: &[1],
    starts_with_leader: true,
    ..LOG
};
const REPAIR_CRASH: Bounds = Bounds {
    term: 1,
    crashes: 1,
    ..REPAIR
};
const WIDE_REPAIR: Bounds = Bounds {
    messages: 4,
    ..REPAIR
};

/// Guards against a violation of the properties in any state within the bounds, and against a
/// change that silently shrinks the searched state space.
#[rstest]
#[case::candidates("candidates", CANDIDATES, 192_181)]
#[case::terms("terms", TERMS, 126_329)]
#[case::crash("crash", CRASH, 34_688)]
#[case::lost_disk("lost disk", LOST_DISK, 103_354)]
#[case::old_entries("old entries", OLD_ENTRIES, 56_904)]
#[case::lease_proposal("lease and proposal", LEASE_PROPOSAL, 132_402)]
#[case::lease_crash("lease and crash", LEASE_CRASH, 126_729)]
#[case::repair("repair", REPAIR, 73_776)]
#[case::repair_crash("repair and crash", REPAIR_CRASH, 62_411)]
fn the_properties_hold(#[case] name: &str, #[case] bounds: Bounds, #[case] min_states: usize) {
    assert_holds(name, &Voters::<3>::new(bounds, Fault::None), min_states);
}

/// Checks the same properties as [`the_properties_hold`] with wider bounds.
#[rstest]
#[case::crash("wide crash", WIDE_CRASH, 413_870)]
#[case::lease("long lease", LONG_LEASE, 254_226)]
#[case::repair("wide repair", WIDE_REPAIR, 466_063)]
#[ignore = "takes over a minute in a debug build; run it after a change of src/raft"]
fn the_properties_hold_widely(
    #[case] name: &str,
    #[case] bounds: Bounds,
    #[case] min_states: usize,
) {
    assert_holds(name, &Voters::<3>::new(bounds, Fault::None), min_states);
}

/// Four voters, of which two may lose their disks while two others campaign.
const HALVES: Bounds = Bounds {
    term: 1,
    lost_disks: 2,
    fragile: &[2, 3],
    sightings: 2,
    candidates: &[0, 1],
    ..LOG
};
/// The same, where each candidate reaches one other voter only.
const CUT_HALVES: Bounds = Bounds {
    term: 2,
    blocked_links: &[
        (0, 1),
        (1, 0),
        (0, 3),
        (3, 0),
        (2, 1),
        (1, 2),
        (2, 3),
        (3, 2),
    ],
    ..HALVES
};
/// The leader 0 of four voters removes voter 1, and voter 2 loses its disk.
const REMOVAL: Bounds = Bounds {
    term: 2,
    lost_disks: 1,
    fragile: &[2],
    sightings: 2,
    changes: 1,
    change_kinds: &[Change::Remove(1)],
    messages: 3,
    candidates: &[3],
    starts_with_leader: true,
    ..LOG
};
/// The same, where voters 0 and 2 are cut off from voters 1 and 3.
const CUT_REMOVAL: Bounds = Bounds {
    blocked_links: &[
        (0, 1),
        (1, 0),
        (0, 3),
        (3, 0),
        (2, 1),
        (1, 2),
        (2, 3),
        (3, 2),
    ],
    messages: 4,
    ..REMOVAL
};
/// The same, where the leader and voter 3 have a proposal and voter 1 is cut off.
const REMOVAL_PROPOSAL: Bounds = Bounds {
    proposals: 1,
    blocked_links: &[(0, 1), (1, 0), (2, 1), (1, 2)],
    ..REMOVAL
};

/// Guards against two leaders and lost commits with half quorums.
#[rstest]
#[case::elections("half elections", HALVES, 50_488)]
#[case::cut("cut half elections", CUT_HALVES, 25_738)]
#[case::removal("removal", REMOVAL, 10_371)]
#[case::cut_removal("cut removal", CUT_REMOVAL, 276)]
#[case::proposal("removal and proposal", REMOVAL_PROPOSAL, 200_655)]
fn the_properties_hold_with_half_quorums(
    #[case] name: &str,
    #[case] bounds: Bounds,
    #[case] min_states: usize,
) {
    assert_holds(name, &Voters::<4>::new(bounds, Fault::None), min_states);
}

/// Guards against a check of half quorums that cannot fail.
#[rstest]
#[case::false_sighting(Fault::FalseSighting, CUT_HALVES, "election safety")]
#[case::new_members(Fault::NewMembersAlone, CUT_REMOVAL, "leader completeness")]
fn a_seeded_fault_of_half_quorums_is_detected(
    #[case] fault: Fault,
    #[case] bounds: Bounds,
    #[case] property: &str,
) {
    let name = format!("half quorums, {fault:?}");
    assert_violates(&name, &Voters::<4>::new(bounds, fault), property);
}

/// Guards against a check that cannot fail: each seeded fault must lead to a violation.
#[rstest]
#[case::vote(Fault::VoteNotSynced, Bounds { term: 1, ..WIDE_CRASH }, "election safety")]
#[case::incarnation(Fault::IncarnationIgnored, Bounds { term: 1, ..LOST_DISK }, "election safety")]
#[case::arrival(Fault::LeaseFromArrival, LEASE, "freshness")]
#[case::restart(Fault::VotesAfterRestart, LEASE_CRASH, "lease exclusivity")]
#[case::earlier_term(Fault::EarlierTermCounted, OLD_ENTRIES, "leader completeness")]
#[case::catch_up(Fault::CatchUpSkipped, REPAIR, "quorum durability")]
fn a_seeded_fault_is_detected(
    #[case] fault: Fault,
    #[case] bounds: Bounds,
    #[case] property: &str,
) {
    assert_violates(
        &format!("{fault:?}"),
        &Voters::<3>::new(bounds, fault),
        property,
    );
}
