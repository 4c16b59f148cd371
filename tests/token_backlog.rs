//! A team at its limit whose requests wait for tokens at many gateways.
//!
//! Pattern: after a change of leader, callers return together, and more requests wait than the rate
//! allows. Each waits for 200 ms and gives up. Guards against a third of the service for many seconds
//! (SHORT): the leader granted tokens to requests that had given up, and they came back unused.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use rand::{Rng, SeedableRng, rngs::StdRng};
use rstest::rstest;
use waxwinglatch::{
    allowance::{
        AllowanceLedger, AllowanceShare, RateLimit, ReservationOutcome, ShareGrant, ShareReport,
    },
    ids::{EntryKey, TeamId},
};

const TICK: Duration = Duration::from_millis(5);
const LENGTH: Duration = Duration::from_secs(14);
/// Time after the start of the ledger from which the share of the rate is measured.
const SETTLED: Duration = Duration::from_secs(6);
const REQUEST_WAIT: Duration = Duration::from_millis(200);
/// As the gateways' clients for tokens do.
const REPLY_TIMEOUT: Duration = Duration::from_millis(100);
const SHORTAGE_DELAY: Duration = Duration::from_millis(120);
const USAGE_DELAY: Duration = Duration::from_millis(200);
const SYNC_INTERVAL: Duration = Duration::from_secs(1);
/// As the leader's server for tokens does.
const MAX_ANSWER_TIME: Duration = Duration::from_millis(400);
const MAX_PUSHES: usize = 8;
const TOKENS: u64 = 2_000;

#[derive(Default)]
struct Gateway {
    share: AllowanceShare,
    /// Times until which requests wait.
    waiting: VecDeque<Duration>,
    /// When a shortage may be reported next.
    next_report_at: Duration,
    usage_due_at: Option<Duration>,
    sync_at: Duration,
}

enum Message {
    Report {
        gateway: usize,
        reports: Vec<ShareReport>,
        asked_at: Duration,
        is_answered: bool,
    },
    Reply {
        gateway: usize,
        grants: Vec<ShareGrant>,
        asked_at: Duration,
    },
}

struct Fleet {
    rng: StdRng,
    now: Duration,
    team: TeamId,
    ledger: AllowanceLedger,
    gateways: Vec<Gateway>,
    messages: BTreeMap<(Duration, u64), Message>,
    sent: u64,
    /// Last report of each gateway with a shortage: what, when it was made, and when it arrived.
    shortages: BTreeMap<usize, (Vec<ShareReport>, Duration, Duration)>,
    admitted: u64,
}

fn key(gateway: usize) -> EntryKey {
    EntryKey {
        vm: format!("edge-{gateway}").into(),
        incarnation: 1,
    }
}

impl Fleet {
    fn new(gateways: usize, limit: RateLimit) -> Self {
        let mut ledger = AllowanceLedger::new(2, Duration::ZERO).with_takeover_reserve();
        ledger.set_limit(&"team".into(), limit, Duration::ZERO);
        let mut rng = StdRng::seed_from_u64(7);
        let gateways = (0..gateways).map(|_| Gateway {
            sync_at: rng.random_range(Duration::ZERO..SYNC_INTERVAL),
            ..Gateway::default()
        });
        Self {
            gateways: gateways.collect(),
            rng,
            now: Duration::ZERO,
            team: "team".into(),
            ledger,
            messages: BTreeMap::new(),
            sent: 0,
            shortages: BTreeMap::new(),
            admitted: 0,
        }
    }

    fn send(&mut self, message: Message) {
        self.sent += 1;
        let delay = self.rng.random_range(5..90);
        self.messages.insert(
            (self.now + Duration::from_millis(delay), self.sent),
            message,
        );
    }

    /// Plays the day with an offered load, and returns the share of the rate that was admitted.
    #[allow(clippy::cast_precision_loss)]
    fn run(&mut self, limit: RateLimit, load: f64) -> f64 {
        let per_tick = limit.rate as f64 / TOKENS as f64 * TICK.as_secs_f64() * load;
        let mut arrivals = 0.0;
        while self.now < LENGTH {
            self.now += TICK;
            arrivals += per_tick;
            while arrivals >= 1.0 {
                arrivals -= 1.0;
                let gateway = self.rng.random_range(0..self.gateways.len());
                let until = self.now + REQUEST_WAIT;
                self.gateways[gateway].waiting.push_back(until);
            }
            self.deliver();
            self.push_grants();
            for gateway in 0..self.gateways.len() {
                self.serve(gateway);
            }
        }
        let seconds = LENGTH.saturating_sub(SETTLED).as_secs_f64();
        self.admitted as f64 / (limit.rate as f64 * seconds)
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.messages.first_entry()
            && entry.key().0 <= self.now
        {
            match entry.remove() {
                Message::Report {
                    gateway,
                    reports,
                    asked_at,
                    is_answered,
                } => {
                    self.answer(gateway, &reports, asked_at, is_answered);
                    if is_answered {
                        self.shortages
                            .insert(gateway, (reports, asked_at, self.now));
                    }
                }
                Message::Reply {
                    gateway,
                    grants,
                    asked_at,
                } => {
                    let state = &mut self.gateways[gateway];
                    state.share.apply_grants(&grants, asked_at);
                    if state.share.has_idle_tokens(&self.team, self.now) {
                        let due_at = self.now + USAGE_DELAY;
                        state.usage_due_at.get_or_insert(due_at);
                    }
                    state.next_report_at = self.now + SHORTAGE_DELAY;
                }
            }
        }
    }

    fn answer(&mut self, gateway: usize, reports: &[ShareReport], asked_at: Duration, sends: bool) {
        self.ledger.expire_grants(self.now);
        let grants = self.ledger.answer_reports(&key(gateway), reports, self.now);
        if sends {
            let grants = grants.into_vec();
            self.send(Message::Reply {
                gateway,
                grants,
                asked_at,
            });
        }
    }

    fn push_grants(&mut self) {
        let now = self.now;
        self.shortages
            .retain(|_, (_, _, arrived_at)| now.saturating_sub(*arrived_at) < MAX_ANSWER_TIME);
        for _ in 0..MAX_PUSHES {
            let due = self.ledger.due_waiters(now);
            let due = due.first().and_then(|(waiter, _)| {
                let mut known = self.shortages.keys();
                known.find(|gateway| key(**gateway) == *waiter).copied()
            });
            let Some(gateway) = due else {
                return;
            };
            let (mut reports, asked_at, arrived_at) = self.shortages[&gateway].clone();
            let waited = u32::try_from(now.saturating_sub(arrived_at).as_millis()).unwrap();
            for report in &mut reports {
                report.waits_ms = report.waits_ms.map(|waits| waits.saturating_sub(waited));
            }
            self.answer(gateway, &reports, asked_at, true);
        }
    }

    fn serve(&mut self, index: usize) {
        let (now, team) = (self.now, self.team.clone());
        let gateway = &mut self.gateways[index];
        while let Some(until) = gateway.waiting.front() {
            if *until <= now {
                gateway.waiting.pop_front();
                gateway.usage_due_at.get_or_insert(now + USAGE_DELAY);
                continue;
            }
            let ReservationOutcome::Granted(id) = gateway.share.reserve(&team, TOKENS, now) else {
                break;
            };
            gateway.share.settle(id, TOKENS);
            gateway.waiting.pop_front();
            gateway.usage_due_at.get_or_insert(now + USAGE_DELAY);
            if now >= SETTLED {
                self.admitted += TOKENS;
            }
        }
        let first = if gateway.waiting.is_empty() {
            0
        } else {
            TOKENS
        };
        let all = TOKENS * gateway.waiting.len() as u64;
        gateway.share.set_waiting(&team, first, all);
        let until = gateway.waiting.front().copied();
        gateway.share.set_waits_until(&team, until);
        if now >= gateway.next_report_at && gateway.share.needs_urgent_report(&team, now) {
            gateway.next_report_at = now + REPLY_TIMEOUT;
            let reports = gateway.share.make_urgent_reports(now);
            self.report(index, reports, true);
        }
        let gateway = &mut self.gateways[index];
        if gateway.usage_due_at.is_some_and(|due_at| due_at <= now) {
            gateway.usage_due_at = None;
            let reports = gateway
                .share
                .make_usage_reports(std::slice::from_ref(&team), now);
            self.report(index, reports, false);
        }
        let gateway = &mut self.gateways[index];
        if gateway.sync_at <= now {
            gateway.sync_at = now + SYNC_INTERVAL;
            let reports = gateway.share.make_reports(now);
            self.report(index, reports, true);
        }
    }

    fn report(&mut self, gateway: usize, reports: Vec<ShareReport>, is_answered: bool) {
        if !reports.is_empty() {
            let asked_at = self.now;
            self.send(Message::Report {
                gateway,
                reports,
                asked_at,
                is_answered,
            });
        }
    }
}

#[rstest]
#[case::few_gateways(9, 50_000, 2.0)]
#[case::large_fleet(291, 50_000, 2.0)]
#[case::small_team(291, 8_000, 2.0)]
#[case::many_times_the_rate(291, 50_000, 5.0)]
fn team_at_its_limit_gets_its_rate(#[case] gateways: usize, #[case] rate: u64, #[case] load: f64) {
    let limit = RateLimit { rate, burst: rate };
    let share = Fleet::new(gateways, limit).run(limit, load);
    println!("{share:.3} of the rate");
    assert!(share >= 0.8, "{share:.3} of the rate");
}
