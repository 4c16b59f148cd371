use std::collections::VecDeque;

use super::{EntryPayload, LogEntry, Membership, SnapshotMeta, quorum::OpenMemberships};
use crate::ids::{LogIndex, Term};

/// The log since the last compaction, in memory.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct LogTail {
    base: SnapshotMeta,
    entries: VecDeque<LogEntry>,
    /// Memberships after the base, each with the index of its entry, in order.
    memberships: Vec<(LogIndex, Membership)>,
    bytes: usize,
}

impl LogTail {
    pub(super) fn new(base: SnapshotMeta, entries: Vec<LogEntry>) -> Self {
        let mut log = Self {
            base,
            entries: VecDeque::new(),
            memberships: Vec::new(),
            bytes: 0,
        };
        log.append(&entries);
        log
    }

    pub(super) fn base_index(&self) -> LogIndex {
        self.base.index
    }

    pub(super) fn last_index(&self) -> LogIndex {
        self.base.index + self.entries.len() as LogIndex
    }

    pub(super) fn last_term(&self) -> Term {
        self.entries
            .back()
            .map_or(self.base.term, |entry| entry.term)
    }

    /// Returns the size of the entries in memory.
    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the term of an entry; `None` when it was compacted or does not exist.
    pub(super) fn term_at(&self, index: LogIndex) -> Option<Term> {
        match index {
            index if index == self.base.index => Some(self.base.term),
            index => self.entry(index).map(|entry| entry.term),
        }
    }

    fn entry(&self, index: LogIndex) -> Option<&LogEntry> {
        let position = index.checked_sub(self.base.index + 1)?;
        self.entries.get(usize::try_from(position).ok()?)
    }

    /// Returns entries from an index on, as many as fit in `limit` bytes but at least one.
    pub(super) fn entries_from(&self, from: LogIndex, limit: usize) -> Vec<LogEntry> {
        let mut remaining = limit;
        let mut batch = Vec::new();
        for index in from..=self.last_index() {
            let Some(entry) = self.entry(index) else {
                break;
            };
            let size = entry.size();
            if size > remaining && !batch.is_empty() {
                break;
            }
            remaining = remaining.saturating_sub(size);
            batch.push(entry.clone());
        }
        batch
    }

    /// Returns index and term of the last entry up to `index` whose term is at most `term`, or
    /// those of the base. Leader and follower both use it to skip whole terms, so a conflict takes
    /// one round trip per term.
    pub(super) fn last_with_term_up_to(&self, index: LogIndex, term: Term) -> (LogIndex, Term) {
        let count = self.entries.partition_point(|entry| entry.term <= term) as LogIndex;
        let common_index = (self.base.index + count).min(index.max(self.base.index));
        (
            common_index,
            self.term_at(common_index).unwrap_or(self.base.term),
        )
    }

    /// Appends entries that follow the last one.
    pub(super) fn append(&mut self, entries: &[LogEntry]) {
        for entry in entries {
            assert_eq!(entry.index, self.last_index() + 1, "the log has no gaps");
            if let EntryPayload::Membership(membership) = &entry.payload {
                self.memberships.push((entry.index, membership.clone()));
            }
            self.bytes += entry.size();
            self.entries.push_back(entry.clone());
        }
    }

    /// Removes the entries from an index on.
    pub(super) fn truncate(&mut self, from: LogIndex) {
        while self.last_index() >= from {
            let Some(entry) = self.entries.pop_back() else {
                break;
            };
            self.bytes -= entry.size();
        }
        self.memberships.retain(|(index, _)| *index < from);
    }

    /// Removes the entries up to a committed index from memory.
    pub(super) fn compact(&mut self, up_to: LogIndex) {
        let Some(meta) = self.meta_at(up_to) else {
            return;
        };
        while self.base.index < up_to {
            let Some(entry) = self.entries.pop_front() else {
                break;
            };
            self.bytes -= entry.size();
            self.base.index = entry.index;
        }
        self.base = meta;
        self.memberships.retain(|(index, _)| *index > up_to);
    }

    /// Returns the snapshot metadata for the log up to an index; `None` when the entry was
    /// compacted or does not exist.
    pub(super) fn meta_at(&self, index: LogIndex) -> Option<SnapshotMeta> {
        let membership = self
            .memberships
            .iter()
            .rev()
            .find(|(from, _)| *from <= index)
            .map_or(&self.base.membership, |(_, membership)| membership);
        Some(SnapshotMeta {
            index,
            term: self.term_at(index)?,
            membership: membership.clone(),
        })
    }

    /// Returns the latest membership, committed or not.
    pub(super) fn membership(&self) -> &Membership {
        self.memberships
            .last()
            .map_or(&self.base.membership, |(_, membership)| membership)
    }

    /// Returns the latest membership, and the one before it if the latest one is not committed and one of the two
    /// allows half quorums. Still earlier ones are committed: a leader changes a membership only once it is.
    pub(super) fn open_memberships(&self, commit: LogIndex) -> OpenMemberships<'_> {
        let latest = self.membership();
        let mut open = OpenMemberships::new();
        open.push(latest);
        if self.membership_index() > commit {
            let before = self.memberships.iter().rev().nth(1);
            let before = before.map_or(&self.base.membership, |(_, membership)| membership);
            if latest.allows_half_quorums() || before.allows_half_quorums() {
                open.push(before);
            }
        }
        open
    }

    /// Returns the index of the last committed change of the voters or of their quorums since the base.
    pub(super) fn last_voter_change(&self, commit: LogIndex) -> Option<LogIndex> {
        let mut before = &self.base.membership;
        let mut last = None;
        for (index, membership) in &self.memberships {
            let has_changed = membership.voters != before.voters
                || membership.allows_half_quorums() != before.allows_half_quorums();
            if has_changed && *index <= commit {
                last = Some(*index);
            }
            before = membership;
        }
        last
    }

    /// Returns the index from which the latest membership is in force.
    pub(super) fn membership_index(&self) -> LogIndex {
        self.memberships
            .last()
            .map_or(self.base.index, |(index, _)| *index)
    }
}
