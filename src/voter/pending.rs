use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Instant,
};

use super::request::AnswerSender;
use crate::{
    error::{Error, Result},
    ids::{LogIndex, Term},
    state::Outcome,
};

/// A request that waits for the core or for the application of its entry.
struct PendingRequest {
    answer: AnswerSender,
    deadline: Instant,
    stage: PendingStage,
}

/// Event that a request waits for.
#[derive(Clone, Copy)]
pub enum PendingStage {
    /// A proposal or change was passed to the core, which may have appended an entry.
    Proposed,
    /// An entry was appended at this index and may be committed later.
    Appended(LogIndex),
    /// A read was passed to the core.
    ReadRequested,
    /// A read waits until the entry at this index is applied.
    ReadAt(LogIndex),
}

/// Unanswered requests by token.
#[derive(Default)]
pub struct PendingTable {
    last_token: u64,
    answers: HashMap<u64, PendingRequest>,
    appended: BTreeMap<LogIndex, (Term, u64)>,
    reads: BTreeSet<(LogIndex, u64)>,
}

impl PendingTable {
    /// Adds a request and returns its token.
    pub fn add(&mut self, answer: AnswerSender, deadline: Instant, stage: PendingStage) -> u64 {
        self.last_token += 1;
        let pending = PendingRequest {
            answer,
            deadline,
            stage,
        };
        self.answers.insert(self.last_token, pending);
        self.last_token
    }

    /// Records term and index of the entry of a request.
    pub fn append(&mut self, token: u64, term: Term, index: LogIndex) {
        if let Some(pending) = self.answers.get_mut(&token) {
            pending.stage = PendingStage::Appended(index);
            if let Some((_, token)) = self.appended.remove(&index) {
                // This voter was elected again without the older entry. Another voter may still have it and
                // lead later, as long as no entry of a later term is committed.
                self.fail(token, || unconfirmed("another entry has taken its place"));
            }
            self.appended.insert(index, (term, token));
        }
    }

    /// Records the index that must be applied for a read.
    pub fn read_at(&mut self, token: u64, index: LogIndex) {
        if let Some(pending) = self.answers.get_mut(&token) {
            pending.stage = PendingStage::ReadAt(index);
            self.reads.insert((index, token));
        }
    }

    /// Answers a request that was refused without effect.
    pub fn refuse(&mut self, token: u64, error: Error) {
        if let Some(pending) = self.answers.remove(&token) {
            let _ = pending.answer.send(Err(error));
        }
    }

    /// Answers the request whose entry was appended at `index`, after an entry of `term` is applied
    /// there.
    pub fn applied(&mut self, index: LogIndex, term: Term, outcome: Outcome) {
        let Some((expected_term, token)) = self.appended.remove(&index) else {
            return;
        };
        let Some(pending) = self.answers.remove(&token) else {
            return;
        };
        let result = if expected_term == term {
            Ok(outcome)
        } else {
            // An entry of another leader is committed at this index instead.
            Err(Error::NotLeader { leader: None })
        };
        let _ = pending.answer.send(result);
    }

    /// Answers the reads that the applied index satisfies.
    pub fn answer_reads(&mut self, applied: LogIndex) {
        while let Some(&(index, token)) = self.reads.first()
            && index <= applied
        {
            self.reads.pop_first();
            if let Some(pending) = self.answers.remove(&token) {
                let _ = pending.answer.send(Ok(Outcome::Done));
            }
        }
    }

    /// Answers the requests whose entries a received snapshot has replaced.
    pub fn resolve_replaced(&mut self, index: LogIndex) {
        let later = self.appended.split_off(&(index + 1));
        for (_, (_, token)) in std::mem::replace(&mut self.appended, later) {
            let reason = "a snapshot replaced the log";
            self.fail(token, || unconfirmed(reason));
        }
    }

    /// Answers the requests whose deadline has passed.
    pub fn expire(&mut self, now: Instant) {
        let expired = self
            .answers
            .iter()
            .filter(|(_, pending)| pending.deadline <= now);
        let tokens: Vec<u64> = expired.map(|(token, _)| *token).collect();
        for token in tokens {
            self.fail(token, || unconfirmed("not committed within the deadline"));
        }
    }

    /// Answers all requests when the voter stops.
    pub fn stop(&mut self) {
        let tokens: Vec<u64> = self.answers.keys().copied().collect();
        for token in tokens {
            self.fail(token, || unconfirmed("the voter stopped"));
        }
    }

    fn fail(&mut self, token: u64, unconfirmed: impl FnOnce() -> Error) {
        let Some(pending) = self.answers.remove(&token) else {
            return;
        };
        let error = match pending.stage {
            PendingStage::Proposed => unconfirmed(),
            PendingStage::Appended(index) => {
                self.appended.remove(&index);
                unconfirmed()
            }
            // A read has no effect, so it is never unconfirmed.
            PendingStage::ReadRequested => Error::NotLeader { leader: None },
            PendingStage::ReadAt(index) => {
                self.reads.remove(&(index, token));
                Error::NotLeader { leader: None }
            }
        };
        let _ = pending.answer.send(Err(error));
    }
}

fn unconfirmed(reason: &str) -> Error {
    Error::Unconfirmed {
        reason: reason.to_owned(),
    }
}

/// Answers a request that was not passed to the core.
pub fn send_answer(sender: AnswerSender, result: Result<Outcome>) {
    // The caller may have gone; nothing else needs the result.
    let _ = sender.send(result);
}
