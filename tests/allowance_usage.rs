//! Tests that a team gets its rate when its requests are spread thinly over hundreds of entries.
//!
//! Pattern: 291 entries see a team once every few seconds each. Tokens count as outstanding until the
//! leader hears that they were used, and only the rest of the burst is refilled. No network is
//! needed.

use std::{collections::BTreeMap, time::Duration};

use compact_str::format_compact;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use waxwinglatch::{
    allowance::{AllowanceLedger, AllowanceShare, RateLimit, ReservationOutcome},
    ids::{EntryKey, TeamId},
};

const ENTRIES: usize = 291;
const RATE: u64 = 50_000;
const TOKENS: u64 = 1_700;
const STEP: Duration = Duration::from_millis(10);
const SYNC_INTERVAL: Duration = Duration::from_secs(1);
/// Time that a request waits for tokens before it is refused.
const MAX_WAIT: Duration = Duration::from_millis(200);
/// Time from admission to the first byte, when the tokens count as used.
const FIRST_BYTE: Duration = Duration::from_millis(300);
const USAGE_DELAY: Duration = Duration::from_millis(100);
const WARM_UP: Duration = Duration::from_secs(6);
const END: Duration = Duration::from_secs(60);

struct Waiting {
    entry: usize,
    arrived_at: Duration,
}

/// Entries and the ledger, with messages that are delivered at once.
struct TokenFleet {
    team: TeamId,
    ledger: AllowanceLedger,
    shares: Vec<AllowanceShare>,
    now: Duration,
}

impl TokenFleet {
    fn new() -> Self {
        let team = TeamId::from("atlas");
        let mut ledger = AllowanceLedger::new(1, Duration::ZERO).with_takeover_reserve();
        let limit = RateLimit {
            rate: RATE,
            burst: RATE,
        };
        ledger.set_limit(&team, limit, Duration::ZERO);
        Self {
            team,
            ledger,
            shares: (0..ENTRIES).map(|_| AllowanceShare::new()).collect(),
            now: Duration::ZERO,
        }
    }

    fn report(
        &mut self,
        entry: usize,
        make: impl FnOnce(&mut AllowanceShare, Duration) -> Reports,
    ) {
        // Replies are matched to reports by time, so no two reports of an entry may share one.
        self.now += Duration::from_nanos(1);
        let reports = make(&mut self.shares[entry], self.now);
        let key = entry_key(entry);
        self.ledger.expire_grants(self.now);
        let grants = self.ledger.answer_reports(&key, &reports, self.now);
        self.shares[entry].apply_grants(&grants, self.now);
    }
}

fn entry_key(entry: usize) -> EntryKey {
    EntryKey {
        vm: format_compact!("edge-{entry}"),
        incarnation: 1,
    }
}

type Reports = Vec<waxwinglatch::allowance::ShareReport>;

/// Returns the share of requests that find no tokens in time when `load` of the rate is used.
fn refused_share(load: f64, has_usage_reports: bool) -> f64 {
    let mut fleet = TokenFleet::new();
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut waiting: Vec<Waiting> = Vec::new();
    let mut first_bytes: BTreeMap<Duration, (usize, u64)> = BTreeMap::new();
    let mut usage_due: BTreeMap<Duration, usize> = BTreeMap::new();
    #[allow(clippy::cast_precision_loss)] // Small counts.
    let arrivals_per_step = load * RATE as f64 / TOKENS as f64 * STEP.as_secs_f64();
    let (mut asked, mut refused) = (0_u32, 0_u32);
    let team = fleet.team.clone();
    while fleet.now < END {
        fleet.now += STEP;
        let now = fleet.now;
        if rng.random_bool(arrivals_per_step) {
            let entry = rng.random_range(0..ENTRIES);
            waiting.push(Waiting {
                entry,
                arrived_at: now,
            });
            asked += u32::from(now > WARM_UP);
        }
        waiting.retain(|request| {
            let entry = request.entry;
            fleet.shares[entry].set_waiting(&team, TOKENS, TOKENS);
            fleet.report(entry, AllowanceShare::make_urgent_reports);
            let reserved = fleet.shares[entry].reserve(&team, TOKENS, fleet.now);
            let is_late = fleet.now.saturating_sub(request.arrived_at) >= MAX_WAIT;
            if let ReservationOutcome::Granted(id) = reserved {
                first_bytes.insert(fleet.now + FIRST_BYTE, (entry, id));
            } else if is_late {
                refused += u32::from(now > WARM_UP);
            } else {
                return true;
            }
            fleet.shares[entry].set_waiting(&team, 0, 0);
            false
        });
        while let Some((at, (entry, id))) = first_bytes.pop_first() {
            if at > now {
                first_bytes.insert(at, (entry, id));
                break;
            }
            fleet.shares[entry].settle(id, TOKENS);
            usage_due.insert(at + USAGE_DELAY, entry);
        }
        while let Some((at, entry)) = usage_due.pop_first() {
            if at > now {
                usage_due.insert(at, entry);
                break;
            }
            if has_usage_reports {
                let teams = [team.clone()];
                fleet.report(entry, |share, now| share.make_usage_reports(&teams, now));
            }
        }
        let steps = SYNC_INTERVAL.as_millis() / STEP.as_millis();
        for entry in 0..ENTRIES {
            if (now.as_millis() / STEP.as_millis() + entry as u128).is_multiple_of(steps) {
                fleet.report(entry, AllowanceShare::make_reports);
            }
        }
        let committed = fleet.ledger.committed(&team);
        assert!(committed <= RATE, "{committed} tokens of a burst of {RATE}");
    }
    f64::from(refused) / f64::from(asked)
}

/// Two thirds of the rate leave room for random arrivals within a burst of one second.
#[rstest]
#[case::typical_load(0.56)]
#[case::two_thirds_of_the_rate(0.67)]
fn requests_within_the_rate_are_not_refused(#[case] load: f64) {
    let refused = refused_share(load, true);
    let without = refused_share(load, false);
    println!("refused with usage reports: {refused:.4}, without: {without:.4}");
    assert!(refused <= 0.01, "{refused:.3} of the requests are refused");
}

/// Pattern: after a change of leader only a part of the burst circulates, and hundreds of entries wait
/// for tokens of one team. The one that has waited longest is served when there are tokens for it,
/// not when it happens to ask again.
#[test]
fn waiting_entries_are_served_as_fast_as_tokens_are_refilled() {
    const WAITING: usize = 100;
    let mut fleet = TokenFleet::new();
    let team = fleet.team.clone();
    let mut reports = BTreeMap::new();
    for entry in 0..WAITING {
        fleet.now += Duration::from_nanos(1);
        fleet.shares[entry].set_waiting(&team, TOKENS, TOKENS);
        let report = fleet.shares[entry].make_urgent_reports(fleet.now);
        let key = entry_key(entry);
        fleet.ledger.answer_reports(&key, &report, fleet.now);
        reports.insert(key, report);
    }
    let mut served = 0_u64;
    while fleet.now < Duration::from_millis(600) {
        fleet.now += STEP;
        loop {
            let due = fleet.ledger.due_waiters(fleet.now);
            let Some((entry, _)) = due.first() else { break };
            let report = reports.remove(entry).expect("an entry is served once");
            let grants = fleet.ledger.answer_reports(entry, &report, fleet.now);
            assert!(grants[0].granted >= TOKENS);
            let used = waxwinglatch::allowance::ShareReport {
                epoch: grants[0].epoch,
                granted: grants[0].granted,
                used: grants[0].granted,
                returned: 0,
                requested: 0,
                urgent: 0,
                waits_ms: None,
                team: team.clone(),
                request: 0,
                urgent_counters: waxwinglatch::allowance::ShareCounters {
                    granted: grants[0].urgent_granted,
                    used: grants[0].urgent_granted,
                    returned: 0,
                },
            };
            fleet.ledger.answer_reports(entry, &[used], fleet.now);
            served += 1;
        }
    }
    let refilled = RATE * 6 / 10;
    assert!(
        served * TOKENS + TOKENS > refilled * 9 / 10,
        "{served} requests of {TOKENS} tokens while {refilled} tokens were refilled"
    );
    assert!(served * TOKENS <= refilled + RATE / 4);
}
