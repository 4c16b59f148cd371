//! Tests when a leader may rely on its lease.

use std::time::Duration;

use rstest::rstest;
use waxwinglatch::{clock::BootInstant, voter::LeaderLease};

/// Guards against a leader that tells gateways an older plan is the newest one (CONFIG): it led, and had not applied yet
/// what its predecessor had acknowledged.
#[rstest]
#[case::nothing_since_the_start(0, false)]
#[case::entries_of_earlier_terms(6, false)]
#[case::an_entry_of_its_term(7, true)]
fn lease_begins_once_an_entry_of_its_term_is_applied(
    #[case] applied_term: u64,
    #[case] has_lease: bool,
) {
    let until = BootInstant::now() + Duration::from_secs(1);
    let lease = LeaderLease::of_applied(7, applied_term, until);
    assert_eq!(lease.map(|lease| lease.term), has_lease.then_some(7));
}
