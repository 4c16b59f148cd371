use std::{collections::VecDeque, sync::Arc};

use super::{pending::PendingTable, shared::SharedVoter};
use crate::{
    error::{Error, Result},
    ids::{LogIndex, Term},
    raft::{EntryPayload, LogEntry},
    state::{Command, ControlState, Outcome, StampedCommand},
    sync,
};

/// Applies committed entries to the state.
pub struct StateApplier {
    shared: Arc<SharedVoter>,
    waiting: VecDeque<LogEntry>,
    commit: LogIndex,
    /// Term of the last applied entry; 0 before the first one of this process.
    last_term: Term,
    /// Set while the state is being encoded, which must not change under the encoder.
    paused: bool,
}

impl StateApplier {
    /// Starts with the entries that follow the restored state.
    pub fn new(shared: Arc<SharedVoter>, entries: Vec<LogEntry>) -> Self {
        Self {
            shared,
            waiting: entries.into(),
            commit: 0,
            last_term: 0,
            paused: false,
        }
    }

    /// Adds entries at the end of the log.
    pub fn append(&mut self, entries: &[LogEntry]) {
        self.waiting.extend(entries.iter().cloned());
    }

    /// Removes entries that were never committed.
    pub fn truncate(&mut self, from: LogIndex) {
        while self.waiting.back().is_some_and(|entry| entry.index >= from) {
            self.waiting.pop_back();
        }
    }

    /// Records that the entries up to `commit` are committed.
    pub fn commit(&mut self, commit: LogIndex) {
        self.commit = self.commit.max(commit);
    }

    /// Stops or resumes applying.
    pub fn set_paused(&mut self, paused: bool) {
        self.paused = paused;
    }

    /// Replaces the state by that of a received snapshot.
    pub fn replace(&mut self, index: LogIndex, state: ControlState) {
        self.waiting.clear();
        self.commit = self.commit.max(index);
        *self.shared.state_mut() = state;
        self.shared.applied.send_replace(index);
    }

    /// Term of the last applied entry of this process.
    pub fn last_term(&self) -> Term {
        self.last_term
    }

    /// Applies the committed entries and answers those who wait for them.
    ///
    /// # Errors
    /// [`Error::Decode`] when an entry cannot be decoded. It must not be skipped, or this voter's
    /// state would differ from that of the others.
    pub fn apply(&mut self, pending: &mut PendingTable) -> Result<()> {
        if self.paused
            || self
                .waiting
                .front()
                .is_none_or(|entry| entry.index > self.commit)
        {
            return Ok(());
        }
        let mut outcomes = Vec::new();
        let mut state = self.shared.state_mut();
        while let Some(entry) = self
            .waiting
            .pop_front_if(|entry| entry.index <= self.commit)
        {
            self.last_term = entry.term;
            let outcome = apply_entry(&mut state, &entry)?;
            outcomes.push((entry.index, entry.term, outcome));
        }
        let applied = state.applied();
        drop(state);
        self.shared.applied.send_replace(applied);
        for (index, term, outcome) in outcomes {
            pending.applied(index, term, outcome);
        }
        pending.answer_reads(applied);
        Ok(())
    }
}

fn apply_entry(state: &mut ControlState, entry: &LogEntry) -> Result<Outcome> {
    let stamped: StampedCommand = match &entry.payload {
        EntryPayload::Command(bytes) => {
            sync::decode("command", bytes).map_err(|error| Error::Decode {
                what: "log entry",
                reason: format!("entry {}: {error}", entry.index),
            })?
        }
        // The state counts every entry, so that its index is that of the log.
        EntryPayload::Noop | EntryPayload::Membership(_) => StampedCommand {
            at_ms: 0,
            command: Command::Noop,
        },
    };
    Ok(state.apply(entry.index, &stamped))
}
