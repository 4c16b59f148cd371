//! Replication: answers of members, commit and snapshots.

use std::time::Duration;

use bytes::Bytes;

use super::super::{
    AppendOutcome, MessageBody, RaftCore, RaftEffect, SnapshotMeta, VoterId,
    leader_state::SendView,
    progress::{MemberProgress, SendState},
    role::RoleState,
};
use crate::ids::{LogIndex, Term};

impl RaftCore {
    pub(in super::super) fn persisted(
        &mut self,
        now: Duration,
        index: LogIndex,
        term: Term,
        out: &mut Vec<RaftEffect>,
    ) {
        if self.log.term_at(index) == Some(term) {
            self.persisted = self.persisted.max(index);
        }
        if let Some((leader, view)) = self.parts(now) {
            leader.replicate_all(&view, out);
            self.advance_commit(now, out);
        }
    }

    pub(in super::super) fn on_append_reply(
        &mut self,
        now: Duration,
        from: &VoterId,
        round: u64,
        outcome: AppendOutcome,
        out: &mut Vec<RaftEffect>,
    ) {
        self.record_answer(from, round);
        let Some((leader, view)) = self.parts(now) else {
            return;
        };
        let Some(progress) = leader.progress.get_mut(from) else {
            return;
        };
        let sends = match outcome {
            AppendOutcome::Accepted { match_index } => accepted(progress, match_index, &view),
            AppendOutcome::Rejected {
                prev_index,
                hint_index,
                hint_term,
            } => rejected(progress, prev_index, (hint_index, hint_term), &view),
        };
        match sends {
            NextSend::Entries => {
                leader.replicate(&view, from, out);
            }
            NextSend::Probe => leader.send_empty(&view, from, out),
            NextSend::Nothing => {}
        }
        self.advance_commit(now, out);
        self.answer_reads(now, out);
    }

    /// Commits what a quorum holds. Only an entry of the own term is committed by counting: an
    /// earlier one on a quorum can still be replaced by a later leader.
    fn advance_commit(&mut self, now: Duration, out: &mut Vec<RaftEffect>) {
        let held = self.quorum_value(|voter| self.match_index(voter).unwrap_or(0));
        let Some(up_to) = held else { return };
        if up_to <= self.commit || self.log.term_at(up_to) != Some(self.term) {
            return;
        }
        self.set_commit(up_to, out);
        self.release_early_reads(now, out);
        let is_removed = !self.log.membership().contains(&self.id);
        if is_removed && self.log.membership_index() <= self.commit {
            // The others learn of the commit before they elect another leader.
            self.start_round(now, out);
            self.become_follower(now, self.term, out);
        }
    }

    /// Sends a part of the snapshot that the driver has read.
    pub(in super::super) fn send_chunk(
        &mut self,
        to: &VoterId,
        meta: SnapshotMeta,
        offset: u64,
        bytes: Bytes,
        last: bool,
        out: &mut Vec<RaftEffect>,
    ) {
        let RoleState::Leader(leader) = &mut self.role else {
            return;
        };
        let round = leader.rounds.current();
        let Some(progress) = leader.progress.get_mut(to) else {
            return;
        };
        let SendState::Snapshot {
            index,
            offset: needed,
            ..
        } = &mut progress.state
        else {
            return;
        };
        if *index != Some(meta.index) {
            // The driver has a newer snapshot; its transfer starts at the first byte.
            *index = Some(meta.index);
            *needed = 0;
        }
        if offset != *needed {
            return;
        }
        let body = MessageBody::SnapshotRequest {
            round,
            meta,
            offset,
            bytes,
            last,
        };
        self.send(to, body, out);
    }

    #[allow(clippy::too_many_arguments)] // They are the fields of the reply.
    pub(in super::super) fn on_snapshot_reply(
        &mut self,
        now: Duration,
        from: &VoterId,
        round: u64,
        index: LogIndex,
        next_offset: u64,
        installed: bool,
        out: &mut Vec<RaftEffect>,
    ) {
        if installed {
            let outcome = AppendOutcome::Accepted { match_index: index };
            return self.on_append_reply(now, from, round, outcome, out);
        }
        self.record_answer(from, round);
        let Some((leader, view)) = self.parts(now) else {
            return;
        };
        let Some(progress) = leader.progress.get_mut(from) else {
            return;
        };
        if let SendState::Snapshot {
            index: sent,
            offset,
            asked_at,
        } = &mut progress.state
            && *sent == Some(index)
            && *offset != next_offset
        {
            *offset = next_offset;
            *asked_at = now;
            out.push(RaftEffect::ReadSnapshot {
                to: from.clone(),
                index: *sent,
                offset: next_offset,
                limit: view.limits.chunk_bytes,
            });
        }
        self.answer_reads(now, out);
    }
}

/// What an answer lets the leader send.
enum NextSend {
    Entries,
    Probe,
    Nothing,
}

fn accepted(progress: &mut MemberProgress, match_index: LogIndex, view: &SendView<'_>) -> NextSend {
    if match_index > view.log.last_index() {
        // The member knows of committed entries that this leader lacks; only a damaged quorum
        // leads here, and counting them would commit entries that do not exist.
        return NextSend::Nothing;
    }
    progress.accepted(match_index);
    let resumes = match progress.state {
        SendState::Replicate => false,
        SendState::Probe => true,
        SendState::Snapshot { .. } => progress.match_index >= view.log.base_index(),
    };
    if resumes {
        let next_index = progress.match_index + 1;
        progress.switch(SendState::Replicate, next_index);
    }
    NextSend::Entries
}

fn rejected(
    progress: &mut MemberProgress,
    prev_index: LogIndex,
    (hint_index, hint_term): (LogIndex, Term),
    view: &SendView<'_>,
) -> NextSend {
    let is_current = match progress.state {
        SendState::Probe => prev_index + 1 == progress.next_index,
        SendState::Replicate => prev_index > progress.match_index,
        SendState::Snapshot { .. } => false,
    };
    if !is_current {
        return NextSend::Nothing;
    }
    let common = if hint_index < view.log.base_index() {
        hint_index
    } else {
        view.log.last_with_term_up_to(hint_index, hint_term).0
    };
    let next_index = common.max(progress.match_index) + 1;
    progress.switch(SendState::Probe, next_index.min(prev_index.max(1)));
    NextSend::Probe
}
