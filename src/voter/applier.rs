use std::{collections::VecDeque, sync::Arc};

use super::{pending::PendingTable, shared::SharedVoter};
use crate::{
    error::{Error, Result},
    ids::{LogIndex, Term},
    raft::{EntryPayload, LogEntry},
    state::{Command, ControlState, Outcome, StampedCommand},
    sync,
};

/// Applies committed entries to the state of the control daemon.
pub struct StateApplier {
    shared: Arc<SharedVoter>,
    unapplied: VecDeque<LogEntry>,
    commit: LogIndex,
    /// Term of the last entry that this process applied; 0 before the first one.
    last_term: Term,
    /// Whether applying is paused, because the state must not change while it is encoded.
    paused: bool,
}

impl StateApplier {
    /// Creates an applier with the entries that follow the restored state.
    pub fn new(shared: Arc<SharedVoter>, entries: Vec<LogEntry>) -> Self {
        Self {
            shared,
            unapplied: entries.into(),
            commit: 0,
            last_term: 0,
            paused: false,
        }
    }

    /// Adds entries at the end of the log.
    pub fn append(&mut self, entries: &[LogEntry]) {
        self.unapplied.extend(entries.iter().cloned());
    }

    /// Removes the uncommitted entries from an index on.
    pub fn truncate(&mut self, from: LogIndex) {
        while self
            .unapplied
            .back()
            .is_some_and(|entry| entry.index >= from)
        {
            self.unapplied.pop_back();
        }
    }

    /// Advances the commit index.
    pub fn commit(&mut self, commit: LogIndex) {
        self.commit = self.commit.max(commit);
    }

    /// Pauses or resumes applying.
    pub fn set_paused(&mut self, paused: bool) {
        self.paused = paused;
    }

    /// Replaces the state by the state of a received snapshot.
    pub fn replace(&mut self, index: LogIndex, state: ControlState) {
        self.unapplied.clear();
        self.commit = self.commit.max(index);
        *self.shared.state_mut() = state;
        self.shared.applied.send_replace(index);
    }

    /// Returns the term of the last entry that this process applied; 0 before the first one.
    pub fn last_term(&self) -> Term {
        self.last_term
    }

    /// Applies the committed entries and answers the requests that wait for them.
    ///
    /// # Errors
    /// [`Error::Decode`] when an entry cannot be decoded. Skipping it would make the state of this
    /// voter differ from that of the others.
    pub fn apply(&mut self, pending: &mut PendingTable) -> Result<()> {
        if self.paused
            || self
                .unapplied
                .front()
                .is_none_or(|entry| entry.index > self.commit)
        {
            return Ok(());
        }
        let mut outcomes = Vec::new();
        let mut state = self.shared.state_mut();
        while let Some(entry) = self
            .unapplied
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
        // The state applies every entry, so that its applied index equals the log index.
        EntryPayload::Noop | EntryPayload::Membership(_) => StampedCommand {
            at_ms: 0,
            command: Command::Noop,
        },
    };
    Ok(state.apply(entry.index, &stamped))
}
