//! Follower: handling of append and snapshot requests.

use std::time::Duration;

use bytes::Bytes;

use super::{
    AppendOutcome, LogEntry, MessageBody, RaftCore, RaftEffect, SnapshotMeta, VoterId,
    log::LogTail, role::RoleState,
};
use crate::ids::{LogIndex, Term};

/// A partly received snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct IncomingSnapshot {
    // Two leaders may encode the same state differently, so their chunks must not be combined.
    from: VoterId,
    term: Term,
    index: LogIndex,
    next_offset: u64,
}

impl RaftCore {
    /// Records a request from the leader of the current term. Returns whether to handle it.
    pub(super) fn follow_leader(
        &mut self,
        now: Duration,
        from: &VoterId,
        out: &mut Vec<RaftEffect>,
    ) -> bool {
        match self.role {
            RoleState::Leader(_) => return false,
            RoleState::Follower => {}
            _ => self.become_follower(now, self.term, out),
        }
        self.leader = Some(from.clone());
        self.refuse_votes_until = now + self.timing.election_timeout_min;
        self.timer.restart(now);
        true
    }

    /// Appends entries if the log contains the entry before them.
    pub(super) fn accept_entries(
        &mut self,
        prev_index: LogIndex,
        prev_term: Term,
        entries: &[LogEntry],
        leader_commit: LogIndex,
        out: &mut Vec<RaftEffect>,
    ) -> AppendOutcome {
        // Committed entries match those of every later leader, and may be compacted already.
        if prev_index > self.commit && self.log.term_at(prev_index) != Some(prev_term) {
            let (hint_index, hint_term) = self.log.last_with_term_up_to(prev_index, prev_term);
            return AppendOutcome::Rejected {
                prev_index,
                hint_index,
                hint_term,
            };
        }
        let verified_index = prev_index + entries.len() as LogIndex;
        let first_new = entries.iter().position(|entry| {
            entry.index > self.commit && self.log.term_at(entry.index) != Some(entry.term)
        });
        if let Some(position) = first_new {
            self.replace_tail(&entries[position..], out);
        }
        self.set_commit(leader_commit.min(verified_index), out);
        AppendOutcome::Accepted {
            match_index: verified_index.max(self.commit),
        }
    }

    fn replace_tail(&mut self, entries: &[LogEntry], out: &mut Vec<RaftEffect>) {
        let from = entries[0].index;
        assert!(from > self.commit, "a committed entry is never replaced");
        if from <= self.log.last_index() {
            self.log.truncate(from);
            self.persisted = self.persisted.min(from - 1);
            out.push(RaftEffect::Truncate { from });
        }
        self.log.append(entries);
        out.push(RaftEffect::Append {
            entries: entries.to_vec(),
        });
    }

    /// Handles a chunk of the leader's snapshot.
    #[allow(clippy::too_many_arguments)] // The arguments are the fields of the request.
    pub(super) fn receive_snapshot(
        &mut self,
        from: &VoterId,
        round: u64,
        meta: SnapshotMeta,
        offset: u64,
        bytes: Bytes,
        last: bool,
        out: &mut Vec<RaftEffect>,
    ) -> MessageBody {
        let index = meta.index;
        let reply = |next_offset, installed| MessageBody::SnapshotReply {
            round,
            index,
            next_offset,
            installed,
        };
        if index <= self.commit || self.log.term_at(index) == Some(meta.term) {
            self.set_commit(index, out);
            self.incoming = None;
            return reply(0, true);
        }
        let expected = self
            .incoming
            .as_ref()
            .filter(|incoming| {
                incoming.from == *from && incoming.term == self.term && incoming.index == index
            })
            .map_or(0, |incoming| incoming.next_offset);
        if offset != expected {
            return reply(expected, false);
        }
        let next_offset = offset + bytes.len() as u64;
        out.push(RaftEffect::InstallSnapshot {
            meta: meta.clone(),
            offset,
            bytes,
            last,
        });
        if !last {
            self.incoming = Some(IncomingSnapshot {
                from: from.clone(),
                term: self.term,
                index,
                next_offset,
            });
            return reply(next_offset, false);
        }
        self.incoming = None;
        self.log = LogTail::new(meta, Vec::new());
        self.commit = index;
        self.persisted = index;
        reply(next_offset, true)
    }
}
