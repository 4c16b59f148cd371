//! Table-driven tests of the limits on requests that brittle targets turn away.

use std::time::Duration;

use compact_str::CompactString;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use waxwinglatch::{
    brittle::{
        BrittleTable, FairPart, LOAD_DELAY, REJECTION_TIME, RejectionLimit, SendAdmission,
        TargetSlots,
    },
    warmup::{MAX_RESERVATION_AGE, REQUEST_TOKENS, is_limit_id, limit_id},
};

const NOW: Duration = Duration::from_secs(100);

fn slots(free: u32) -> TargetSlots {
    TargetSlots { total: 4, free }
}

fn target() -> CompactString {
    CompactString::from("i-1")
}

/// Guards against permits that allow a target to be turned over.
#[rstest]
#[case(0, false)]
#[case(1, false)]
#[case(2, false)]
#[case(3, true)]
#[case(5, true)]
#[case(40, true)]
fn permits_of_a_second_stay_below_the_limit(#[case] per_second: u32, #[case] has_permits: bool) {
    let limit = RejectionLimit::new(per_second).rate_limit();
    let window = Duration::from_secs(1) + MAX_RESERVATION_AGE + REJECTION_TIME;
    let window_ms = u64::try_from(window.as_millis()).unwrap();
    let most = limit.burst + limit.rate * window_ms / 1_000;
    assert_eq!(limit.burst >= REQUEST_TOKENS, has_permits, "{limit:?}");
    let allowed = u64::from(per_second) * REQUEST_TOKENS / 2;
    assert!(most <= allowed, "{most} of {allowed} thousandths");
}

#[test]
fn ledger_ids_name_the_limit_and_are_no_ids_of_teams() {
    let limit = RejectionLimit::new(12);
    let id = limit.ledger_id(&target());
    assert_eq!(RejectionLimit::from_ledger_id(&id), Some(limit));
    assert!(is_limit_id(&id));
    assert_eq!(RejectionLimit::from_ledger_id(&limit_id(&target())), None);
    assert_eq!(RejectionLimit::from_ledger_id(&"atlas".into()), None);
}

/// Guards against gateways whose parts add up to more than the free slots.
#[rstest]
#[case(8, 2, 4)]
#[case(9, 2, 4)]
#[case(3, 4, 0)]
#[case(64, 64, 1)]
#[case(0, 5, 0)]
fn parts_of_all_gateways_fit_into_the_free_slots(
    #[case] free: u32,
    #[case] gateways: u32,
    #[case] requests: u32,
) {
    let part = FairPart::new(free, gateways, 2.0);
    assert_eq!(part.requests, requests);
    let mean = part.probability * f64::from(gateways);
    assert!(mean + 2.0 * mean.sqrt() <= f64::from(free) + 1e-9, "{mean}");
}

#[test]
fn a_gateway_takes_its_part_and_asks_for_permits_beyond_it() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut table = BrittleTable::new();
    table.set_gateways(2);
    let limit = RejectionLimit::new(5);
    let mut admit = |table: &mut BrittleTable, free, now| {
        table.admit(&target(), limit, slots(free), now, &mut rng)
    };
    assert_eq!(admit(&mut table, 4, NOW), SendAdmission::Admitted);
    // The first request is not part of the load yet.
    assert_eq!(admit(&mut table, 4, NOW), SendAdmission::Admitted);
    table.record_send(&target());
    table.record_send(&target());
    assert_eq!(admit(&mut table, 2, NOW), SendAdmission::NeedsPermit(limit));
    let known = NOW + LOAD_DELAY;
    assert_eq!(admit(&mut table, 2, known), SendAdmission::Admitted);
    assert_eq!(admit(&mut table, 0, known), SendAdmission::Full);
}

/// Guards against gateways that go on by a known load that is too low.
#[test]
fn rejections_withhold_slots_for_a_second() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut table = BrittleTable::new();
    let limit = RejectionLimit::new(4);
    let mut admit =
        |table: &mut BrittleTable, now| table.admit(&target(), limit, slots(4), now, &mut rng);
    table.record_rejection(&target(), limit, NOW);
    let withheld = |table: &mut BrittleTable, now| -> u32 {
        let targets = table.targets(now);
        targets.map(|(_, sends)| sends.withheld_slots(4, now)).sum()
    };
    assert_eq!(withheld(&mut table, NOW), 2);
    assert_eq!(admit(&mut table, NOW), SendAdmission::Admitted);
    // Half of the allowed rejections leave no slot, also for requests with a permit.
    table.record_rejection(&target(), limit, NOW);
    assert_eq!(withheld(&mut table, NOW), 4);
    assert_eq!(admit(&mut table, NOW), SendAdmission::Full);
    assert!(!table.admit_with_permit(&target(), slots(4), NOW));
    let later = NOW + Duration::from_secs(1);
    assert_eq!(withheld(&mut table, later), 0);
    assert_eq!(admit(&mut table, later), SendAdmission::Admitted);
}

#[test]
fn statements_hold_for_a_service_until_revoked_or_outdated() {
    let mut table = BrittleTable::new();
    let service = CompactString::from("shop");
    let limit = Some(RejectionLimit::new(5));
    assert!(table.record_statement(&service, limit, NOW));
    assert!(!table.record_statement(&service, limit, NOW));
    assert_eq!(table.limit(&service, NOW + Duration::from_secs(9)), limit);
    assert_eq!(table.limit(&service, NOW + Duration::from_secs(10)), None);
    assert!(table.record_statement(&service, None, NOW));
    assert_eq!(table.limit(&service, NOW), None);
}
