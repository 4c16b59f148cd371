//! One voter of the specification: the production core with its disk, and the seeded faults.

use std::{cell::RefCell, collections::HashMap, hash::Hash, rc::Rc, time::Duration};

use bytes::Bytes;
use waxwinglatch::{
    ids::Term,
    raft::{
        MemberChange, Membership, MessageBody, RaftCore, RaftEffect, RaftInput, RaftLimits,
        RaftMessage, RaftRole, RaftTiming, RestoredState, SnapshotMeta, VoterId,
    },
};

/// A seeded fault that the search must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    /// A vote is sent before it is synced.
    VoteNotSynced,
    /// A voter that lost its disk keeps its incarnation.
    IncarnationIgnored,
    /// The lease is measured from the arrival of a reply.
    LeaseFromArrival,
    /// An entry of an earlier term is committed by counting copies.
    EarlierTermCounted,
    /// A learner is promoted before it has every committed entry.
    CatchUpSkipped,
    /// A voter grants votes directly after a restart.
    VotesAfterRestart,
    /// A voter counts as lost though it has its disk.
    FalseSighting,
    /// A change of the membership is committed by a majority of the new voters alone.
    NewMembersAlone,
}

/// Minimum election timeout, in units of local time.
const TIMEOUT: u64 = 25;
/// Duration of a lease, in units of local time.
const LEASE: u64 = 20;

#[derive(Clone, PartialEq, Eq, Hash)]
pub struct Member {
    pub core: RaftCore,
    pub disk: RestoredState,
    /// Vote that a crash would lose; only set with [`Fault::VoteNotSynced`].
    unsynced: Option<(Term, Option<VoterId>)>,
}

impl Member {
    pub fn leads(&self) -> bool {
        self.core.role() == RaftRole::Leader
    }

    pub fn log_terms(&self) -> Vec<Term> {
        self.disk.entries.iter().map(|entry| entry.term).collect()
    }
}

/// Assigns a number to each distinct value, so that states are small and fast to compare.
struct Interner<T> {
    numbers: HashMap<Rc<T>, u32>,
    values: Vec<Rc<T>>,
}

impl<T: Hash + Eq> Interner<T> {
    fn new() -> RefCell<Self> {
        let (numbers, values) = (HashMap::new(), Vec::new());
        RefCell::new(Self { numbers, values })
    }

    fn number(&mut self, value: T) -> u32 {
        if let Some(number) = self.numbers.get(&value) {
            return *number;
        }
        let (value, number) = (Rc::new(value), u32::try_from(self.values.len()).unwrap());
        self.values.push(Rc::clone(&value));
        self.numbers.insert(value, number);
        number
    }
}

#[derive(Clone, PartialEq, Eq, Hash)]
pub enum Step {
    Deliver(u32),
    Tick,
    Propose,
    Change(MemberChange),
    Sight(VoterId),
}

/// Result of a step.
#[derive(Clone)]
pub struct Outcome {
    pub member: u32,
    pub sends: Vec<u32>,
    pub leads: Option<Term>,
    pub commit: u64,
    pub promotes: bool,
    /// Local time until which the member may use its lease.
    pub lease: u64,
}

/// Runs the members and caches the result of each step.
pub struct Members {
    pub fault: Fault,
    voters: usize,
    interned: RefCell<Interner<Member>>,
    messages: RefCell<Interner<RaftMessage>>,
    cache: RefCell<HashMap<(u32, u64, Step), Outcome>>,
}

pub fn id(vm: usize, incarnation: u64) -> VoterId {
    VoterId::new(format!("{vm}"), incarnation)
}

pub fn vm(id: &VoterId) -> usize {
    id.vm.parse().expect("the VM name is not a number")
}

/// Returns the disk of a founding voter. An even number of voters allows half quorums.
pub fn founding(voters: usize) -> RestoredState {
    let membership = Membership::of_voters((0..voters).map(|vm| id(vm, 1)));
    let fleet_size = if voters.is_multiple_of(2) { voters } else { 0 };
    let membership = membership.with_fleet_size(fleet_size);
    RestoredState {
        snapshot: SnapshotMeta::founding(membership),
        ..RestoredState::default()
    }
}

impl Members {
    pub fn new(fault: Fault, voters: usize) -> Self {
        Self {
            fault,
            voters,
            interned: Interner::new(),
            messages: Interner::new(),
            cache: RefCell::new(HashMap::new()),
        }
    }

    pub fn member(&self, number: u32) -> Rc<Member> {
        Rc::clone(&self.interned.borrow().values[number as usize])
    }

    pub fn message(&self, number: u32) -> Rc<RaftMessage> {
        Rc::clone(&self.messages.borrow().values[number as usize])
    }

    pub fn start(&self, id: VoterId, disk: RestoredState, local: u64) -> u32 {
        let timing = RaftTiming {
            heartbeat_interval: Duration::from_nanos(8),
            election_timeout_min: Duration::from_nanos(TIMEOUT),
            election_timeout_max: Duration::from_nanos(TIMEOUT),
        };
        let skips_catch_up = self.fault == Fault::CatchUpSkipped;
        let limits = RaftLimits {
            // One entry per message, so that a log grows by one entry per step.
            batch_bytes: 1,
            promote_lag: if skips_catch_up { u64::MAX >> 1 } else { 0 },
            ..RaftLimits::default()
        };
        let votes_after_restart = self.fault == Fault::VotesAfterRestart;
        let now = Duration::from_nanos(if votes_after_restart {
            local - TIMEOUT
        } else {
            local
        });
        let mut core = RaftCore::new(id, disk.clone(), timing, limits, 0, now);
        if self.voters.is_multiple_of(2) {
            core.permit_half_quorums(self.voters);
        }
        let unsynced = None;
        let member = Member {
            core,
            disk,
            unsynced,
        };
        self.interned.borrow_mut().number(member)
    }

    /// Steps a member and executes the effects on its disk.
    pub fn step(&self, member: u32, local: u64, step: Step) -> Outcome {
        let key = (member, local, step);
        if let Some(outcome) = self.cache.borrow().get(&key) {
            return outcome.clone();
        }
        let mut outcome = Outcome {
            member,
            sends: Vec::new(),
            leads: None,
            commit: 0,
            promotes: matches!(&key.2, Step::Change(MemberChange::Promote(_))),
            lease: 0,
        };
        let mut is_append_reply = false;
        let token = 0;
        let mut inputs = vec![match key.2.clone() {
            Step::Deliver(number) => {
                let message = (*self.message(number)).clone();
                is_append_reply = matches!(message.body, MessageBody::AppendReply { .. });
                RaftInput::Message(message)
            }
            Step::Tick => RaftInput::Tick,
            Step::Propose => RaftInput::Propose {
                token,
                payload: Bytes::new(),
            },
            Step::Change(change) => RaftInput::Change { token, change },
            Step::Sight(member) => RaftInput::Sighted { member },
        }];
        let now = Duration::from_nanos(local);
        let mut next = (*self.member(member)).clone();
        while let Some(input) = inputs.pop() {
            for effect in next.core.step(now, input) {
                self.carry_out(effect, &mut next, &mut outcome, &mut inputs);
            }
        }
        let core = &next.core;
        let counts_alone = match self.fault {
            Fault::EarlierTermCounted => true,
            // The old voters are the only ones left out: entries of earlier terms are not counted.
            Fault::NewMembersAlone => next.log_terms().last() == Some(&core.term()),
            _ => false,
        };
        if counts_alone && next.leads() {
            let voters = &core.membership().voters;
            let mut match_indexes: Vec<_> =
                voters.iter().map(|voter| core.match_index(voter)).collect();
            match_indexes.sort_unstable();
            outcome.commit = outcome
                .commit
                .max(match_indexes[(match_indexes.len() - 1) / 2].unwrap_or(0));
        }
        let until = core.lease_until(now).unwrap_or_default();
        outcome.lease = u64::try_from(until.as_nanos()).expect("the time exceeds 64 bits");
        if self.fault == Fault::LeaseFromArrival && next.leads() && is_append_reply {
            outcome.lease = local + LEASE;
        }
        outcome.member = self.interned.borrow_mut().number(next);
        self.cache.borrow_mut().insert(key, outcome.clone());
        outcome
    }

    fn carry_out(
        &self,
        effect: RaftEffect,
        next: &mut Member,
        outcome: &mut Outcome,
        inputs: &mut Vec<RaftInput>,
    ) {
        let disk = &mut next.disk;
        match effect {
            RaftEffect::SaveVote { term, voted_for } if self.fault == Fault::VoteNotSynced => {
                next.unsynced = Some((term, voted_for));
            }
            RaftEffect::SaveVote { term, voted_for } => {
                (disk.term, disk.voted_for) = (term, voted_for);
            }
            RaftEffect::Append { entries } => {
                let last = entries.last().expect("an append without entries");
                let (index, term) = (last.index, last.term);
                disk.entries.extend(entries);
                // The sync of the entries also covers the vote before them.
                if let Some(vote) = next.unsynced.take() {
                    (disk.term, disk.voted_for) = vote;
                }
                inputs.push(RaftInput::Persisted { index, term });
            }
            RaftEffect::Truncate { from } => disk.entries.retain(|entry| entry.index < from),
            RaftEffect::Send { message } => {
                let number = self.messages.borrow_mut().number(message);
                outcome.sends.push(number);
            }
            RaftEffect::Commit { up_to } => outcome.commit = up_to,
            RaftEffect::RoleChanged {
                role: RaftRole::Leader,
                term,
                ..
            } => {
                outcome.leads = Some(term);
            }
            RaftEffect::Refuse { .. } => outcome.promotes = false,
            _ => {}
        }
    }
}
