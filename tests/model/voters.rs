//! Specification of voters that run the production step functions.

use std::{array::from_fn, rc::Rc};

use waxwinglatch::{
    ids::Term,
    raft::{MemberChange, Membership, MessageBody, RaftMessage, RaftRole, VoteKind, VoterId},
};

pub use super::member::Fault;
use super::{
    member::{Member, Members, Outcome, Step, founding, id, vm},
    model::Specification,
};

/// Bounds of the search.
#[derive(Clone, Copy)]
pub struct Bounds {
    pub term: Term,
    pub proposals: u8,
    pub crashes: u8,
    pub lost_disks: u8,
    pub changes: u8,
    /// Steps of the global clock; with 0 the model is untimed and timers may expire at any step.
    pub time: u8,
    /// Maximum number of messages in flight; steps that would exceed it are skipped.
    pub messages: usize,
    /// Voters that may campaign.
    pub candidates: &'static [usize],
    /// Links on which all messages are lost, as sender and receiver.
    pub blocked_links: &'static [(usize, usize)],
    /// Elections before the search, as candidate and the only voter that it reaches. Messages that
    /// the new leader sends are lost.
    pub elections: &'static [(usize, usize)],
    /// Whether the search starts with voter 0 as leader and with its first entry committed. Links are blocked only
    /// after that.
    pub starts_with_leader: bool,
    /// Voters that may lose their disks.
    pub fragile: &'static [usize],
    /// Announcements of daemons with new data folders, and how many of them the search may deliver.
    pub sightings: u8,
    /// Changes that leaders may make.
    pub change_kinds: &'static [Change],
}

#[derive(Clone, PartialEq, Eq, Hash)]
pub struct State<const N: usize> {
    members: [u32; N],
    messages: Vec<u32>,
    time: u8,
    /// Number of proposals, crashes, lost disks, changes and sightings so far.
    used: [u8; 5],
    /// Whether the search has begun, so that links are blocked.
    is_begun: bool,
    /// Leader of each term.
    leaders: Vec<Option<usize>>,
    /// Term of each committed entry, and the term in which it was committed.
    committed: Vec<(Term, Term)>,
    /// Local time at which the lease of each member expires.
    leases: [u64; N],
    violation: Option<&'static str>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    Deliver(u32),
    /// Candidate, and bits of the voters that it reaches.
    Campaign(usize, u8),
    Tick(usize),
    Time,
    Propose(usize),
    Change(usize, Change),
    Crash(usize),
    LoseDisk(usize),
    /// Voter that hears of the other one's lost disk.
    Sight(usize, usize),
}

/// A change of the membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Change {
    AddLearner(usize),
    Promote(usize),
    Remove(usize),
}

/// Kind of step, which determines its local time in an untimed model.
#[derive(Clone, Copy)]
enum Slot {
    Other,
    Vote,
    Campaign(u64),
}

pub struct Voters<const N: usize = 3> {
    bounds: Bounds,
    members: Members,
}

/// Local time per step of the global clock. Voter 0 is slow, and the ratio is the bound on clock
/// drift.
const RATES: [u64; 4] = [4, 5, 5, 5];

/// Returns whether a log has every entry that was committed before a term, or, without a term,
/// every committed entry.
fn holds_committed<const N: usize>(state: &State<N>, log: &[Term], before: Option<Term>) -> bool {
    let mut entries = state.committed.iter().enumerate();
    entries.all(|(index, (term, committed_in))| {
        before.is_some_and(|before| *committed_in >= before) || log.get(index) == Some(term)
    })
}

fn is_pre_vote(message: &RaftMessage) -> bool {
    matches!(
        message.body,
        MessageBody::VoteRequest {
            kind: VoteKind::PreVote,
            ..
        }
    )
}

impl Change {
    /// Returns the change, in which a machine joins with its second data folder.
    fn of_members(self) -> MemberChange {
        match self {
            Self::AddLearner(vm) => MemberChange::AddLearner(id(vm, 2)),
            Self::Promote(vm) => MemberChange::Promote(id(vm, 2)),
            Self::Remove(vm) => MemberChange::Remove(id(vm, 1)),
        }
    }
}

impl<const N: usize> Voters<N> {
    pub fn new(bounds: Bounds, fault: Fault) -> Self {
        let members = Members::new(fault, N);
        Self { bounds, members }
    }

    fn member(&self, state: &State<N>, vm: usize) -> Rc<Member> {
        self.members.member(state.members[vm])
    }

    /// Returns the local time of a member. In an untimed model each kind of step has its own time,
    /// at which no timer prevents it: votes are handled later than other messages, campaigns
    /// before and after votes, and steps of higher terms after those of lower terms.
    fn local(&self, state: &State<N>, vm: usize, slot: Slot) -> u64 {
        let term = self.member(state, vm).core.term();
        match slot {
            // The clocks start at 100, because `Fault::VotesAfterRestart` starts one in the past.
            _ if self.bounds.time > 0 => 100 + u64::from(state.time) * RATES[vm],
            Slot::Other => 100,
            Slot::Vote => 1_000 * (8 * term + 5),
            Slot::Campaign(attempt @ 0..3) => 1_000 * (8 * term + 1 + attempt),
            Slot::Campaign(attempt) => 1_000 * (8 * term + 3 + attempt),
        }
    }

    /// Applies the outcome of a step and checks the properties in the new state.
    fn apply(&self, state: &State<N>, vm: usize, outcome: &Outcome) -> State<N> {
        let mut next = state.clone();
        next.members[vm] = outcome.member;
        next.messages.extend(&outcome.sends);
        if self.bounds.time > 0 {
            next.leases[vm] = next.leases[vm].max(outcome.lease);
        }
        let member = self.members.member(outcome.member);
        let log = member.log_terms();
        if let Some(term) = outcome.leads {
            let position = usize::try_from(term).expect("the term exceeds usize");
            next.leaders
                .resize(next.leaders.len().max(position + 1), None);
            match next.leaders[position].replace(vm) {
                Some(other) if other != vm => next.violation = Some("election safety"),
                _ if holds_committed(&next, &log, outcome.leads) => {}
                _ => next.violation = Some("leader completeness"),
            }
        }
        let commit = usize::try_from(outcome.commit).expect("the index exceeds usize");
        for (index, term) in log.iter().enumerate().take(commit) {
            match next.committed.get(index) {
                None => next.committed.push((*term, member.core.term())),
                Some((known, _)) if known == term => {}
                Some(_) => next.violation = Some("state machine safety"),
            }
        }
        if outcome.promotes && !self.quorum_holds(&next, member.core.membership()) {
            next.violation = Some("quorum durability");
        }
        if next.violation.is_none() && !self.logs_match(&next, vm) {
            next.violation = Some("log matching");
        }
        self.normalize(next)
    }

    /// Returns whether a quorum of the voters has every committed entry.
    fn quorum_holds(&self, state: &State<N>, membership: &Membership) -> bool {
        let holds = |voter: &&VoterId| {
            let member = self.member(state, vm(voter));
            member.core.id() == *voter && holds_committed(state, &member.log_terms(), None)
        };
        membership.voters.iter().filter(holds).count() >= membership.quorum()
    }

    fn logs_match(&self, state: &State<N>, vm: usize) -> bool {
        let own = self.member(state, vm);
        (0..N).filter(|other| *other != vm).all(|other| {
            let other = self.member(state, other);
            let pairs = own.disk.entries.iter().zip(&other.disk.entries);
            let agreed = pairs.clone().rposition(|(a, b)| a.term == b.term);
            pairs
                .take(agreed.map_or(0, |last| last + 1))
                .all(|(a, b)| a == b)
        })
    }

    /// Checks the leases and removes messages and leases without further effect. At most one member
    /// has a lease, and its commit index covers every committed entry. Otherwise an entry daemon
    /// that queries it would accept an outdated configuration as current.
    fn normalize(&self, mut state: State<N>) -> State<N> {
        let members: [_; N] = from_fn(|vm| self.member(&state, vm));
        for vm in 0..N {
            if self.local(&state, vm, Slot::Other) >= state.leases[vm] {
                state.leases[vm] = 0;
            }
        }
        let holders: Vec<usize> = (0..N).filter(|vm| state.leases[*vm] > 0).collect();
        let committed = state.committed.len() as u64;
        if holders.len() > 1 {
            state.violation = Some("lease exclusivity");
        } else if holders
            .iter()
            .any(|vm| members[*vm].core.commit_index() < committed)
        {
            state.violation = Some("freshness");
        }
        state.messages.retain(|number| {
            let message = self.members.message(*number);
            let (from, to) = (vm(&message.from), vm(&message.to));
            let receiver = &members[to].core;
            let is_ahead = message.term > receiver.term();
            let is_current = message.term == receiver.term();
            *receiver.id() == message.to
                && !(state.is_begun && self.bounds.blocked_links.contains(&(from, to)))
                && match &message.body {
                    MessageBody::VoteReply { granted: false, .. } => is_ahead,
                    MessageBody::VoteReply { .. } => {
                        is_ahead || (is_current && receiver.role() == RaftRole::Candidate)
                    }
                    MessageBody::AppendReply { .. } => {
                        is_ahead || (is_current && members[to].leads())
                    }
                    // The rejection of an old request only matters if it makes the sender step down.
                    _ => is_ahead || is_current || members[from].core.term() < receiver.term(),
                }
        });
        state.messages.sort_unstable();
        state.messages.dedup();
        state
    }

    fn step_member(&self, state: &State<N>, vm: usize, step: Step) -> State<N> {
        let is_vote_request = |number| {
            let message = self.members.message(number);
            matches!(message.body, MessageBody::VoteRequest { .. })
        };
        let slot = match step {
            Step::Deliver(number) if is_vote_request(number) => Slot::Vote,
            _ => Slot::Other,
        };
        let local = self.local(state, vm, slot);
        self.apply(
            state,
            vm,
            &self.members.step(state.members[vm], local, step),
        )
    }

    fn deliver(&self, state: &State<N>, number: u32) -> State<N> {
        let mut rest = state.clone();
        rest.messages.retain(|other| *other != number);
        let to = vm(&self.members.message(number).to);
        self.step_member(&rest, to, Step::Deliver(number))
    }

    /// Returns whom a daemon with a new data folder may tell of itself, with the voter that lost its own.
    fn sightings(&self, state: &State<N>) -> Vec<(usize, usize)> {
        let is_lost = |vm: &usize| {
            let has_new_folder = self.member(state, *vm).core.id().incarnation > 1;
            has_new_folder || self.members.fault == Fault::FalseSighting
        };
        let fragile = self.bounds.fragile.iter().copied();
        let lost = fragile.filter(is_lost);
        lost.flat_map(|lost| {
            (0..N)
                .filter(move |to| *to != lost)
                .map(move |to| (to, lost))
        })
        .collect()
    }

    /// Runs the pre-vote among the reachable voters in one step, because it changes nothing
    /// durable, until the candidate requests votes.
    fn campaign(&self, state: &State<N>, candidate: usize, reachable: u8) -> Option<State<N>> {
        let mut member = state.members[candidate];
        for attempt in 0..6 {
            let local = self.local(state, candidate, Slot::Campaign(attempt));
            let ticked = self.members.step(member, local, Step::Tick);
            member = ticked.member;
            for request in ticked.sends {
                let message = self.members.message(request);
                let to = vm(&message.to);
                if !is_pre_vote(&message) || reachable & (1 << to) == 0 {
                    continue;
                }
                let at = self.local(state, to, Slot::Vote);
                let voted = self
                    .members
                    .step(state.members[to], at, Step::Deliver(request));
                for reply in voted.sends {
                    let answered = self.members.step(member, local, Step::Deliver(reply));
                    member = answered.member;
                    if self.members.member(member).core.role() == RaftRole::Candidate {
                        return Some(self.apply(state, candidate, &answered));
                    }
                }
            }
        }
        None
    }

    /// Restarts a member, with its disk or a new one.
    fn restart(&self, state: &State<N>, vm: usize, budget: usize) -> State<N> {
        let mut next = state.clone();
        let ignores_incarnation = self.members.fault == Fault::IncarnationIgnored;
        let (id, disk) = match budget {
            CRASHES => {
                let member = self.member(state, vm);
                (member.core.id().clone(), member.disk.clone())
            }
            _ if ignores_incarnation => (id(vm, 1), founding(N)),
            _ => (id(vm, 2), waxwinglatch::raft::RestoredState::default()),
        };
        next.members[vm] = self
            .members
            .start(id, disk, self.local(state, vm, Slot::Other));
        next.leases[vm] = 0;
        self.normalize(next)
    }
}

const PROPOSALS: usize = 0;
const CRASHES: usize = 1;
const LOST_DISKS: usize = 2;
const CHANGES: usize = 3;
const SIGHTINGS: usize = 4;

impl<const N: usize> Specification for Voters<N> {
    type State = State<N>;
    type Action = Action;

    fn initial(&self) -> State<N> {
        let mut state = State {
            members: from_fn(|vm| self.members.start(id(vm, 1), founding(N), 75)),
            messages: Vec::new(),
            time: 0,
            used: [0; 5],
            is_begun: !self.bounds.starts_with_leader,
            leaders: Vec::new(),
            committed: Vec::new(),
            leases: [0; N],
            violation: None,
        };
        for (candidate, voter) in self.bounds.elections {
            state = self
                .campaign(&state, *candidate, 1 << voter)
                .expect("no candidate");
            for to in [*voter, *candidate] {
                let sent = |number: &&u32| vm(&self.members.message(**number).to) == to;
                let number = *state.messages.iter().find(sent).expect("no message");
                state = self.deliver(&state, number);
            }
            state.messages.clear();
        }
        if self.bounds.starts_with_leader {
            state = self.campaign(&state, 0, u8::MAX).expect("no candidate");
            while let Some(number) = state.messages.first() {
                state = self.deliver(&state, *number);
            }
            state.is_begun = true;
        }
        state
    }

    fn next(&self, state: &State<N>) -> Vec<(Action, State<N>)> {
        let bounds = &self.bounds;
        let mut next: Vec<(Action, State<N>)> = Vec::new();
        let mut spend = |budget: usize, limit: u8, action, after: &dyn Fn() -> State<N>| {
            if state.used[budget] < limit {
                let mut after = after();
                after.used[budget] += 1;
                next.push((action, after));
            }
        };
        for vm in 0..N {
            if self.member(state, vm).leads() {
                let propose = || self.step_member(state, vm, Step::Propose);
                spend(PROPOSALS, bounds.proposals, Action::Propose(vm), &propose);
                for kind in bounds.change_kinds {
                    let step = Step::Change(kind.of_members());
                    let changed = || self.step_member(state, vm, step.clone());
                    spend(CHANGES, bounds.changes, Action::Change(vm, *kind), &changed);
                }
            }
            let crash = || self.restart(state, vm, CRASHES);
            spend(CRASHES, bounds.crashes, Action::Crash(vm), &crash);
        }
        for vm in bounds.fragile {
            let lose = || self.restart(state, *vm, LOST_DISKS);
            spend(LOST_DISKS, bounds.lost_disks, Action::LoseDisk(*vm), &lose);
        }
        for (to, lost) in self.sightings(state) {
            let sight = || self.step_member(state, to, Step::Sight(id(lost, 2)));
            spend(SIGHTINGS, bounds.sightings, Action::Sight(to, lost), &sight);
        }
        for vm in 0..N {
            let member = self.member(state, vm);
            if member.leads() && bounds.time > 0 {
                next.push((Action::Tick(vm), self.step_member(state, vm, Step::Tick)));
            }
            if !bounds.candidates.contains(&vm) || member.core.term() >= bounds.term {
                continue;
            }
            let others = (1..N).map(|distance| 1 << ((vm + distance) % N));
            for reachable in std::iter::once(u8::MAX).chain(others) {
                let campaign = self.campaign(state, vm, reachable);
                next.extend(campaign.map(|after| (Action::Campaign(vm, reachable), after)));
            }
        }
        for number in &state.messages {
            next.push((Action::Deliver(*number), self.deliver(state, *number)));
        }
        if state.time < bounds.time {
            let time = state.time + 1;
            let after = self.normalize(State {
                time,
                ..state.clone()
            });
            next.push((Action::Time, after));
        }
        next.retain(|(_, after)| after != state && after.messages.len() <= bounds.messages);
        next
    }

    fn violation(&self, state: &State<N>) -> Option<&'static str> {
        state.violation
    }
}
