//! Model check of the replicated log with the production step functions; see
//! docs/model-checking.md.

#[path = "model/member.rs"]
mod member;
mod model;
#[path = "model/voters.rs"]
mod voters;

use model::{assert_holds, assert_violates};
use rstest::rstest;
use voters::{Bounds, Fault, Voters};

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
#[case::repair("repair", REPAIR, 30_432)]
#[case::repair_crash("repair and crash", REPAIR_CRASH, 21_154)]
fn the_properties_hold(#[case] name: &str, #[case] bounds: Bounds, #[case] min_states: usize) {
    assert_holds(name, &Voters::new(bounds, Fault::None), min_states);
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
    assert_holds(name, &Voters::new(bounds, Fault::None), min_states);
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
    assert_violates(&format!("{fault:?}"), &Voters::new(bounds, fault), property);
}
