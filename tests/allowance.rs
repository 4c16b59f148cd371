//! Tests of the bound P6: the tokens admitted by all entries never exceed burst + rate x window.

mod allowance_simulation;

use allowance_simulation::{AllowanceSimulation, SeededFault, UsageEvent, WindowChecker};
use proptest::prelude::*;
use rstest::rstest;
use std::time::Duration;
use waxwinglatch::{
    allowance::{
        AllowanceLedger, AllowanceShare, GRANT_OUTSTANDING, GRANT_VALIDITY, RateLimit,
        ReservationOutcome,
    },
    ids::{EntryKey, TeamId},
};

const STEPS: usize = 6000;

fn simulate(seed: u64, entries: usize, fault: SeededFault) -> AllowanceSimulation {
    let mut simulation = AllowanceSimulation::new(seed, entries, fault);
    for _ in 0..STEPS {
        simulation.step();
    }
    simulation
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against sequences of faults in which entries use more tokens than the bound.
    #[test]
    fn no_window_exceeds_the_bound(seed: u64, entries in 1_usize..8) {
        let simulation = simulate(seed, entries, SeededFault::None);
        prop_assert_eq!(simulation.excess(), 0);
        for (committed, burst) in simulation.committed() {
            prop_assert!(committed <= burst);
        }
    }
}

fn simulate_with_reserve(seed: u64, entries: usize) -> AllowanceSimulation {
    let mut simulation =
        AllowanceSimulation::new(seed, entries, SeededFault::None).with_takeover_reserve();
    for _ in 0..STEPS {
        simulation.step();
    }
    simulation
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against a new leader that grants at once and exceeds the bound together with the
    /// tokens that entries still hold from the previous leader.
    #[test]
    fn no_window_exceeds_the_bound_when_new_leaders_grant_at_once(
        seed: u64,
        entries in 1_usize..8,
    ) {
        let simulation = simulate_with_reserve(seed, entries);
        prop_assert_eq!(simulation.excess(), 0);
    }
}

/// Guards against refusing callers within their limit after a change of leader: a new leader
/// without a reserve grants nothing for 3.6 s.
#[test]
fn new_leader_with_a_reserve_grants_at_once() {
    let team = TeamId::from("team");
    let entry = EntryKey {
        vm: "vm".into(),
        incarnation: 1,
    };
    let limit = RateLimit {
        rate: 1_000,
        burst: 1_000,
    };
    let granted_after = |mut ledger: AllowanceLedger, after: Duration| {
        let mut share = AllowanceShare::new();
        let now = Duration::from_secs(5);
        ledger.set_limit(&team, limit, now);
        let now = now + after;
        share.set_waiting(&team, 100, 100);
        let grants = ledger.answer_reports(&entry, &share.make_reports(now), now);
        grants.first().map_or(0, |grant| grant.granted)
    };
    let elected = Duration::from_secs(5);
    let ledger = || AllowanceLedger::new(7, elected);
    let soon = Duration::from_millis(300);
    assert_eq!(granted_after(ledger(), soon), 0);
    assert!(granted_after(ledger().with_takeover_reserve(), soon) >= 100);
    // At most the reserve is granted until all earlier grants have expired.
    let late = GRANT_OUTSTANDING.saturating_sub(Duration::from_millis(1));
    assert!(granted_after(ledger().with_takeover_reserve(), late) <= 250);
}

/// Guards against schedules that are ineffective because no requests are admitted.
#[test]
fn seeded_schedules_admit_requests_within_the_bound() {
    let simulations: Vec<_> = (0..40)
        .map(|seed| simulate(seed, 4, SeededFault::None))
        .collect();
    assert_eq!(
        simulations.iter().map(AllowanceSimulation::excess).max(),
        Some(0)
    );
    let admissions: usize = simulations
        .iter()
        .map(AllowanceSimulation::admissions)
        .sum();
    assert!(
        admissions > 40 * 50,
        "schedules admitted only {admissions} requests"
    );
}

/// Guards against a checker that never reports an excess.
#[rstest]
#[case(SeededFault::NoTakeoverDelay)]
#[case(SeededFault::SameIncarnation)]
fn checker_detects_a_seeded_fault(#[case] fault: SeededFault) {
    let found = (0..400)
        .filter(|seed| simulate(*seed, 4, fault).excess() > 0)
        .count();
    assert!(found > 0, "{fault:?} was not detected");
}

/// Guards against a checker that subtracts returns of requests admitted before the window.
#[test]
fn checker_counts_only_returns_of_admissions_in_the_window() {
    let mut checker = WindowChecker::default();
    checker.set_limit(Duration::ZERO, RateLimit { rate: 0, burst: 10 });
    let second = Duration::from_secs;
    checker.record(second(1), UsageEvent::Admitted { id: 0, tokens: 10 });
    checker.record(second(2), UsageEvent::Returned { id: 0, tokens: 10 });
    checker.record(second(3), UsageEvent::Admitted { id: 1, tokens: 10 });
    assert_eq!(checker.excess(Duration::ZERO), 0);
    checker.record(second(4), UsageEvent::Admitted { id: 2, tokens: 3 });
    assert_eq!(checker.excess(Duration::ZERO), 3);
}

struct EntryFixture {
    ledger: AllowanceLedger,
    share: AllowanceShare,
    key: EntryKey,
    team: TeamId,
}

impl EntryFixture {
    fn new(limit: RateLimit) -> Self {
        let team = TeamId::from("counter");
        let mut ledger = AllowanceLedger::new(1, Duration::ZERO);
        ledger.set_limit(&team, limit, GRANT_OUTSTANDING);
        let key = EntryKey {
            vm: "vm-1".into(),
            incarnation: 1,
        };
        Self {
            ledger,
            share: AllowanceShare::new(),
            key,
            team,
        }
    }

    fn sync(&mut self, now: Duration) {
        let report = self.share.make_reports(now);
        let grants = self.ledger.answer_reports(&self.key, &report, now);
        self.share.apply_grants(&grants, now);
    }

    fn obtain(&mut self, tokens: u64, now: Duration) -> u64 {
        self.share.set_waiting(&self.team, tokens, tokens);
        self.sync(now);
        let ReservationOutcome::Granted(id) = self.share.reserve(&self.team, tokens, now) else {
            panic!("{tokens} tokens were not granted");
        };
        self.share.set_waiting(&self.team, 0, 0);
        id
    }
}

const LIMIT: RateLimit = RateLimit {
    rate: 10,
    burst: 1000,
};

/// Guards against a process that uses a grant past its expiry.
#[test]
fn grant_is_invalid_when_it_expires() {
    let mut fixture = EntryFixture::new(LIMIT);
    let start = Duration::from_secs(10);
    let id = fixture.obtain(300, start);
    fixture.share.settle(id, 0);
    let late = fixture
        .share
        .reserve(&fixture.team, 300, start + GRANT_VALIDITY);
    assert_eq!(late, ReservationOutcome::Insufficient { missing: 300 });
}

/// Reserves all the tokens that two entries can get when the first one is paused, and returns the
/// excess over the bound. `checked_at` selects the time of the expiry check from the start and the
/// end of the pause.
fn excess_around_pause(checked_at: impl Fn(Duration, Duration) -> Duration) -> u64 {
    let start = Duration::from_secs(10);
    let resumed = start + Duration::from_secs(60);
    let mut checker = WindowChecker::default();
    checker.set_limit(Duration::ZERO, LIMIT);
    let mut paused = EntryFixture::new(LIMIT);
    let id = paused.obtain(300, start);
    paused.share.settle(id, 0);
    paused.ledger.expire_grants(start + GRANT_OUTSTANDING);
    let mut other = EntryFixture {
        ledger: paused.ledger,
        share: AllowanceShare::new(),
        key: EntryKey {
            vm: "vm-2".into(),
            incarnation: 1,
        },
        team: paused.team.clone(),
    };
    other.obtain(1000, resumed);
    checker.record(
        resumed,
        UsageEvent::Admitted {
            id: 0,
            tokens: 1000,
        },
    );
    let late = paused
        .share
        .reserve(&paused.team, 300, checked_at(start, resumed));
    if let ReservationOutcome::Granted(_) = late {
        checker.record(resumed, UsageEvent::Admitted { id: 1, tokens: 300 });
    }
    checker.excess(Duration::ZERO)
}

/// Guards against a process that checks the expiry before a pause and uses the grant afterwards.
#[test]
fn paused_entry_stays_within_the_bound() {
    assert_eq!(excess_around_pause(|_, resumed| resumed), 0);
    assert_eq!(
        excess_around_pause(|paused, _| paused),
        300,
        "the checker must detect the excess"
    );
}

/// Guards against teams that stay in an entry's memory after their last request, and against
/// tokens of an idle team that stay unavailable to other entries.
#[test]
fn idle_team_returns_all_tokens_and_is_removed() {
    let mut fixture = EntryFixture::new(LIMIT);
    let start = Duration::from_secs(10);
    let id = fixture.obtain(1000, start);
    fixture.share.settle(id, 0);
    for step in 1..=6 {
        fixture.sync(start + Duration::from_millis(400) * step);
    }
    assert_eq!(fixture.share.tracked_teams(), 0);
    assert_eq!(fixture.ledger.committed(&fixture.team), 1000);
    fixture.obtain(1000, start + Duration::from_secs(4));
}

/// Guards against idle tokens at one entry that block a request at another.
#[test]
fn tokens_of_another_entry_are_recalled_for_a_waiting_request() {
    let mut first = EntryFixture::new(RateLimit {
        rate: 1,
        burst: 1000,
    });
    let start = Duration::from_secs(10);
    for step in 0..8 {
        let id = first.obtain(100, start + Duration::from_millis(step));
        first.share.settle(id, 0);
    }
    first.sync(start + Duration::from_millis(10));
    let mut second = EntryFixture {
        ledger: first.ledger,
        share: AllowanceShare::new(),
        key: EntryKey {
            vm: "vm-2".into(),
            incarnation: 1,
        },
        team: first.team.clone(),
    };
    second.share.set_waiting(&second.team, 900, 900);
    second.sync(start + Duration::from_millis(20));
    let refused = second
        .share
        .reserve(&second.team, 900, start + Duration::from_millis(20));
    assert!(matches!(refused, ReservationOutcome::Insufficient { .. }));
    first.ledger = second.ledger;
    first.sync(start + Duration::from_millis(30));
    first.sync(start + Duration::from_millis(40));
    second.ledger = first.ledger;
    second.obtain(900, start + Duration::from_millis(50));
}
