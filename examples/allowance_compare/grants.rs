use std::{collections::HashMap, time::Duration};

use compact_str::format_compact;
use waxwinglatch::{
    allowance::{
        AllowanceLedger, AllowanceShare, RateLimit, ReservationOutcome, ShareGrant, ShareReport,
    },
    ids::{EntryKey, TeamId},
};

use crate::scheme::{Agenda, Scheme, Wake};

const ONE_WAY: Duration = Duration::from_micros(1500);
const SYNC_INTERVAL: Duration = Duration::from_millis(400);
/// Time without a leader when it is replaced, and until the loss of an owner is noticed.
const ELECTION: Duration = Duration::from_millis(1500);

/// Where the ledger of a team is.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Placement {
    /// All teams at the control leader.
    Leader,
    /// Each team at one entry.
    Owner,
}

struct Message {
    node: usize,
    entry: usize,
    asked_at: Duration,
    body: Body,
}

enum Body {
    Ask(Vec<ShareReport>),
    Answer(Vec<ShareGrant>),
}

struct Node {
    ledger: AllowanceLedger,
    up_at: Duration,
    held: HashMap<usize, (Duration, Vec<ShareReport>)>,
    wakes_at: Option<Duration>,
}

/// Grants of a ledger: what is built (ledger at the leader), or an owner entry per team.
pub struct Grants {
    placement: Placement,
    teams: Vec<(TeamId, RateLimit)>,
    owners: Vec<usize>,
    nodes: Vec<Node>,
    /// One share per entry and node.
    shares: Vec<HashMap<usize, AllowanceShare>>,
    alive: Vec<bool>,
    asked: HashMap<(usize, usize), Duration>,
    messages: Vec<Option<Message>>,
    term: u64,
}

impl Grants {
    pub fn new(placement: Placement, teams: Vec<(TeamId, RateLimit)>, entries: usize) -> Self {
        let count = if placement == Placement::Leader {
            1
        } else {
            entries
        };
        let owners = (0..teams.len()).map(|team| team * 7919 % count).collect();
        let mut grants = Self {
            placement,
            teams,
            owners,
            nodes: Vec::new(),
            shares: (0..entries).map(|_| HashMap::new()).collect(),
            alive: vec![true; entries],
            asked: HashMap::new(),
            messages: Vec::new(),
            term: 1,
        };
        for _ in 0..count {
            let node = grants.node(Duration::ZERO, Duration::ZERO);
            grants.nodes.push(node);
        }
        grants
    }

    fn node(&self, up_at: Duration, limits_at: Duration) -> Node {
        let mut ledger = AllowanceLedger::new(self.term, up_at);
        for (team, limit) in &self.teams {
            // At the start of a run every team has its whole burst, as after a long time.
            let at = if limits_at == Duration::ZERO {
                Duration::from_secs(4)
            } else {
                up_at
            };
            ledger.set_limit(team, *limit, at);
        }
        Node {
            ledger,
            up_at,
            held: HashMap::new(),
            wakes_at: None,
        }
    }

    fn key(entry: usize) -> EntryKey {
        EntryKey {
            vm: format_compact!("vm-{entry}"),
            incarnation: 7_000_000_000_000,
        }
    }

    fn send(&mut self, message: Message, now: Duration, agenda: &mut Agenda) {
        let is_local = self.placement == Placement::Owner && message.node == message.entry;
        let bytes = match &message.body {
            Body::Ask(reports) => rmp_serde::to_vec_named(reports).unwrap().len(),
            Body::Answer(grants) => rmp_serde::to_vec_named(grants).unwrap().len(),
        };
        let delay = if is_local { Duration::ZERO } else { ONE_WAY };
        if !is_local {
            agenda.messages += 1;
            agenda.bytes += bytes as u64;
        }
        self.messages.push(Some(message));
        agenda
            .wakes
            .push((now + delay, Wake::Message(self.messages.len() - 1)));
    }

    fn ask(
        &mut self,
        entry: usize,
        node: usize,
        is_periodic: bool,
        now: Duration,
        agenda: &mut Agenda,
    ) {
        let is_repeated = self.asked.get(&(entry, node)) == Some(&now);
        let Some(share) = self.shares[entry].get_mut(&node) else {
            return;
        };
        if is_repeated || share.tracked_teams() == 0 {
            return;
        }
        let reports = if is_periodic {
            share.make_reports(now)
        } else {
            share.make_urgent_reports(now)
        };
        if reports.is_empty() {
            return;
        }
        self.asked.insert((entry, node), now);
        self.send(
            Message {
                node,
                entry,
                asked_at: now,
                body: Body::Ask(reports),
            },
            now,
            agenda,
        );
    }

    fn answer(&mut self, node: usize, entry: usize, now: Duration, agenda: &mut Agenda) {
        let Some((asked_at, reports)) = self.nodes[node].held.remove(&entry) else {
            return;
        };
        let grants = self.nodes[node]
            .ledger
            .answer_reports(&Self::key(entry), &reports, now)
            .to_vec();
        self.send(
            Message {
                node,
                entry,
                asked_at,
                body: Body::Answer(grants),
            },
            now,
            agenda,
        );
    }

    /// Answers held syncs that are due and schedules the next look.
    fn look(&mut self, node: usize, now: Duration, agenda: &mut Agenda) {
        self.nodes[node].ledger.expire_grants(now);
        let mut next = None;
        let held: Vec<usize> = self.nodes[node].held.keys().copied().collect();
        for entry in held {
            let (_, reports) = &self.nodes[node].held[&entry];
            match self.nodes[node]
                .ledger
                .next_answer_at(&Self::key(entry), reports, now)
            {
                Some(at) if at <= now => self.answer(node, entry, now, agenda),
                Some(at) => next = Some(next.map_or(at, |next: Duration| next.min(at))),
                None => {}
            }
        }
        if let Some(at) = next
            && self.nodes[node]
                .wakes_at
                .is_none_or(|known| at < known || known <= now)
        {
            self.nodes[node].wakes_at = Some(at);
            agenda.wakes.push((at, Wake::Held(node)));
        }
    }

    fn take_ask(
        &mut self,
        node: usize,
        entry: usize,
        asked_at: Duration,
        reports: Vec<ShareReport>,
        now: Duration,
        agenda: &mut Agenda,
    ) {
        if now < self.nodes[node].up_at {
            return;
        }
        let is_urgent = reports.iter().any(|report| report.urgent > 0);
        self.nodes[node]
            .held
            .insert(entry, (asked_at, reports.clone()));
        let before = self.nodes[node]
            .ledger
            .answer_reports(&Self::key(entry), &reports, now);
        let brings = |grant: &ShareGrant| {
            let report = reports.iter().find(|report| report.team == grant.team);
            report.is_none_or(|report| {
                grant.epoch != report.epoch || grant.granted > report.granted || grant.recall > 0
            })
        };
        if !is_urgent || before.iter().any(brings) {
            self.answer(node, entry, now, agenda);
        }
        self.look(node, now, agenda);
    }
}

impl Scheme for Grants {
    fn admit(&mut self, entry: usize, team: usize, tokens: u64, now: Duration) -> Option<u64> {
        let share = self.shares[entry].entry(self.owners[team]).or_default();
        match share.reserve(&self.teams[team].0, tokens, now) {
            ReservationOutcome::Granted(id) => Some(id),
            ReservationOutcome::Insufficient { .. } => None,
        }
    }

    fn waiting(
        &mut self,
        entry: usize,
        team: usize,
        first: u64,
        all: u64,
        now: Duration,
        agenda: &mut Agenda,
    ) {
        let node = self.owners[team];
        let share = self.shares[entry].entry(node).or_default();
        share.set_waiting(&self.teams[team].0, first, all);
        if first > 0 && share.needs_urgent_report(&self.teams[team].0, now) {
            self.ask(entry, node, false, now, agenda);
        }
    }

    fn settle(&mut self, entry: usize, team: usize, reservation: u64, used: u64, _: Duration) {
        if let Some(share) = self.shares[entry].get_mut(&self.owners[team]) {
            share.settle(reservation, used);
        }
    }

    fn wake(&mut self, wake: Wake, now: Duration, agenda: &mut Agenda) {
        match wake {
            Wake::Sync(entry) if self.alive[entry] => {
                let nodes: Vec<usize> = self.shares[entry].keys().copied().collect();
                for node in nodes {
                    self.ask(entry, node, true, now, agenda);
                }
                agenda.wakes.push((now + SYNC_INTERVAL, wake));
                agenda.retry.push(entry);
            }
            Wake::Sync(_) => {}
            Wake::Held(node) => self.look(node, now, agenda),
            Wake::Message(index) => {
                let Some(message) = self.messages[index].take() else {
                    return;
                };
                let Message {
                    node,
                    entry,
                    asked_at,
                    body,
                } = message;
                match body {
                    Body::Ask(reports) => {
                        self.take_ask(node, entry, asked_at, reports, now, agenda);
                    }
                    Body::Answer(grants) if self.alive[entry] => {
                        let share = self.shares[entry].entry(node).or_default();
                        share.apply_grants(&grants, asked_at);
                        agenda.retry.push(entry);
                        let is_short =
                            |grant: &ShareGrant| share.needs_urgent_report(&grant.team, now);
                        let recalled = grants.iter().any(|grant| grant.recall > 0);
                        if recalled || grants.iter().any(is_short) {
                            self.ask(entry, node, recalled, now, agenda);
                        }
                    }
                    Body::Answer(_) => {}
                }
            }
        }
    }

    fn lose(&mut self, entry: usize, now: Duration) {
        self.alive[entry] = false;
        self.shares[entry].clear();
        if self.placement == Placement::Leader {
            return;
        }
        self.term += 1;
        for team in 0..self.teams.len() {
            if self.owners[team] == entry {
                // The new owner keeps a ledger of its own for the team.
                self.owners[team] = self.nodes.len();
                let node = self.node(now + ELECTION, now);
                self.nodes.push(node);
            }
        }
    }

    fn change_leader(&mut self, now: Duration) {
        if self.placement == Placement::Leader {
            self.term += 1;
            self.nodes[0] = self.node(now + ELECTION, now);
        }
    }
}
