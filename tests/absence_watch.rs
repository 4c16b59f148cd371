//! Tests what a gateway may conclude from voters that know no leader (docs/design.md, section 18).
//!
//! Guards against requests that run by a plan after a newer one was acknowledged (CONFIG): a gateway took one
//! coordinator's word for the lack of a leader.

use std::time::Duration;

use rstest::rstest;
use waxwinglatch::{gateway::AbsenceWatch, raft::VoterId, sync::AbsenceReport};

const SECOND: Duration = Duration::from_secs(1);

fn voter(number: u64) -> VoterId {
    VoterId::new(format!("core-{number}"), number)
}

/// An answer of voter `number` of `voters` that supports no leader since `began_ms` before it.
fn report(number: u64, voters: &[u64], began_ms: u64) -> AbsenceReport {
    AbsenceReport {
        voter: voter(number),
        voters: voters.iter().copied().map(voter).collect(),
        began_ms,
        ended_ms: 0,
    }
}

/// Each case lists who answered, and the voters that each of them names.
#[rstest]
#[case::nobody(vec![], false)]
#[case::one_of_three(vec![(1, vec![1, 2, 3])], false)]
#[case::two_of_three(vec![(1, vec![1, 2, 3]), (2, vec![1, 2, 3])], true)]
#[case::two_of_five(vec![(1, vec![1, 2, 3, 4, 5]), (2, vec![1, 2, 3, 4, 5])], false)]
#[case::three_of_five(vec![(1, vec![1, 2, 3, 4, 5]), (4, vec![1, 2, 3, 4, 5]), (5, vec![1, 2, 3, 4, 5])], true)]
// The voter that names four has heard of a change that the others have not.
#[case::too_few_of_the_next_membership(vec![(1, vec![1, 2, 3]), (2, vec![1, 2, 3, 4])], false)]
#[case::quorum_of_both_memberships(vec![(1, vec![1, 2, 3]), (2, vec![1, 2, 3, 4]), (4, vec![1, 2, 3, 4])], true)]
#[case::voters_that_were_replaced(vec![(1, vec![1, 2, 3]), (2, vec![1, 4, 5])], false)]
fn only_a_quorum_proves_that_there_was_no_leader(
    #[case] answers: Vec<(u64, Vec<u64>)>,
    #[case] is_proved: bool,
) {
    let mut watch = AbsenceWatch::new();
    for (number, voters) in answers {
        watch.record(&report(number, &voters, 5_000), 10 * SECOND, 10 * SECOND);
    }
    assert_eq!(watch.was_leaderless(6 * SECOND, 8 * SECOND), is_proved);
}

#[rstest]
#[case::covered(6, 9, true)]
#[case::followed_a_leader_later(4, 9, false)]
// A leader may have acknowledged something since the question was sent.
#[case::asked_too_early(6, 10, false)]
fn only_the_time_that_voters_speak_of_is_proved(
    #[case] from: u32,
    #[case] to: u32,
    #[case] is_proved: bool,
) {
    let mut watch = AbsenceWatch::new();
    for number in [1, 2] {
        watch.record(&report(number, &[1, 2, 3], 5_000), 10 * SECOND, 11 * SECOND);
    }
    assert_eq!(watch.was_leaderless(from * SECOND, to * SECOND), is_proved);
}

/// Pattern: a late answer. The voter may have answered as late as it arrived, and as early as it was asked.
#[test]
fn late_answer_proves_only_what_holds_for_any_time_of_it() {
    let mut watch = AbsenceWatch::new();
    for number in [1, 2] {
        watch.record(&report(number, &[1, 2, 3], 5_000), 10 * SECOND, 14 * SECOND);
    }
    assert!(!watch.was_leaderless(8 * SECOND, 9 * SECOND));
    assert!(watch.was_leaderless(9 * SECOND, 9 * SECOND));
    assert!(!watch.was_leaderless(9 * SECOND, 10 * SECOND));
}

/// Pattern: a voter follows a leader again after it was without one.
#[test]
fn last_answer_of_a_voter_counts() {
    let mut watch = AbsenceWatch::new();
    for number in [1, 2] {
        watch.record(&report(number, &[1, 2, 3], 5_000), 10 * SECOND, 10 * SECOND);
    }
    watch.record(&report(2, &[1, 2, 3], 100), 12 * SECOND, 12 * SECOND);
    assert!(!watch.was_leaderless(6 * SECOND, 9 * SECOND));
}
