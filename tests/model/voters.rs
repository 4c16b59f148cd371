//! Specification of three voters that run the production step functions.

use std::rc::Rc;

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
    /// Whether the search starts with voter 0 as leader and with its first entry committed.
    pub starts_with_leader: bool,
}

#[derive(Clone, PartialEq, Eq, Hash)]
pub struct State {
    members: [u32; 3],
    messages: Vec<u32>,
    time: u8,
    /// Number of proposals, crashes, lost disks and changes so far.
    used: [u8; 4],
    /// Leader of each term.
    leaders: Vec<Option<usize>>,
    /// Term of each committed entry, and the term in which it was committed.
    committed: Vec<(Term, Term)>,
    /// Local time at which the lease of each member expires.
    leases: [u64; 3],
    violation: Option<&'static str>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    Deliver(u32),
    Campaign(usize, [bool; 3]),
    Tick(usize),
    Time,
    Propose(usize),
    Change(usize, u8),
    Crash(usize),
    LoseDisk(usize),
}

/// Kind of step, which determines its local time in an untimed model.
#[derive(Clone, Copy)]
enum Slot {
    Other,
    Vote,
    Campaign(u64),
}

pub struct Voters {
    bounds: Bounds,
    members: Members,
}

/// Local time per step of the global clock. Voter 0 is slow, and the ratio is the bound on clock
/// drift.
const RATES: [u64; 3] = [4, 5, 5];

/// Returns whether a log has every entry that was committed before a term, or, without a term,
/// every committed entry.
fn holds_committed(state: &State, log: &[Term], before: Option<Term>) -> bool {
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

fn change(number: u8) -> MemberChange {
    match number {
        0 => MemberChange::AddLearner(id(2, 2)),
        1 => MemberChange::Promote(id(2, 2)),
        _ => MemberChange::Remove(id(2, 1)),
    }
}

impl Voters {
    pub fn new(bounds: Bounds, fault: Fault) -> Self {
        let members = Members::new(fault);
        Self { bounds, members }
    }

    fn member(&self, state: &State, vm: usize) -> Rc<Member> {
        self.members.member(state.members[vm])
    }

    /// Returns the local time of a member. In an untimed model each kind of step has its own time,
    /// at which no timer prevents it: votes are handled later than other messages, campaigns
    /// before and after votes, and steps of higher terms after those of lower terms.
    fn local(&self, state: &State, vm: usize, slot: Slot) -> u64 {
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
    fn apply(&self, state: &State, vm: usize, outcome: &Outcome) -> State {
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
    fn quorum_holds(&self, state: &State, membership: &Membership) -> bool {
        let holds = |voter: &&VoterId| {
            let member = self.member(state, vm(voter));
            member.core.id() == *voter && holds_committed(state, &member.log_terms(), None)
        };
        membership.voters.iter().filter(holds).count() >= membership.quorum()
    }

    fn logs_match(&self, state: &State, vm: usize) -> bool {
        let own = self.member(state, vm);
        (0..3).filter(|other| *other != vm).all(|other| {
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
    fn normalize(&self, mut state: State) -> State {
        let members = [0, 1, 2].map(|vm| self.member(&state, vm));
        for vm in 0..3 {
            if self.local(&state, vm, Slot::Other) >= state.leases[vm] {
                state.leases[vm] = 0;
            }
        }
        let holders: Vec<usize> = (0..3).filter(|vm| state.leases[*vm] > 0).collect();
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
                && !self.bounds.blocked_links.contains(&(from, to))
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

    fn step_member(&self, state: &State, vm: usize, step: Step) -> State {
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

    fn deliver(&self, state: &State, number: u32) -> State {
        let mut rest = state.clone();
        rest.messages.retain(|other| *other != number);
        let to = vm(&self.members.message(number).to);
        self.step_member(&rest, to, Step::Deliver(number))
    }

    /// Runs the pre-vote among the reachable voters in one step, because it changes nothing
    /// durable, until the candidate requests votes.
    fn campaign(&self, state: &State, candidate: usize, reachable: [bool; 3]) -> Option<State> {
        let mut member = state.members[candidate];
        for attempt in 0..6 {
            let local = self.local(state, candidate, Slot::Campaign(attempt));
            let ticked = self.members.step(member, local, Step::Tick);
            member = ticked.member;
            for request in ticked.sends {
                let message = self.members.message(request);
                let to = vm(&message.to);
                if !is_pre_vote(&message) || !reachable[to] {
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
    fn restart(&self, state: &State, vm: usize, budget: usize) -> State {
        let mut next = state.clone();
        let ignores_incarnation = self.members.fault == Fault::IncarnationIgnored;
        let (id, disk) = match budget {
            CRASHES => {
                let member = self.member(state, vm);
                (member.core.id().clone(), member.disk.clone())
            }
            _ if ignores_incarnation => (id(vm, 1), founding()),
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

impl Specification for Voters {
    type State = State;
    type Action = Action;

    fn initial(&self) -> State {
        let mut state = State {
            members: [0, 1, 2].map(|vm| self.members.start(id(vm, 1), founding(), 75)),
            messages: Vec::new(),
            time: 0,
            used: [0; 4],
            leaders: Vec::new(),
            committed: Vec::new(),
            leases: [0; 3],
            violation: None,
        };
        for (candidate, voter) in self.bounds.elections {
            let reachable = [0, 1, 2].map(|vm| vm == *voter);
            state = self
                .campaign(&state, *candidate, reachable)
                .expect("no candidate");
            for to in [*voter, *candidate] {
                let sent = |number: &&u32| vm(&self.members.message(**number).to) == to;
                let number = *state.messages.iter().find(sent).expect("no message");
                state = self.deliver(&state, number);
            }
            state.messages.clear();
        }
        if self.bounds.starts_with_leader {
            state = self.campaign(&state, 0, [true; 3]).expect("no candidate");
            while let Some(number) = state.messages.first() {
                state = self.deliver(&state, *number);
            }
        }
        state
    }

    fn next(&self, state: &State) -> Vec<(Action, State)> {
        let bounds = &self.bounds;
        let mut next: Vec<(Action, State)> = Vec::new();
        let mut spend = |budget: usize, limit: u8, action, after: &dyn Fn() -> State| {
            if state.used[budget] < limit {
                let mut after = after();
                after.used[budget] += 1;
                next.push((action, after));
            }
        };
        for vm in 0..3 {
            if self.member(state, vm).leads() {
                let propose = || self.step_member(state, vm, Step::Propose);
                spend(PROPOSALS, bounds.proposals, Action::Propose(vm), &propose);
                for number in 0..3 {
                    let changed = || self.step_member(state, vm, Step::Change(change(number)));
                    spend(
                        CHANGES,
                        bounds.changes,
                        Action::Change(vm, number),
                        &changed,
                    );
                }
            }
            let crash = || self.restart(state, vm, CRASHES);
            spend(CRASHES, bounds.crashes, Action::Crash(vm), &crash);
        }
        let lose = || self.restart(state, 2, LOST_DISKS);
        spend(LOST_DISKS, bounds.lost_disks, Action::LoseDisk(2), &lose);
        for vm in 0..3 {
            let member = self.member(state, vm);
            if member.leads() && bounds.time > 0 {
                next.push((Action::Tick(vm), self.step_member(state, vm, Step::Tick)));
            }
            if !bounds.candidates.contains(&vm) || member.core.term() >= bounds.term {
                continue;
            }
            let only = |other: usize| [0, 1, 2].map(|vm| vm == other);
            for reachable in [[true; 3], only((vm + 1) % 3), only((vm + 2) % 3)] {
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

    fn violation(&self, state: &State) -> Option<&'static str> {
        state.violation
    }
}
