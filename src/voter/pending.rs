use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Instant,
};

use super::request::Answer;
use crate::{
    error::{Error, Result},
    ids::{LogIndex, Term},
    state::Outcome,
};

/// A request that waits for the core or for its entry to be applied.
struct PendingAnswer {
    answer: Answer,
    deadline: Instant,
    place: PendingPlace,
}

/// What a request waits for.
#[derive(Clone, Copy)]
pub enum PendingPlace {
    /// A proposal or change was handed to the core, which may have appended an entry.
    Proposed,
    /// An entry was appended here, which may be committed later.
    Appended(LogIndex),
    /// A read was handed to the core.
    ReadAsked,
    /// A read waits until this entry is applied.
    ReadAt(LogIndex),
}

/// Requests that wait for an answer, by token.
#[derive(Default)]
pub struct PendingTable {
    next: u64,
    answers: HashMap<u64, PendingAnswer>,
    appended: BTreeMap<LogIndex, (Term, u64)>,
    reads: BTreeSet<(LogIndex, u64)>,
}

impl PendingTable {
    /// Adds a request and returns its token.
    pub fn add(&mut self, answer: Answer, deadline: Instant, place: PendingPlace) -> u64 {
        self.next += 1;
        let pending = PendingAnswer {
            answer,
            deadline,
            place,
        };
        self.answers.insert(self.next, pending);
        self.next
    }

    /// Records where the entry of a request is.
    pub fn append(&mut self, token: u64, term: Term, index: LogIndex) {
        if let Some(pending) = self.answers.get_mut(&token) {
            pending.place = PendingPlace::Appended(index);
            let replaced = self.appended.insert(index, (term, token));
            if let Some((_, token)) = replaced {
                // This voter leads again and its log lacks the older entry, which is therefore not
                // committed and never will be.
                self.refuse(token, Error::NotLeader { leader: None });
            }
        }
    }

    /// Records the index that a read must see.
    pub fn read_at(&mut self, token: u64, index: LogIndex) {
        if let Some(pending) = self.answers.get_mut(&token) {
            pending.place = PendingPlace::ReadAt(index);
            self.reads.insert((index, token));
        }
    }

    /// Answers a request that had no effect.
    pub fn refuse(&mut self, token: u64, error: Error) {
        if let Some(pending) = self.answers.remove(&token) {
            let _ = pending.answer.send(Err(error));
        }
    }

    /// Answers the request whose entry was to be at `index`, now that the entry there is applied.
    pub fn applied(&mut self, index: LogIndex, term: Term, outcome: Outcome) {
        let Some((expected, token)) = self.appended.remove(&index) else {
            return;
        };
        let Some(pending) = self.answers.remove(&token) else {
            return;
        };
        let result = if expected == term {
            Ok(outcome)
        } else {
            // Another leader's entry is committed in its place.
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
    pub fn replaced_by_snapshot(&mut self, index: LogIndex) {
        let later = self.appended.split_off(&(index + 1));
        for (_, (_, token)) in std::mem::replace(&mut self.appended, later) {
            let reason = "a snapshot replaced the log";
            self.finish(token, || unconfirmed(reason));
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
            self.finish(token, || unconfirmed("not committed within the deadline"));
        }
    }

    /// Answers all requests, because the voter stops.
    pub fn stop(&mut self) {
        let tokens: Vec<u64> = self.answers.keys().copied().collect();
        for token in tokens {
            self.finish(token, || unconfirmed("the voter stopped"));
        }
    }

    fn finish(&mut self, token: u64, unconfirmed: impl FnOnce() -> Error) {
        let Some(pending) = self.answers.remove(&token) else {
            return;
        };
        let error = match pending.place {
            PendingPlace::Proposed => unconfirmed(),
            PendingPlace::Appended(index) => {
                self.appended.remove(&index);
                unconfirmed()
            }
            // A read has no effect, so its outcome is never in doubt.
            PendingPlace::ReadAsked => Error::NotLeader { leader: None },
            PendingPlace::ReadAt(index) => {
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

/// Answers a request that was not handed to the core.
pub fn answer(answer: Answer, result: Result<Outcome>) {
    // The asker may have gone; nobody else needs the result.
    let _ = answer.send(result);
}
