//! Replication: replies of members, commit index and snapshots.

use std::time::Duration;

use bytes::Bytes;

use super::super::{
    AppendOutcome, MessageBody, RaftCore, RaftEffect, SnapshotMeta, VoterId,
    leader_state::SendContext,
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
        if let Some((leader, context)) = self.leader_and_context(now) {
            leader.replicate_all(&context, out);
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
        self.record_round_reply(from, round);
        let Some((leader, context)) = self.leader_and_context(now) else {
            return;
        };
        let Some(progress) = leader.progress.get_mut(from) else {
            return;
        };
        let next_send = match outcome {
            AppendOutcome::Accepted { match_index } => {
                handle_accepted(progress, match_index, &context)
            }
            AppendOutcome::Rejected {
                prev_index,
                hint_index,
                hint_term,
            } => handle_rejected(progress, prev_index, (hint_index, hint_term), &context),
        };
        match next_send {
            NextSend::Entries => {
                leader.replicate(&context, from, out);
            }
            NextSend::Probe => leader.send_empty(&context, from, out),
            NextSend::Nothing => {}
        }
        self.advance_commit(now, out);
        self.answer_reads(now, out);
    }

    /// Advances the commit index to the last entry that is durable on a quorum. Only entries of the
    /// current term are committed by counting copies: a later leader can still replace an entry of
    /// an earlier term, even if a quorum has it.
    fn advance_commit(&mut self, now: Duration, out: &mut Vec<RaftEffect>) {
        let quorum_index = self.quorum_value(|voter| self.match_index(voter).unwrap_or(0));
        let Some(up_to) = quorum_index else { return };
        if up_to <= self.commit || self.log.term_at(up_to) != Some(self.term) {
            return;
        }
        let had_open_change = self.log.membership_index() > self.commit;
        self.set_commit(up_to, out);
        self.start_early_reads(now, out);
        if had_open_change && self.log.membership_index() <= self.commit {
            self.finish_change(now, out);
        }
    }

    /// Tells the members at once that a change of the membership is committed: until they know, they need a quorum of
    /// the membership before it as well to elect a leader.
    fn finish_change(&mut self, now: Duration, out: &mut Vec<RaftEffect>) {
        self.start_round(now, out);
        if let RoleState::Leader(leader) = &mut self.role {
            leader.membership_round = leader.rounds.current();
            leader.update_members(&self.id, &self.log, self.commit);
        }
        if !self.log.membership().contains(&self.id) {
            self.become_follower(now, self.term, out);
        }
    }

    /// Sends a snapshot chunk that the driver has read.
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
            // The driver has a newer snapshot, whose transfer starts at offset 0.
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

    #[allow(clippy::too_many_arguments)] // The arguments are the fields of the reply.
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
        self.record_round_reply(from, round);
        let Some((leader, context)) = self.leader_and_context(now) else {
            return;
        };
        let Some(progress) = leader.progress.get_mut(from) else {
            return;
        };
        if let SendState::Snapshot {
            index: sent,
            offset,
            requested_at,
        } = &mut progress.state
            && *sent == Some(index)
            && *offset != next_offset
        {
            *offset = next_offset;
            *requested_at = now;
            out.push(RaftEffect::ReadSnapshot {
                to: from.clone(),
                index: *sent,
                offset: next_offset,
                limit: context.limits.chunk_bytes,
            });
        }
        self.answer_reads(now, out);
    }
}

/// Kind of message that the leader sends after a reply.
enum NextSend {
    Entries,
    Probe,
    Nothing,
}

fn handle_accepted(
    progress: &mut MemberProgress,
    match_index: LogIndex,
    context: &SendContext<'_>,
) -> NextSend {
    if match_index > context.log.last_index() {
        // The member has committed entries beyond the log of this leader, which only happens when
        // the durable state of a quorum was damaged. Counting them would commit entries that do not
        // exist in this log.
        return NextSend::Nothing;
    }
    progress.record_accepted(match_index);
    let can_resume = match progress.state {
        SendState::Replicate => false,
        SendState::Probe => true,
        SendState::Snapshot { .. } => progress.match_index >= context.log.base_index(),
    };
    if can_resume {
        let next_index = progress.match_index + 1;
        progress.change_state(SendState::Replicate, next_index);
    }
    NextSend::Entries
}

fn handle_rejected(
    progress: &mut MemberProgress,
    prev_index: LogIndex,
    (hint_index, hint_term): (LogIndex, Term),
    context: &SendContext<'_>,
) -> NextSend {
    let is_current = match progress.state {
        SendState::Probe => prev_index + 1 == progress.next_index,
        SendState::Replicate => prev_index > progress.match_index,
        SendState::Snapshot { .. } => false,
    };
    if !is_current {
        return NextSend::Nothing;
    }
    let common_index = if hint_index < context.log.base_index() {
        hint_index
    } else {
        context.log.last_with_term_up_to(hint_index, hint_term).0
    };
    let next_index = common_index.max(progress.match_index) + 1;
    progress.change_state(SendState::Probe, next_index.min(prev_index.max(1)));
    NextSend::Probe
}
