//! Table-driven tests of the limits on requests that brittle targets turn away.

use std::time::Duration;

use compact_str::CompactString;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use waxwinglatch::{
    brittle::{
        BrittleTable, LOAD_DELAY, REJECTION_TIME, RejectionLimit, SendAdmission, SendPart,
        SendTerms, TargetSlots,
    },
    warmup::{MAX_RESERVATION_AGE, REQUEST_TOKENS, is_limit_id, limit_id},
};

const NOW: Duration = Duration::from_secs(100);

fn slots(free: u32) -> TargetSlots {
    TargetSlots {
        total: 4,
        free,
        own: 0,
    }
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

/// Guards against gateways whose parts add up to more than the free slots: their own slots must belong to no other one,
/// and the shared slots must leave a margin above what all of them send on average.
#[rstest]
#[case(8, 8, 2, 4)]
#[case(9, 9, 2, 4)]
#[case(9, 2, 2, 4)]
#[case(32, 32, 32, 1)]
#[case(3, 3, 4, 0)]
#[case(3, 1, 4, 0)]
#[case(64, 64, 64, 1)]
#[case(64, 64, 291, 0)]
#[case(5, 0, 9, 0)]
fn parts_of_all_gateways_fit_into_the_slots(
    #[case] total: u32,
    #[case] free: u32,
    #[case] gateways: u32,
    #[case] own_slots: u32,
) {
    let slots = TargetSlots {
        total,
        free,
        own: 0,
    };
    let part = SendPart::new(slots, gateways, 2.0);
    assert_eq!(part.own_slots, own_slots);
    let shared = total - own_slots * gateways;
    let mean = part.shared_mean * f64::from(gateways);
    let most = mean + 2.0 * mean.sqrt();
    assert!(most <= f64::from(shared.min(free)) + 1e-9, "{mean}");
}

#[test]
fn a_gateway_fills_its_own_slots_whatever_the_others_send() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut table = BrittleTable::new();
    table.record_gateways(2, NOW);
    let terms = SendTerms::new(RejectionLimit::new(5));
    let mut admit = |table: &mut BrittleTable, own, free| {
        let slots = TargetSlots { own, ..slots(free) };
        table.admit(&target(), terms, slots, NOW, &mut rng)
    };
    assert_eq!(admit(&mut table, 0, 2), SendAdmission::Admitted);
    // The first request is not part of the load yet.
    assert_eq!(admit(&mut table, 0, 2), SendAdmission::Admitted);
    table.record_send(&target());
    table.record_send(&target());
    // The other two slots are those of the other gateway.
    assert_eq!(admit(&mut table, 2, 2), SendAdmission::Full);
    assert_eq!(admit(&mut table, 1, 1), SendAdmission::Admitted);
    assert_eq!(admit(&mut table, 2, 0), SendAdmission::Full);
}

#[test]
fn a_gateway_asks_for_permits_beyond_its_part_of_shared_slots() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut table = BrittleTable::new();
    table.record_gateways(32, NOW);
    let limit = RejectionLimit::new(5);
    let terms = SendTerms::new(limit);
    let mut admit = |table: &mut BrittleTable, free, now| {
        table.admit(&target(), terms, slots(free), now, &mut rng)
    };
    for _ in 0..100 {
        admit(&mut table, 4, NOW);
    }
    assert_eq!(
        admit(&mut table, 4, NOW),
        SendAdmission::NeedsPermit(limit),
        "a part grows with time only"
    );
    assert_eq!(admit(&mut table, 0, NOW), SendAdmission::Full);
}

/// Guards against requests that get more than the gateway's part of the shared slots by trying again and again.
#[rstest]
#[case::each_millisecond(1)]
#[case::each_window(60)]
fn the_part_of_shared_slots_does_not_grow_with_attempts(#[case] interval_ms: u32) {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut table = BrittleTable::new();
    table.record_gateways(32, NOW);
    let limit = RejectionLimit::new(5);
    let terms = SendTerms::new(limit);
    let length = Duration::from_secs(600);
    let interval = Duration::from_millis(1) * interval_ms;
    let mut sent = 0;
    let mut now = NOW;
    while now < NOW + length {
        if table.admit(&target(), terms, slots(4), now, &mut rng) == SendAdmission::Admitted {
            sent += 1;
            table.record_send(&target());
        }
        now += interval;
    }
    let part = SendPart::new(slots(4), 32, limit.deviations());
    let expected = part.shared_mean * length.div_duration_f64(LOAD_DELAY);
    let spread = 4.0 * expected.sqrt();
    let difference = f64::from(sent) - expected;
    assert!(
        difference.abs() <= spread,
        "{sent} sent, {expected} expected"
    );
}

/// Guards against gateways that take each other's slots since a leader that has just started knows few of them.
#[test]
fn a_smaller_number_of_gateways_counts_after_some_time() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut table = BrittleTable::new();
    let terms = SendTerms::new(RejectionLimit::new(2));
    let mut sent_at = |table: &mut BrittleTable, now| {
        let mut sent = 0;
        while table.admit(&target(), terms, slots(4), now, &mut rng) == SendAdmission::Admitted {
            sent += 1;
        }
        sent
    };
    table.record_gateways(4, NOW);
    let later = NOW + Duration::from_secs(9);
    table.record_gateways(1, later);
    assert_eq!(sent_at(&mut table, later), 1);
    let end = NOW + Duration::from_secs(10);
    table.record_gateways(1, end);
    assert_eq!(sent_at(&mut table, end), 4);
}

/// Guards against a bound that is stricter than needed for targets whose requests end before their load is known.
#[test]
fn the_time_that_requests_take_bounds_what_is_unknown() {
    let mut table = BrittleTable::new();
    let service = CompactString::from("shop");
    table.record_statement(&service, Some(RejectionLimit::new(5)), NOW);
    let window = |table: &BrittleTable| table.terms(&service, NOW).unwrap().window;
    assert_eq!(window(&table), LOAD_DELAY);
    table.record_occupancy(&service, Duration::from_millis(20));
    assert_eq!(window(&table), Duration::from_millis(20));
    for _ in 0..100 {
        table.record_occupancy(&service, Duration::from_secs(2));
    }
    assert_eq!(window(&table), LOAD_DELAY);
}

/// Guards against gateways that go on by a known load that is too low.
#[test]
fn rejections_withhold_slots_for_a_second() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut table = BrittleTable::new();
    let limit = RejectionLimit::new(4);
    let terms = SendTerms::new(limit);
    let mut admit =
        |table: &mut BrittleTable, now| table.admit(&target(), terms, slots(4), now, &mut rng);
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
