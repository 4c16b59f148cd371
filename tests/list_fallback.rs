//! Tests when gateways read the platform's target list themselves, and how fast they retry syncs.
//!
//! Pattern: the leader is slow or lost, and hundreds of gateways notice it in the same second. Their
//! reads must not use up the rate of calls that the leader needs to supply the list again, and their
//! syncs must not keep it from answering. No network is needed.

use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use waxwinglatch::gateway::{ListFallback, SyncPacing};

const STEP: Duration = Duration::from_millis(500);
const OUTAGE: Duration = Duration::from_secs(20);
/// Calls per second that the platform accepts from the whole fleet, and its entries per page.
const CALLS_PER_SECOND: f64 = 50.0;
const PAGE: usize = 50;
/// The leader reads the list each 600 ms.
const LEADER_READS_PER_SECOND: f64 = 1.7;

#[rstest]
#[case::large(291, 261)]
#[case::grown(79, 116)]
#[case::small(9, 13)]
fn reads_of_all_gateways_leave_the_leader_its_calls(#[case] gateways: u32, #[case] targets: usize) {
    let mut fleet: Vec<(ListFallback, ChaCha8Rng)> = (0..gateways)
        .map(|number| {
            let mut fallback = ListFallback::new(CALLS_PER_SECOND);
            fallback.set_gateways(gateways);
            (fallback, ChaCha8Rng::seed_from_u64(u64::from(number)))
        })
        .collect();
    let mut reads = 0_u32;
    let mut now = Duration::ZERO;
    while now < OUTAGE {
        now += STEP;
        for (fallback, rng) in &mut fleet {
            if fallback.is_due(Some(OUTAGE), targets, now, rng) {
                fallback.record(true);
                reads += 1;
            }
        }
    }
    let pages = f64::from(u32::try_from(targets.div_ceil(PAGE)).unwrap());
    let calls = f64::from(reads) * pages / OUTAGE.as_secs_f64();
    let leader_calls = LEADER_READS_PER_SECOND * pages;
    assert!(reads > 0, "no gateway reads the list during the outage");
    assert!(
        calls + leader_calls <= CALLS_PER_SECOND,
        "{calls:.1} calls a second by gateways and {leader_calls:.1} by the leader"
    );
}

#[test]
fn recent_list_is_not_read_again() {
    let mut fallback = ListFallback::new(CALLS_PER_SECOND);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut now = Duration::ZERO;
    while now < OUTAGE {
        now += STEP;
        assert!(!fallback.is_due(Some(Duration::from_secs(1)), 261, now, &mut rng));
    }
}

#[test]
fn refused_reads_become_rarer() {
    let reads_during_outage = |is_success: bool| {
        let mut fallback = ListFallback::new(CALLS_PER_SECOND);
        fallback.set_gateways(9);
        let mut rng = ChaCha8Rng::seed_from_u64(3);
        let steps = (1..=80).map(|step| STEP * step);
        let reads = steps.filter(|now| {
            let is_due = fallback.is_due(None, 13, *now, &mut rng);
            if is_due {
                fallback.record(is_success);
            }
            is_due
        });
        reads.count()
    };
    assert!(reads_during_outage(false) * 3 < reads_during_outage(true));
}

/// A leader that takes two seconds to answer is waited for, instead of being asked again and again
/// for answers that nobody waits for.
#[test]
fn timeout_grows_until_a_slow_leader_can_answer() {
    let interval = Duration::from_secs(1);
    let mut pacing = SyncPacing::new();
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    assert_eq!(pacing.timeout(interval), interval);
    let mut lost = 0;
    while pacing.timeout(interval) < Duration::from_secs(2) {
        let timeout = pacing.timeout(interval);
        pacing.record_failure(timeout, interval, &mut rng);
        lost += 1;
    }
    assert!(lost <= 2, "{lost} syncs are lost before");
    pacing.record_success();
    assert_eq!(pacing.timeout(interval), interval);
}

#[test]
fn refused_syncs_do_not_lengthen_the_timeout_but_are_spread() {
    let interval = Duration::from_millis(250);
    let mut pacing = SyncPacing::new();
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let before = pacing.timeout(interval);
    let mut waited = Duration::ZERO;
    let mut attempts = 0_u32;
    while waited < Duration::from_secs(3) {
        waited += pacing.record_failure(Duration::from_millis(2), interval, &mut rng);
        attempts += 1;
    }
    assert_eq!(pacing.timeout(interval), before);
    assert!((4..=15).contains(&attempts), "{attempts} attempts in 3 s");
}
