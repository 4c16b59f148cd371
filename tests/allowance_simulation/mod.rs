//! Single-threaded simulation of a fleet with simulated clocks and a network that loses,
//! duplicates and reorders messages.

mod checker;

use std::time::Duration;

use compact_str::format_compact;
use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use waxwinglatch::{
    allowance::{
        AllowanceLedger, AllowanceShare, GRANT_OUTSTANDING, RateLimit, ReservationId,
        ReservationOutcome, ShareGrant, ShareReport,
    },
    ids::{EntryKey, TeamId},
};

pub use checker::{UsageEvent, WindowChecker};

/// An intentional fault that the checker must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SeededFault {
    None,
    /// A new leader grants tokens at once.
    NoTakeoverDelay,
    /// A restarted entry keeps its incarnation.
    SameIncarnation,
}

struct RunningRequest {
    id: usize,
    reservation: ReservationId,
    team: usize,
    tokens: u64,
}

struct EntryNode {
    key: EntryKey,
    share: AllowanceShare,
    running: Vec<RunningRequest>,
    waiting: Option<(usize, u64)>,
    clock_rate: f64,
    asked_at: Duration,
    paused_until: Duration,
}

enum Message {
    Request(usize, EntryKey, Duration, Vec<ShareReport>),
    Reply(usize, EntryKey, Duration, Vec<ShareGrant>),
}

pub struct AllowanceSimulation {
    rng: ChaCha8Rng,
    now: Duration,
    teams: Vec<TeamId>,
    limits: Vec<RateLimit>,
    pub checkers: Vec<WindowChecker>,
    ledger: AllowanceLedger,
    term: u64,
    entries: Vec<EntryNode>,
    network: Vec<Message>,
    fault: SeededFault,
    /// Whether leaders reserve a part of each burst for a change of leader.
    has_reserve: bool,
    admissions: usize,
}

impl AllowanceSimulation {
    pub fn new(seed: u64, entries: usize, fault: SeededFault) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let teams: Vec<TeamId> = (0..2).map(|team| format_compact!("team-{team}")).collect();
        let entries = (0..entries)
            .map(|vm| EntryNode {
                key: EntryKey {
                    vm: format_compact!("vm-{vm}"),
                    incarnation: 1,
                },
                share: AllowanceShare::new(),
                running: Vec::new(),
                waiting: None,
                clock_rate: rng.random_range(0.84..1.2),
                asked_at: Duration::ZERO,
                paused_until: Duration::ZERO,
            })
            .collect();
        let mut simulation = Self {
            rng,
            now: Duration::from_secs(10),
            limits: vec![
                RateLimit {
                    rate: 100,
                    burst: 400,
                },
                RateLimit {
                    rate: 20,
                    burst: 300,
                },
            ],
            checkers: teams.iter().map(|_| WindowChecker::default()).collect(),
            ledger: AllowanceLedger::new(1, Duration::from_secs(5)),
            teams,
            term: 1,
            entries,
            network: Vec::new(),
            fault,
            has_reserve: false,
            admissions: 0,
        };
        for team in 0..simulation.teams.len() {
            simulation.ledger.set_limit(
                &simulation.teams[team],
                simulation.limits[team],
                simulation.now,
            );
            simulation.checkers[team].set_limit(Duration::ZERO, simulation.limits[team]);
        }
        simulation
    }

    /// Makes leaders reserve a part of each burst for a change of leader.
    pub fn with_takeover_reserve(mut self) -> Self {
        self.has_reserve = true;
        // The previous leader had a reserve too, and its grants have expired.
        self.ledger = self.ledger.with_takeover_reserve();
        for (team, limit) in self.teams.iter().zip(&self.limits) {
            self.ledger.set_limit(team, *limit, self.now);
        }
        self
    }

    /// Returns the maximum number of tokens in excess of the bound over all teams and windows.
    pub fn excess(&self) -> u64 {
        // With a slow clock, an entry can use a grant until the leader counts it as expired.
        self.checkers
            .iter()
            .map(|checker| checker.excess(GRANT_OUTSTANDING))
            .max()
            .unwrap_or(0)
    }

    pub fn admissions(&self) -> usize {
        self.admissions
    }

    /// Returns the level plus the outstanding tokens of each team, with its burst.
    pub fn committed(&self) -> impl Iterator<Item = (u64, u64)> {
        let teams = self.teams.iter().zip(&self.limits);
        teams.map(|(team, limit)| (self.ledger.committed(team), limit.burst))
    }

    pub fn step(&mut self) {
        self.now += Duration::from_micros(self.rng.random_range(1..8_000));
        let entry = self.rng.random_range(0..self.entries.len());
        match self.rng.random_range(0..1000) {
            0..150 => self.admit(entry),
            150..400 => self.settle(entry),
            400..530 => self.send_request(entry),
            530..940 => self.deliver(),
            940..946 => self.pause(entry),
            946..982 => self.ledger.expire_grants(self.now),
            982..984 => self.restart(entry),
            984 if self.rng.random_bool(0.3) => self.change_limit(),
            985 if self.rng.random_bool(0.15) => self.change_leader(),
            _ => self.cancel_waiting(entry),
        }
    }

    fn local_time(&self, entry: usize) -> Duration {
        self.now.mul_f64(self.entries[entry].clock_rate)
    }

    fn is_paused(&self, entry: usize) -> bool {
        self.now < self.entries[entry].paused_until
    }

    /// Pauses an entry. Some or all of its requests are settled just before, so that it holds idle
    /// tokens of which the leader is not aware.
    fn pause(&mut self, entry: usize) {
        while self.rng.random_bool(0.9) && !self.entries[entry].running.is_empty() {
            self.settle(entry);
        }
        let length = Duration::from_millis(self.rng.random_range(100..8000));
        self.entries[entry].paused_until = self.now + length;
    }

    fn admit(&mut self, entry: usize) {
        if self.is_paused(entry) {
            return;
        }
        let attempts = self.rng.random_range(1..8);
        for _ in 0..attempts {
            self.admit_one(entry);
        }
    }

    fn admit_one(&mut self, entry: usize) {
        let new_request = (
            self.rng.random_range(0..self.teams.len()),
            self.rng.random_range(1..80),
        );
        let (team, tokens) = self.entries[entry].waiting.unwrap_or(new_request);
        let local_time = self.local_time(entry);
        let node = &mut self.entries[entry];
        match node.share.reserve(&self.teams[team], tokens, local_time) {
            ReservationOutcome::Granted(reservation) => {
                let id = self.admissions;
                self.admissions += 1;
                self.checkers[team].record(self.now, UsageEvent::Admitted { id, tokens });
                node.running.push(RunningRequest {
                    id,
                    reservation,
                    team,
                    tokens,
                });
                node.share.set_waiting(&self.teams[team], 0, 0);
                node.waiting = None;
            }
            ReservationOutcome::Insufficient { .. } => {
                node.waiting = Some((team, tokens));
                node.share.set_waiting(&self.teams[team], tokens, tokens);
            }
        }
    }

    fn cancel_waiting(&mut self, entry: usize) {
        let node = &mut self.entries[entry];
        if let Some((team, _)) = node.waiting.take() {
            node.share.set_waiting(&self.teams[team], 0, 0);
        }
    }

    fn settle(&mut self, entry: usize) {
        if self.is_paused(entry) || self.entries[entry].running.is_empty() {
            return;
        }
        let node = &mut self.entries[entry];
        let index = self.rng.random_range(0..node.running.len());
        let used = self.rng.random_range(0..=node.running[index].tokens);
        if self.rng.random_bool(0.3) {
            let running = &mut node.running[index];
            node.share.consume(running.reservation, used);
            running.tokens -= used;
            return;
        }
        let running = node.running.swap_remove(index);
        let returned = UsageEvent::Returned {
            id: running.id,
            tokens: running.tokens - used,
        };
        self.checkers[running.team].record(self.now, returned);
        node.share.settle(running.reservation, used);
    }

    fn send_request(&mut self, entry: usize) {
        if self.is_paused(entry) {
            return;
        }
        let local_time = self.local_time(entry);
        let node = &mut self.entries[entry];
        if local_time <= node.asked_at {
            return;
        }
        node.asked_at = local_time;
        let report = node.share.make_reports(local_time);
        self.network.push(Message::Request(
            entry,
            node.key.clone(),
            local_time,
            report,
        ));
    }

    fn deliver(&mut self) {
        if self.network.is_empty() {
            return;
        }
        // Messages are mostly delivered in order; sometimes a random message is delivered.
        let index = if self.rng.random_bool(0.7) {
            0
        } else {
            self.rng.random_range(0..self.network.len())
        };
        let is_duplicate = self.rng.random_bool(0.1) && self.network.len() < 60;
        let message = if is_duplicate {
            match &self.network[index] {
                Message::Request(entry, key, at, report) => {
                    Message::Request(*entry, key.clone(), *at, report.clone())
                }
                Message::Reply(entry, key, at, grants) => {
                    Message::Reply(*entry, key.clone(), *at, grants.clone())
                }
            }
        } else {
            self.network.remove(index)
        };
        if self.rng.random_bool(0.1) {
            return;
        }
        match message {
            Message::Request(entry, key, at, report) => {
                let grants = self.ledger.answer_reports(&key, &report, self.now).to_vec();
                self.network.push(Message::Reply(entry, key, at, grants));
            }
            Message::Reply(entry, key, at, grants) if self.entries[entry].key == key => {
                self.entries[entry].share.apply_grants(&grants, at);
            }
            Message::Reply(..) => {}
        }
    }

    fn restart(&mut self, entry: usize) {
        let node = &mut self.entries[entry];
        if self.fault != SeededFault::SameIncarnation {
            node.key.incarnation += 1;
        }
        node.share = AllowanceShare::new();
        node.running.clear();
        node.waiting = None;
    }

    fn change_limit(&mut self) {
        let team = self.rng.random_range(0..self.teams.len());
        let rate = *[0, 20, 100, 400].choose(&mut self.rng).unwrap();
        let burst = *[80, 150, 300, 600].choose(&mut self.rng).unwrap();
        self.limits[team] = RateLimit { rate, burst };
        self.ledger
            .set_limit(&self.teams[team], self.limits[team], self.now);
        self.checkers[team].set_limit(self.now, self.limits[team]);
    }

    fn change_leader(&mut self) {
        self.term += 1;
        let elected = if self.fault == SeededFault::NoTakeoverDelay {
            self.now.saturating_sub(GRANT_OUTSTANDING)
        } else {
            self.now
        };
        self.ledger = AllowanceLedger::new(self.term, elected);
        if self.has_reserve {
            self.ledger = AllowanceLedger::new(self.term, elected).with_takeover_reserve();
        }
        for (team, limit) in self.teams.iter().zip(&self.limits) {
            self.ledger.set_limit(team, *limit, self.now);
        }
    }
}
