//! Gateways of a large fleet and their leader, with simulated clocks and a simulated network. Requests wait
//! for tokens as at `SharedAllowance`, and the leader answers as `GrantServer` does.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use compact_str::format_compact;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use waxwinglatch::{
    allowance::{
        AllowanceLedger, AllowanceShare, RateLimit, ReservationId, ReservationOutcome, ShareGrant,
        ShareReport,
    },
    gateway::GrantPacing,
    ids::{EntryKey, TeamId},
};

const TICK: Duration = Duration::from_millis(5);
const MIN_REQUEST_INTERVAL: Duration = Duration::from_millis(40);
/// Time for which messages wait in the buffer of the leader's socket.
const MAX_BUFFERED: Duration = Duration::from_millis(1_500);
const SHORTAGE_DELAY: Duration = Duration::from_millis(120);
const USAGE_DELAY: Duration = Duration::from_millis(200);
const SYNC_INTERVAL: Duration = Duration::from_secs(1);
const MAX_ANSWER_TIME: Duration = Duration::from_millis(400);
const MAX_PUSHES: usize = 8;
/// Wait of a request whose team's shortage the leader has confirmed.
const REQUEST_WAIT: Duration = Duration::from_millis(200);
/// Time that a caller waits for its answer, and the share of it for which a request waits without a leader.
const CALLER_TIMEOUT: Duration = Duration::from_secs(12);
const LEADER_WAIT: Duration = Duration::from_millis(4_800);
/// Time for which an engine's place is awaited with reserved tokens.
const MAX_PLACE_WAIT: Duration = Duration::from_millis(250);

/// What callers ask for.
#[derive(Clone, Debug)]
pub struct FleetLoad {
    pub gateways: usize,
    pub teams: Vec<RateLimit>,
    /// Share of each team's rate that its callers ask for at first.
    pub load: f64,
    /// Share of the requests that find no place at an engine and run later or not at all.
    pub placeless_share: f64,
    /// Delay of a message to or from a leader other than the first, in milliseconds. A leader that has
    /// just taken over is late.
    pub late_ms: std::ops::Range<u64>,
    /// Time that such a leader takes for each message.
    pub service_time: Duration,
    pub repeats: Repeats,
}

/// When gateways repeat what the leader has not answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeats {
    /// As they do.
    Paced,
    /// After a constant time, as before the fault was found.
    Constant,
}

#[derive(Clone, Debug)]
struct Request {
    tokens: u64,
    arrived_at: Duration,
    /// Time until which it waits once the leader has said that it has no tokens.
    until: Duration,
    number: u64,
    is_queued: bool,
    is_refused: bool,
    is_repeat: bool,
}

#[derive(Default)]
struct TeamState {
    waiting: VecDeque<Request>,
    is_reporting: bool,
}

struct Gateway {
    share: AllowanceShare,
    teams: Vec<TeamState>,
    report_again_at: Vec<Option<Duration>>,
    usage_due: BTreeMap<usize, Duration>,
    sync_at: Duration,
    asked_at: Duration,
    pacing: GrantPacing,
    /// Requests without a reply, by the time of the report, with the time at which they end.
    pending: BTreeMap<Duration, (Duration, Vec<usize>)>,
    next_request_at: Duration,
}

enum Message {
    Report {
        gateway: usize,
        reports: Vec<ShareReport>,
        asked_at: Duration,
        is_answered: bool,
        /// Whether it has waited until the leader had time for it.
        is_due: bool,
    },
    Reply {
        gateway: usize,
        grants: Vec<ShareGrant>,
        asked_at: Duration,
    },
}

enum Event {
    Arrival {
        team: usize,
        is_repeat: bool,
    },
    Settled {
        gateway: usize,
        team: usize,
        id: ReservationId,
        used: u64,
    },
}

/// A fleet that is played step by step.
pub struct TokenFleet {
    rng: ChaCha8Rng,
    pub now: Duration,
    load: FleetLoad,
    names: Vec<TeamId>,
    ledger: Option<AllowanceLedger>,
    term: u64,
    gateways: Vec<Gateway>,
    messages: BTreeMap<(Duration, u64), Message>,
    events: BTreeMap<(Duration, u64), Event>,
    sent: u64,
    /// Time at which the leader has worked off its messages.
    busy_until: Duration,
    /// Last report of each gateway and team with a shortage: what, when it was made, and when it arrived.
    shortages: BTreeMap<(usize, TeamId), (ShareReport, Duration, Duration)>,
    /// Tokens admitted by team and second.
    pub admitted: Vec<Vec<u64>>,
    /// Requests refused by second.
    pub refused: Vec<u64>,
}

fn key(gateway: usize) -> EntryKey {
    EntryKey {
        vm: format_compact!("edge-{gateway}"),
        incarnation: 1,
    }
}

impl TokenFleet {
    pub fn new(seed: u64, load: FleetLoad) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let names: Vec<TeamId> = (0..load.teams.len())
            .map(|team| format_compact!("team-{team}"))
            .collect();
        let gateways = (0..load.gateways)
            .map(|_| Gateway {
                share: AllowanceShare::new(),
                teams: names.iter().map(|_| TeamState::default()).collect(),
                report_again_at: vec![None; names.len()],
                usage_due: BTreeMap::new(),
                sync_at: rng.random_range(Duration::ZERO..SYNC_INTERVAL),
                asked_at: Duration::ZERO,
                pacing: GrantPacing::new(),
                pending: BTreeMap::new(),
                next_request_at: Duration::ZERO,
            })
            .collect();
        let mut fleet = Self {
            rng,
            now: Duration::from_secs(10),
            admitted: vec![Vec::new(); names.len()],
            names,
            ledger: None,
            term: 0,
            gateways,
            messages: BTreeMap::new(),
            events: BTreeMap::new(),
            sent: 0,
            busy_until: Duration::ZERO,
            shortages: BTreeMap::new(),
            refused: Vec::new(),
            load,
        };
        fleet.elect_leader(Duration::ZERO);
        for team in 0..fleet.names.len() {
            fleet.plan_arrival(team);
        }
        fleet
    }

    pub fn lose_leader(&mut self) {
        self.ledger = None;
        self.busy_until = Duration::ZERO;
        self.shortages.clear();
    }

    pub fn elect_leader(&mut self, elected_at: Duration) {
        self.term += 1;
        let mut ledger = AllowanceLedger::new(self.term, elected_at).with_takeover_reserve();
        for (team, limit) in self.names.iter().zip(&self.load.teams) {
            ledger.set_limit(team, *limit, self.now);
        }
        self.ledger = Some(ledger);
    }

    pub fn play_until(&mut self, end: Duration) {
        while self.now < end {
            self.now += TICK;
            self.run_events();
            self.deliver();
            self.push_grants();
            for gateway in 0..self.gateways.len() {
                self.serve(gateway);
            }
        }
    }

    /// Returns the tokens per second that each team was granted between two times.
    #[allow(clippy::cast_precision_loss)] // Small counts.
    pub fn rates(&self, from: u64, to: u64) -> Vec<f64> {
        let seconds = usize::try_from(from).unwrap()..usize::try_from(to).unwrap();
        let rate = |team: &Vec<u64>| {
            let of = |second| team.get(second).copied().unwrap_or(0);
            seconds.clone().map(of).sum::<u64>() as f64 / (to - from) as f64
        };
        self.admitted.iter().map(rate).collect()
    }

    #[allow(clippy::cast_precision_loss)] // Rates are far below 2^52.
    fn plan_arrival(&mut self, team: usize) {
        let rate = self.load.teams[team].rate as f64 * self.load.load / 1_460.0;
        let gap = -self.rng.random_range(f64::EPSILON..1.0).ln() / rate;
        let arrival = Event::Arrival {
            team,
            is_repeat: false,
        };
        self.schedule(self.now + Duration::from_secs_f64(gap), arrival);
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.sent += 1;
        self.events.insert((at, self.sent), event);
    }

    fn run_events(&mut self) {
        while let Some(entry) = self.events.first_entry()
            && entry.key().0 <= self.now
        {
            match entry.remove() {
                Event::Arrival { team, is_repeat } => {
                    if !is_repeat {
                        self.plan_arrival(team);
                    }
                    self.receive(team, is_repeat);
                }
                Event::Settled {
                    gateway,
                    team,
                    id,
                    used,
                } => {
                    self.gateways[gateway].share.settle(id, used);
                    self.report_usage(gateway, team);
                }
            }
        }
    }

    /// Four in five requests are prompts, the others are plain requests, as on the large deployment.
    fn receive(&mut self, team: usize, is_repeat: bool) {
        let tokens = match self.rng.random_range(0..5) {
            0 => 200,
            _ => self.rng.random_range(700..2_900),
        };
        let gateway = self.rng.random_range(0..self.gateways.len());
        self.sent += 1;
        let request = Request {
            tokens,
            arrived_at: self.now,
            until: self.now + REQUEST_WAIT,
            number: self.sent,
            is_queued: false,
            is_refused: false,
            is_repeat,
        };
        self.gateways[gateway].teams[team]
            .waiting
            .push_back(request);
    }

    fn report_usage(&mut self, gateway: usize, team: usize) {
        let due_at = self.now + USAGE_DELAY;
        let due = &mut self.gateways[gateway].usage_due;
        due.entry(team).or_insert(due_at);
    }

    fn send(&mut self, message: Message) {
        self.sent += 1;
        let delay_ms = match self.term {
            1 => 5..90,
            _ => self.load.late_ms.clone(),
        };
        let delay = Duration::from_millis(self.rng.random_range(delay_ms));
        self.messages.insert((self.now + delay, self.sent), message);
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.messages.first_entry()
            && entry.key().0 <= self.now
        {
            let message = entry.remove();
            let message = self.delay_by_leader(message);
            match message {
                None => {}
                Some(Message::Report {
                    gateway,
                    reports,
                    asked_at,
                    is_answered,
                    ..
                }) => {
                    self.answer(gateway, &reports, asked_at, is_answered.then_some(0));
                    if is_answered && self.ledger.is_some() {
                        for report in reports {
                            let shortage = (gateway, report.team.clone());
                            self.shortages
                                .insert(shortage, (report, asked_at, self.now));
                        }
                    }
                }
                Some(Message::Reply {
                    gateway,
                    grants,
                    asked_at,
                }) => self.apply(gateway, &grants, asked_at),
            }
        }
    }

    /// Returns a message that is handled now. One that the leader has no time for yet waits in the socket's
    /// buffer, and is lost when that is full.
    fn delay_by_leader(&mut self, message: Message) -> Option<Message> {
        let Message::Report {
            gateway,
            reports,
            asked_at,
            is_answered,
            is_due: false,
        } = message
        else {
            return Some(message);
        };
        if self.term > 1 && self.ledger.is_some() {
            let starts_at = self.now.max(self.busy_until);
            if starts_at.saturating_sub(self.now) > MAX_BUFFERED {
                return None;
            }
            self.busy_until = starts_at + self.load.service_time;
        }
        self.sent += 1;
        let due = Message::Report {
            gateway,
            reports,
            asked_at,
            is_answered,
            is_due: true,
        };
        let due_at = self.now.max(self.busy_until);
        self.messages.insert((due_at, self.sent), due);
        None
    }

    fn apply(&mut self, index: usize, grants: &[ShareGrant], asked_at: Duration) {
        let gateway = &mut self.gateways[index];
        gateway.share.apply_grants(grants, asked_at);
        let is_constant = self.load.repeats == Repeats::Constant;
        if gateway.pending.remove(&asked_at).is_some() && !is_constant {
            let age = self.now.saturating_sub(asked_at);
            gateway.pacing.record_reply(age);
        }
        for grant in grants {
            let team = self.names.iter().position(|name| *name == grant.team);
            let Some(team) = team else { continue };
            let gateway = &mut self.gateways[index];
            let waiting = &mut gateway.teams[team].waiting;
            let travel_time = self.now.saturating_sub(asked_at);
            if let Some(shortage) = grant.shortage {
                let mut waiting = waiting.iter_mut();
                if let Some(request) = waiting.find(|request| request.number == shortage.request) {
                    if !std::mem::replace(&mut request.is_queued, true) {
                        request.until = request.until.max(self.now + travel_time + REQUEST_WAIT);
                    }
                    request.is_refused |= shortage.is_refused;
                }
            }
            if gateway.share.has_idle_tokens(&grant.team, self.now) {
                self.report_usage(index, team);
            }
            self.serve_team(index, team);
            let gateway = &mut self.gateways[index];
            let first = gateway.teams[team].waiting.front();
            let delay = if first.is_some_and(|first| first.is_queued) {
                SHORTAGE_DELAY
            } else {
                Duration::ZERO
            };
            gateway.report_again_at[team] = Some(self.now + delay);
        }
    }

    /// Applies reports, and sends a reply if they have been held for a time.
    fn answer(
        &mut self,
        gateway: usize,
        reports: &[ShareReport],
        asked_at: Duration,
        held_ms: Option<u32>,
    ) {
        let now = self.now;
        let Some(ledger) = &mut self.ledger else {
            return;
        };
        ledger.expire_grants(now);
        let grants = ledger.answer_reports(&key(gateway), reports, now);
        if let Some(held_ms) = held_ms {
            let mut grants = grants.into_vec();
            for grant in &mut grants {
                grant.held_ms = held_ms;
            }
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
            let Some(ledger) = &mut self.ledger else {
                return;
            };
            let mut is_pushed = false;
            for (entry, team) in ledger.due_waiters(now) {
                let gateway = entry.vm.trim_start_matches("edge-").parse().unwrap();
                let Some(shortage) = self.shortages.get(&(gateway, team)) else {
                    continue;
                };
                let (mut report, asked_at, arrived_at) = shortage.clone();
                let waited = u32::try_from(now.saturating_sub(arrived_at).as_millis()).unwrap();
                report.waits_ms = report.waits_ms.map(|waits| waits.saturating_sub(waited));
                self.answer(gateway, &[report], asked_at, Some(waited));
                is_pushed = true;
            }
            if !is_pushed {
                return;
            }
        }
    }

    fn serve(&mut self, index: usize) {
        for team in 0..self.names.len() {
            if !self.gateways[index].teams[team].waiting.is_empty() {
                self.serve_team(index, team);
            }
        }
        self.send_reports(index);
    }

    /// Admits and refuses the requests of one team, and tells the share what still waits.
    fn serve_team(&mut self, index: usize, team: usize) {
        let name = self.names[team].clone();
        loop {
            self.end_waits(index, team);
            let now = self.now;
            let gateway = &mut self.gateways[index];
            let Some(first) = gateway.teams[team].waiting.front() else {
                break;
            };
            let tokens = first.tokens;
            let ReservationOutcome::Granted(id) = gateway.share.reserve(&name, tokens, now) else {
                break;
            };
            gateway.teams[team].waiting.pop_front();
            self.update_waiting(index, team);
            self.run(index, team, id, tokens);
        }
        self.update_waiting(index, team);
    }

    fn run(&mut self, gateway: usize, team: usize, id: ReservationId, tokens: u64) {
        let is_placeless = self.rng.random_bool(self.load.placeless_share);
        let place_wait = if is_placeless {
            self.rng.random_range(Duration::ZERO..MAX_PLACE_WAIT)
        } else {
            Duration::ZERO
        };
        if is_placeless && self.rng.random_bool(0.5) {
            let settled = Event::Settled {
                gateway,
                team,
                id,
                used: 0,
            };
            self.schedule(self.now + place_wait, settled);
            return;
        }
        let settled = Event::Settled {
            gateway,
            team,
            id,
            used: tokens,
        };
        self.schedule(self.now + place_wait, settled);
        let second = usize::try_from(self.now.as_secs()).unwrap();
        let admitted = &mut self.admitted[team];
        admitted.resize(admitted.len().max(second + 1), 0);
        admitted[second] += tokens;
    }

    /// Ends the waits of requests that the leader has no tokens for, and of those without an answer.
    fn end_waits(&mut self, index: usize, team: usize) {
        let now = self.now;
        let state = &mut self.gateways[index].teams[team];
        let mut refused = Vec::new();
        for request in std::mem::take(&mut state.waiting) {
            let until = if request.is_queued {
                request.until
            } else {
                request.arrived_at + LEADER_WAIT
            };
            if now >= until || request.is_refused {
                refused.push(request);
            } else {
                state.waiting.push_back(request);
            }
        }
        if refused.is_empty() {
            return;
        }
        self.report_usage(index, team);
        let second = usize::try_from(now.as_secs()).unwrap();
        self.refused.resize(self.refused.len().max(second + 1), 0);
        for request in refused {
            self.refused[second] += 1;
            if !request.is_repeat {
                let left = CALLER_TIMEOUT.saturating_sub(now.saturating_sub(request.arrived_at));
                let delay = left.mul_f64(self.rng.random_range(0.1..0.25));
                let again = Event::Arrival {
                    team,
                    is_repeat: true,
                };
                self.schedule(now + delay, again);
            }
        }
    }

    fn update_waiting(&mut self, index: usize, team: usize) {
        let now = self.now;
        let gateway = &mut self.gateways[index];
        let (waiting, name) = (&gateway.teams[team].waiting, &self.names[team]);
        let first = waiting.front();
        let all = waiting.iter().map(|request| request.tokens).sum();
        let until = first.map(|first| {
            if first.is_queued {
                first.until
            } else {
                first.until.max(now + REQUEST_WAIT)
            }
        });
        gateway
            .share
            .set_waiting(name, first.map_or(0, |first| first.tokens), all);
        gateway.share.set_waits_until(name, until);
        gateway
            .share
            .set_first_request(name, first.map_or(0, |first| first.number));
    }

    fn send_reports(&mut self, index: usize) {
        let now = self.now;
        let gateway = &mut self.gateways[index];
        // Replies are matched to reports by time, so no two reports of a gateway share one.
        gateway.asked_at = now.max(gateway.asked_at + Duration::from_nanos(1));
        let asked_at = gateway.asked_at;
        for team in 0..self.names.len() {
            if gateway.report_again_at[team].is_some_and(|at| at <= now) {
                gateway.report_again_at[team] = None;
                gateway.teams[team].is_reporting = false;
            }
        }
        while let Some((at, (until, teams))) = gateway.pending.pop_first() {
            if until > now {
                gateway.pending.insert(at, (until, teams));
                break;
            }
            if self.load.repeats == Repeats::Paced {
                gateway.pacing.record_timeout();
            }
            let names: Vec<TeamId> = teams.iter().map(|team| self.names[*team].clone()).collect();
            gateway.share.forget_urgent_reports(&names);
            for team in teams {
                gateway.teams[team].is_reporting = false;
            }
        }
        let mut urgent = Vec::new();
        if gateway.next_request_at <= now {
            urgent = gateway.share.make_urgent_reports(asked_at);
            let mut teams = Vec::new();
            urgent.retain(|report| {
                let team = self.names.iter().position(|name| *name == report.team);
                let is_reporting = &mut gateway.teams[team.unwrap()].is_reporting;
                let is_new = !std::mem::replace(is_reporting, true);
                teams.extend(team.filter(|_| is_new));
                is_new
            });
            if !urgent.is_empty() {
                let until = now + gateway.pacing.timeout();
                gateway.pending.insert(asked_at, (until, teams));
                let interval = gateway.pacing.interval(MIN_REQUEST_INTERVAL, &mut self.rng);
                gateway.next_request_at = now + interval;
            }
        }
        let due: Vec<usize> = gateway
            .usage_due
            .iter()
            .filter(|(_, at)| **at <= now)
            .map(|(team, _)| *team)
            .collect();
        gateway.usage_due.retain(|team, _| !due.contains(team));
        let due: Vec<TeamId> = due.iter().map(|team| self.names[*team].clone()).collect();
        let usage = gateway.share.make_usage_reports(&due, asked_at);
        let synced = if gateway.sync_at <= now {
            gateway.sync_at = now + SYNC_INTERVAL;
            gateway.share.make_reports(asked_at)
        } else {
            Vec::new()
        };
        for (reports, is_answered) in [(urgent, true), (usage, false), (synced, true)] {
            if !reports.is_empty() {
                self.send(Message::Report {
                    gateway: index,
                    reports,
                    asked_at,
                    is_answered,
                    is_due: false,
                });
            }
        }
    }
}
