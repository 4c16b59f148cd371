//! A simulated fleet of voters. It executes the effects of the core according to the driver
//! contract and checks the safety properties after every step.
#![allow(dead_code)] // Each test binary uses only some of the items.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use bytes::Bytes;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use waxwinglatch::{
    ids::{LogIndex, Term},
    raft::{
        AppendOutcome, EntryPayload, LogEntry, MemberChange, MemberContacts, Membership,
        MessageBody, RaftCore, RaftEffect, RaftInput, RaftLimits, RaftMessage, RaftRole,
        RaftTiming, RefusalReason, ReplacementPolicy, ReplacementStep, RestoredState, SnapshotMeta,
        VoterId,
    },
};

pub const MS: Duration = Duration::from_millis(1);

/// Durable state of one voter, which survives a crash.
#[derive(Clone, Default)]
pub struct Disk {
    pub restored: RestoredState,
    state: Vec<u8>,
    partial: Vec<u8>,
}

#[derive(Clone)]
pub struct Node {
    pub id: VoterId,
    pub core: Option<RaftCore>,
    pub contacts: MemberContacts,
    pub disk: Disk,
    /// Rate of the node's clock relative to the simulated time.
    rate: f64,
    /// Simulated time and clock value at the last change of the rate.
    clock_at: (Duration, Duration),
    pub frozen_until: Duration,
    /// Latest lease that the core has returned since the process started.
    pub lease: Option<(Term, Duration)>,
    pub applied: Vec<u8>,
    applied_index: LogIndex,
}

impl Node {
    fn new(vm: usize, disk: Disk) -> Self {
        Self {
            id: voter(vm, 1),
            core: None,
            contacts: MemberContacts::default(),
            disk,
            rate: 1.0,
            clock_at: (Duration::ZERO, Duration::ZERO),
            frozen_until: Duration::ZERO,
            lease: None,
            applied: Vec::new(),
            applied_index: 0,
        }
    }

    fn clock(&self, now: Duration) -> Duration {
        let (since, value) = self.clock_at;
        value + now.saturating_sub(since).mul_f64(self.rate)
    }
}

/// What members do once a change of the voters is committed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommittedChanges {
    /// They save a snapshot.
    Saved,
    /// They know of it until they restart, as before issue 60.
    KeptInMemory,
}

/// Probabilities of network faults.
#[derive(Clone, Copy, Default)]
pub struct Network {
    pub loss: f64,
    pub duplication: f64,
    pub delay: f64,
}

/// How the leader replaces members by itself.
#[derive(Clone, Copy)]
pub struct ReplacementRule {
    pub policy: ReplacementPolicy,
    /// Interval of the leader's checks.
    pub check_interval: Duration,
    /// Interval at which a node that is no member asks to be added.
    pub announce_interval: Duration,
    /// Seeded fault: a new leader forgets what it has heard before.
    pub counts_anew: bool,
}

#[derive(Clone)]
pub struct Fleet {
    pub now: Duration,
    pub replacement: Option<ReplacementRule>,
    /// Whether half quorums are permitted once the fleet is set up, and daemons without a leader announce themselves.
    pub half_quorums: bool,
    pub committed_changes: CommittedChanges,
    /// Whether machines that join from now on are additional.
    pub is_set_up: bool,
    pub nodes: Vec<Node>,
    pub network: Network,
    pub blocked_links: BTreeSet<(usize, usize)>,
    /// Probability that a node crashes while it executes the effects of a step.
    pub crash_probability: f64,
    /// Seeded fault that tests the checker: a node keeps its identity when its disk is lost.
    pub reuses_incarnations: bool,
    pub rng: ChaCha8Rng,
    pub limits: RaftLimits,
    pub ready_reads: BTreeMap<u64, LogIndex>,
    pub refusals: BTreeMap<u64, RefusalReason>,
    pub proposed: BTreeMap<u64, (Term, LogIndex)>,
    pub committed: BTreeMap<LogIndex, LogEntry>,
    /// Term in which each entry was first committed.
    committed_in: BTreeMap<LogIndex, Term>,
    pub snapshots_installed: usize,
    /// Number of append requests that a member rejected.
    pub rejections: usize,
    queue: BTreeMap<(Duration, u64), RaftMessage>,
    next_sequence: u64,
    min_read_index: BTreeMap<u64, LogIndex>,
    leaders: BTreeMap<Term, VoterId>,
    appended: HashMap<(LogIndex, Term), (EntryPayload, Term)>,
}

pub fn voter(vm: usize, incarnation: u64) -> VoterId {
    VoterId::new(format!("vm{vm}"), incarnation)
}

impl Fleet {
    pub fn new(voters: usize, seed: u64) -> Self {
        let founding = Membership::of_voters((0..voters).map(|vm| voter(vm, 1)));
        let nodes = (0..voters).map(|vm| {
            let restored = RestoredState {
                snapshot: SnapshotMeta::founding(founding.clone()),
                ..RestoredState::default()
            };
            let disk = Disk {
                restored,
                ..Disk::default()
            };
            Node::new(vm, disk)
        });
        let mut fleet = Self {
            now: Duration::from_secs(1),
            replacement: None,
            half_quorums: false,
            committed_changes: CommittedChanges::Saved,
            is_set_up: false,
            nodes: nodes.collect(),
            network: Network::default(),
            blocked_links: BTreeSet::new(),
            crash_probability: 0.0,
            reuses_incarnations: false,
            rng: ChaCha8Rng::seed_from_u64(seed),
            limits: RaftLimits {
                batch_bytes: 120,
                in_flight_bytes: 400,
                chunk_bytes: 1_000,
                ..RaftLimits::default()
            },
            ready_reads: BTreeMap::new(),
            refusals: BTreeMap::new(),
            proposed: BTreeMap::new(),
            committed: BTreeMap::new(),
            committed_in: BTreeMap::new(),
            snapshots_installed: 0,
            rejections: 0,
            queue: BTreeMap::new(),
            next_sequence: 0,
            min_read_index: BTreeMap::new(),
            leaders: BTreeMap::new(),
            appended: HashMap::new(),
        };
        (0..voters).for_each(|vm| fleet.start(vm));
        fleet
    }

    /// Permits half quorums, also of the founding membership.
    #[must_use]
    pub fn with_half_quorums(mut self) -> Self {
        (self.half_quorums, self.is_set_up) = (true, true);
        let fleet_size = self.nodes.len();
        for vm in 0..self.nodes.len() {
            let snapshot = &mut self.nodes[vm].disk.restored.snapshot;
            snapshot.membership.fleet_size = fleet_size;
            self.start(vm);
        }
        self
    }

    pub fn start(&mut self, vm: usize) {
        let seed = self.rng.random();
        let node = &mut self.nodes[vm];
        let restored = node.disk.restored.clone();
        node.applied = node.disk.state.clone();
        node.applied_index = restored.snapshot.index;
        let now = node.clock(self.now);
        let timing = RaftTiming::default();
        let core = RaftCore::new(node.id.clone(), restored, timing, self.limits, seed, now);
        node.core = Some(core);
        node.contacts = MemberContacts::default();
    }

    /// Adds a node with an empty disk, which does not run yet, and returns its number.
    pub fn add_node(&mut self) -> usize {
        self.nodes
            .push(Node::new(self.nodes.len(), Disk::default()));
        self.nodes.len() - 1
    }

    /// Returns the present time on a node's clock.
    pub fn clock(&self, vm: usize) -> Duration {
        self.nodes[vm].clock(self.now)
    }

    /// Changes the rate of a node's clock.
    pub fn set_clock_rate(&mut self, vm: usize, rate: f64) {
        let value = self.nodes[vm].clock(self.now);
        self.nodes[vm].clock_at = (self.now, value);
        self.nodes[vm].rate = rate;
    }

    pub fn crash(&mut self, vm: usize) {
        self.nodes[vm].core = None;
        self.nodes[vm].lease = None;
    }

    /// Crashes a node and replaces its disk by an empty one with a new incarnation.
    pub fn lose_disk(&mut self, vm: usize) {
        self.crash(vm);
        let incarnation = self.nodes[vm].id.incarnation + 1;
        self.nodes[vm].disk = Disk::default();
        if self.reuses_incarnations {
            let founding = Membership::of_voters((0..self.nodes.len()).map(|vm| voter(vm, 1)));
            self.nodes[vm].disk.restored.snapshot = SnapshotMeta::founding(founding);
            return;
        }
        self.nodes[vm].id = voter(vm, incarnation);
    }

    pub fn leader(&self) -> Option<usize> {
        let leads = |node: &Node| {
            let core = node.core.as_ref()?;
            (core.role() == RaftRole::Leader).then_some(core.term())
        };
        (0..self.nodes.len())
            .filter(|vm| leads(&self.nodes[*vm]).is_some())
            .max_by_key(|vm| leads(&self.nodes[*vm]))
    }

    pub fn core(&self, vm: usize) -> &RaftCore {
        self.nodes[vm].core.as_ref().expect("the node runs")
    }

    /// Passes an input to a node and executes the effects.
    pub fn input(&mut self, vm: usize, input: RaftInput) {
        let now = self.nodes[vm].clock(self.now);
        let Node { core, contacts, .. } = &mut self.nodes[vm];
        let Some(core) = core else {
            return;
        };
        match &input {
            RaftInput::Message(message) => contacts.record(message, now),
            RaftInput::Tick => {
                contacts.observe(core, now);
                if self.is_set_up {
                    contacts.end_setup();
                }
                if self.half_quorums {
                    core.permit_half_quorums(contacts.fleet_size());
                }
            }
            _ => {}
        }
        let mut effects = core.step(now, input);
        let crashes = self.crash_probability > 0.0 && self.rng.random_bool(self.crash_probability);
        if crashes {
            effects.truncate(self.rng.random_range(0..=effects.len()));
        }
        let mut appended = None;
        for effect in effects {
            if let RaftEffect::Append { entries } = &effect {
                appended = entries.last().map(|entry| (entry.index, entry.term));
            }
            self.carry_out(vm, effect);
        }
        if crashes {
            return self.crash(vm);
        }
        self.check_lease(vm);
        if let Some((index, term)) = appended {
            self.input(vm, RaftInput::Persisted { index, term });
        }
    }

    fn carry_out(&mut self, vm: usize, effect: RaftEffect) {
        let disk = &mut self.nodes[vm].disk;
        let log = &mut disk.restored;
        match effect {
            RaftEffect::SaveVote { term, voted_for } => {
                assert!(term >= log.term, "the durable term decreased");
                (log.term, log.voted_for) = (term, voted_for);
            }
            RaftEffect::Append { entries } => {
                for entry in entries {
                    let last = log.entries.last();
                    let (index, term) = last.map_or((log.snapshot.index, log.snapshot.term), |e| {
                        (e.index, e.term)
                    });
                    assert_eq!(entry.index, index + 1, "the log has a gap");
                    let known = self.appended.entry((entry.index, entry.term));
                    let value = (entry.payload.clone(), term);
                    assert_eq!(*known.or_insert(value.clone()), value, "log matching");
                    log.entries.push(entry);
                }
            }
            RaftEffect::Truncate { from } => log.entries.retain(|entry| entry.index < from),
            RaftEffect::InstallSnapshot {
                meta,
                offset,
                bytes,
                last,
            } => {
                disk.partial.truncate(usize::try_from(offset).unwrap());
                disk.partial.extend_from_slice(&bytes);
                if last {
                    let expected: Vec<u8> = (1..=meta.index)
                        .flat_map(|index| command(&self.committed[&index]).to_vec())
                        .collect();
                    assert_eq!(disk.partial, expected, "a snapshot differs from the log");
                    self.snapshots_installed += 1;
                    disk.state = std::mem::take(&mut disk.partial);
                    log.entries.clear();
                    let state = disk.state.clone();
                    self.nodes[vm].applied_index = meta.index;
                    self.nodes[vm].disk.restored.snapshot = meta;
                    self.nodes[vm].applied = state;
                }
            }
            RaftEffect::Send { message } => self.transmit(message),
            RaftEffect::Commit { up_to } => self.apply(vm, up_to),
            RaftEffect::Proposed { token, term, index } => {
                self.proposed.insert(token, (term, index));
            }
            RaftEffect::ReadReady { token, index } => {
                let min_index = self.min_read_index.get(&token).copied().unwrap_or(0);
                assert!(
                    index >= min_index,
                    "read {token} misses entry {min_index}: {index}"
                );
                self.ready_reads.insert(token, index);
            }
            RaftEffect::Refuse { token, reason, .. } => {
                self.refusals.insert(token, reason);
            }
            RaftEffect::ReadSnapshot {
                to,
                index,
                offset,
                limit,
            } => {
                let meta = log.snapshot.clone();
                let offset = if index == Some(meta.index) { offset } else { 0 };
                let rest = &disk.state[usize::try_from(offset).unwrap()..];
                let bytes = Bytes::copy_from_slice(&rest[..limit.min(rest.len())]);
                let last = bytes.len() == rest.len();
                self.input(
                    vm,
                    RaftInput::SnapshotChunk {
                        to,
                        meta,
                        offset,
                        bytes,
                        last,
                    },
                );
            }
            RaftEffect::RoleChanged {
                role: RaftRole::Leader,
                term,
                ..
            } => {
                self.check_leader(vm, term);
            }
            RaftEffect::RoleChanged { .. } | RaftEffect::ElectionFailed { .. } => {}
        }
    }

    /// Checks that a new leader is the only one of its term and has every committed entry.
    fn check_leader(&mut self, vm: usize, term: Term) {
        if self.replacement.is_some_and(|rule| rule.counts_anew) {
            self.nodes[vm].contacts = MemberContacts::default();
        }
        let id = self.nodes[vm].id.clone();
        let known = self.leaders.entry(term).or_insert_with(|| id.clone());
        assert_eq!(*known, id, "two leaders in term {term}");
        let log = &self.nodes[vm].disk.restored;
        for (index, entry) in self.committed.range(log.snapshot.index + 1..) {
            let own = log.entries.iter().find(|own| own.index == *index);
            // An entry that was committed in this term or a later one may be missing.
            if self.committed_in[index] >= term {
                break;
            }
            assert_eq!(own, Some(entry), "the leader of term {term} lacks an entry");
        }
    }

    fn apply(&mut self, vm: usize, up_to: LogIndex) {
        let node = &mut self.nodes[vm];
        let log = &node.disk.restored;
        let position = |index| usize::try_from(index - log.snapshot.index).unwrap();
        let unapplied = position(node.applied_index)..position(up_to);
        for entry in &log.entries[unapplied] {
            self.committed_in.entry(entry.index).or_insert(log.term);
            let known = self.committed.entry(entry.index);
            let known = known.or_insert_with(|| entry.clone());
            assert_eq!(known, entry, "two entries are committed at one index");
            node.applied.extend_from_slice(command(entry));
            node.applied_index = entry.index;
        }
    }

    /// Checks that no two nodes have a valid copy of a lease, also after they stepped down.
    fn check_lease(&mut self, vm: usize) {
        let node = &mut self.nodes[vm];
        let now = node.clock(self.now);
        let Some(core) = &node.core else { return };
        let Some(until) = core.lease_until(now) else {
            return;
        };
        node.lease = node.lease.max(Some((core.term(), until)));
        for (other, node) in self.nodes.iter().enumerate() {
            let held = node
                .lease
                .is_some_and(|(_, until)| node.clock(self.now) < until);
            assert!(
                other == vm || !held,
                "{other} and {vm} hold a lease at {:?}",
                self.now
            );
        }
    }

    fn transmit(&mut self, message: RaftMessage) {
        let is_rejection = matches!(
            message.body,
            MessageBody::AppendReply {
                outcome: AppendOutcome::Rejected { .. },
                ..
            }
        );
        self.rejections += usize::from(is_rejection);
        if self.rng.random_bool(self.network.loss) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(self.network.duplication));
        for _ in 0..copies {
            let is_delayed = self.rng.random_bool(self.network.delay);
            let delay = self.rng.random_range(1..if is_delayed { 3_000 } else { 4 });
            self.next_sequence += 1;
            self.queue
                .insert((self.now + delay * MS, self.next_sequence), message.clone());
        }
    }

    fn deliver(&mut self, message: RaftMessage) {
        let find = |id: &VoterId| self.nodes.iter().position(|node| node.id.vm == id.vm);
        let (Some(from), Some(to)) = (find(&message.from), find(&message.to)) else {
            return;
        };
        if self.blocked_links.contains(&(from, to)) {
            return;
        }
        if self.nodes[to].frozen_until > self.now {
            self.next_sequence += 1;
            let at = self.nodes[to].frozen_until;
            self.queue.insert((at, self.next_sequence), message);
            return;
        }
        self.input(to, RaftInput::Message(message));
    }

    /// Advances the time by `period`; every node receives a tick each 50 ms.
    pub fn run(&mut self, period: Duration) {
        let end = self.now + period;
        while self.now < end {
            self.now += MS;
            while let Some(next) = self.queue.first_entry().filter(|e| e.key().0 <= self.now) {
                let message = next.remove();
                self.deliver(message);
            }
            if self.now.as_millis().is_multiple_of(50) {
                for vm in 0..self.nodes.len() {
                    if self.nodes[vm].frozen_until <= self.now {
                        self.input(vm, RaftInput::Tick);
                    }
                }
            }
            self.announce();
            self.advance_replacement();
            self.save_changes();
        }
    }

    /// Lets daemons that follow no leader announce themselves to all others.
    fn announce(&mut self) {
        if !self.half_quorums || !self.now.as_millis().is_multiple_of(400) {
            return;
        }
        let is_up = |node: &Node| node.core.is_some() && node.frozen_until <= self.now;
        let up = (0..self.nodes.len()).filter(|vm| is_up(&self.nodes[*vm]));
        let up: Vec<usize> = up.collect();
        let lost = |vm: &&usize| {
            let core = self.core(**vm);
            core.leader().is_none() || !core.membership().contains(core.id())
        };
        let announcing: Vec<usize> = up.iter().filter(lost).copied().collect();
        for from in announcing {
            for to in up.iter().filter(|to| **to != from) {
                if !self.blocked_links.contains(&(from, *to)) {
                    let member = self.nodes[from].id.clone();
                    self.input(*to, RaftInput::Sighted { member });
                }
            }
        }
    }

    /// Lets nodes join and the leader replace members, where a rule for it is set.
    fn advance_replacement(&mut self) {
        let (Some(rule), Some(leader)) = (self.replacement, self.leader()) else {
            return;
        };
        let now = self.now;
        let is_due = |interval: Duration| now.as_millis().is_multiple_of(interval.as_millis());
        let token = u64::MAX;
        if is_due(rule.announce_interval) {
            let membership = self.core(leader).membership();
            let joining = self.nodes.iter().filter(|node| {
                node.core.is_some()
                    && node.frozen_until <= self.now
                    && !membership.contains(&node.id)
            });
            let joining: Vec<VoterId> = joining.map(|node| node.id.clone()).collect();
            for id in joining {
                let change = MemberChange::AddLearner(id);
                self.input(leader, RaftInput::Change { token, change });
            }
        }
        if !is_due(rule.check_interval) || self.nodes[leader].frozen_until > self.now {
            return;
        }
        let node = &self.nodes[leader];
        let Some(core) = &node.core else { return };
        let clock = node.clock(self.now);
        let step = core.next_replacement(clock, &rule.policy, &node.contacts);
        if let ReplacementStep::Due { change, .. } = step {
            self.input(leader, RaftInput::Change { token, change });
        }
    }

    /// Lets members save that a change of the voters is committed.
    fn save_changes(&mut self) {
        for vm in 0..self.nodes.len() {
            let node = &self.nodes[vm];
            let change = node.core.as_ref().and_then(RaftCore::last_voter_change);
            let saved = node.disk.restored.snapshot.index;
            let is_unsaved = change.is_some_and(|at| saved < at && at <= node.applied_index);
            let is_kept = self.committed_changes == CommittedChanges::Saved;
            if is_kept && is_unsaved && node.frozen_until <= self.now {
                self.snapshot(vm);
            }
        }
    }

    /// Runs until a leader has a lease, and returns it.
    pub fn run_to_leader(&mut self) -> usize {
        for _ in 0..600 {
            self.run(20 * MS);
            if let Some(vm) = self.leader()
                && self
                    .core(vm)
                    .lease_until(self.nodes[vm].clock(self.now))
                    .is_some()
            {
                return vm;
            }
        }
        panic!("no leader within 12 s");
    }

    pub fn propose(&mut self, vm: usize, token: u64) {
        let payload = Bytes::copy_from_slice(&token.to_be_bytes());
        self.input(vm, RaftInput::Propose { token, payload });
    }

    pub fn read(&mut self, vm: usize, token: u64) {
        let min_index = self
            .committed
            .last_key_value()
            .map_or(0, |(index, _)| *index);
        self.min_read_index.insert(token, min_index);
        self.input(vm, RaftInput::Read { token });
    }

    /// Writes a snapshot of the applied state of a node and compacts its log.
    pub fn snapshot(&mut self, vm: usize) {
        let node = &mut self.nodes[vm];
        let Some(core) = &node.core else { return };
        let Some(meta) = core.snapshot_meta(node.applied_index) else {
            return;
        };
        node.disk.state = node.applied.clone();
        let index = meta.index;
        node.disk
            .restored
            .entries
            .retain(|entry| entry.index > index);
        node.disk.restored.snapshot = meta;
        self.input(vm, RaftInput::Compacted { index });
    }

    /// Proposes the next membership change to replace a member that lost its disk, if one is
    /// needed.
    pub fn repair(&mut self, token: u64) {
        let Some(leader) = self.leader() else { return };
        let membership = self.core(leader).membership().clone();
        let current = |id: &VoterId| self.nodes.iter().any(|node| node.id == *id);
        let stale = membership.members().find(|id| !current(id)).cloned();
        let missing = self.nodes.iter().map(|node| &node.id);
        let missing = missing.filter(|id| !membership.voters.contains(*id)).min();
        let change = match (missing, stale) {
            (Some(id), _) if !membership.learners.contains(id) => {
                MemberChange::AddLearner(id.clone())
            }
            (Some(id), _) => MemberChange::Promote(id.clone()),
            (None, Some(id)) => MemberChange::Remove(id),
            (None, None) => return,
        };
        self.input(leader, RaftInput::Change { token, change });
    }

    /// Returns whether the voters are exactly the current nodes, without learners.
    pub fn has_current_voters(&self) -> bool {
        let ids: BTreeSet<VoterId> = self.nodes.iter().map(|node| node.id.clone()).collect();
        self.leader().is_some_and(|vm| {
            let core = self.core(vm);
            core.membership().voters == ids && core.membership().learners.is_empty()
        })
    }
}

fn command(entry: &LogEntry) -> &[u8] {
    match &entry.payload {
        EntryPayload::Command(bytes) => bytes,
        _ => &[],
    }
}
