use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use super::{
    MessageBody, RaftEffect, RaftLimits, RaftMessage, VoterId,
    log::LogTail,
    progress::{MemberProgress, SendState},
    rounds::HeartbeatRounds,
};
use crate::ids::{LogIndex, Term};

/// A read that waits until leadership is confirmed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct PendingRead {
    pub(super) token: u64,
    /// Commit index at the time of the read; `None` until an entry of the term is committed.
    pub(super) index: Option<LogIndex>,
    /// Heartbeat round that a quorum must answer.
    pub(super) round: u64,
}

/// A leadership transfer in progress.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct TransferState {
    /// Time until which a copy of the lease may still be in use in this process.
    pub(super) not_before: Duration,
    /// The voter that was asked to campaign.
    pub(super) target: Option<VoterId>,
}

/// The parts of the core that are needed for sending entries.
pub(super) struct SendContext<'a> {
    pub(super) id: &'a VoterId,
    pub(super) term: Term,
    pub(super) log: &'a LogTail,
    pub(super) commit: LogIndex,
    pub(super) limits: &'a RaftLimits,
    pub(super) now: Duration,
}

impl SendContext<'_> {
    fn message(&self, to: &VoterId, body: MessageBody) -> RaftEffect {
        RaftEffect::Send {
            message: RaftMessage {
                from: self.id.clone(),
                to: to.clone(),
                term: self.term,
                body,
            },
        }
    }
}

/// State that exists only on the leader.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct LeaderState {
    /// Replication progress of the other members.
    pub(super) progress: BTreeMap<VoterId, MemberProgress>,
    pub(super) rounds: HeartbeatRounds,
    pub(super) reads: VecDeque<PendingRead>,
    pub(super) transfer: Option<TransferState>,
    /// Time at which leadership began.
    pub(super) elected_at: Duration,
    pub(super) next_heartbeat: Duration,
    /// Index of the first entry of the term.
    pub(super) first_index: LogIndex,
    /// Voters whose loss was known before the election, so that each vote and each acknowledgement is later.
    pub(super) lost: BTreeSet<VoterId>,
    /// Round that has told the members of the last committed change of the membership.
    pub(super) membership_round: u64,
}

impl LeaderState {
    pub(super) fn new(first_index: LogIndex, now: Duration) -> Self {
        Self {
            progress: BTreeMap::new(),
            rounds: HeartbeatRounds::default(),
            reads: VecDeque::new(),
            transfer: None,
            elected_at: now,
            next_heartbeat: now,
            first_index,
            lost: BTreeSet::new(),
            membership_round: 0,
        }
    }

    /// Sets the voters whose loss was known before the election.
    pub(super) fn with_lost(self, lost: BTreeSet<VoterId>) -> Self {
        Self { lost, ..self }
    }

    /// Adopts the open memberships after an entry was appended, which is the first entry to send to new members, or
    /// after one was committed. A removed voter counts until its removal is committed, so it gets entries until then.
    pub(super) fn update_members(&mut self, id: &VoterId, log: &LogTail, commit: LogIndex) {
        let memberships = log.open_memberships(commit);
        self.progress
            .retain(|member, _| memberships.iter().any(|open| open.contains(member)));
        let members = memberships.iter().flat_map(|open| open.members());
        for member in members.filter(|member| *member != id) {
            self.progress
                .entry(member.clone())
                .or_insert_with(|| MemberProgress::new(log.last_index()));
        }
    }

    /// Sends every member its missing entries, or an empty request.
    pub(super) fn heartbeat(&mut self, context: &SendContext<'_>, out: &mut Vec<RaftEffect>) {
        let members: Vec<VoterId> = self.progress.keys().cloned().collect();
        for member in members {
            let sent = self.replicate(context, &member, out);
            if !sent {
                self.send_empty(context, &member, out);
            }
        }
    }

    /// Sends every member its missing entries.
    pub(super) fn replicate_all(&mut self, context: &SendContext<'_>, out: &mut Vec<RaftEffect>) {
        let members: Vec<VoterId> = self.progress.keys().cloned().collect();
        for member in members {
            self.replicate(context, &member, out);
        }
    }

    /// Sends a member its missing entries, within the in-flight limit. Returns whether it sent any.
    pub(super) fn replicate(
        &mut self,
        context: &SendContext<'_>,
        to: &VoterId,
        out: &mut Vec<RaftEffect>,
    ) -> bool {
        let round = self.rounds.current();
        let mut sent = false;
        while let Some(progress) = self.progress.get_mut(to) {
            if progress.state != SendState::Replicate
                || progress.next_index > context.log.last_index()
            {
                break;
            }
            let prev_index = progress.next_index - 1;
            let Some(prev_term) = context.log.term_at(prev_index) else {
                start_snapshot(progress, context.now, to, context.limits, out);
                break;
            };
            let available = progress.available_bytes(context.limits.in_flight_bytes);
            if available == 0 {
                break;
            }
            let entries = context.log.entries_from(
                progress.next_index,
                available.min(context.limits.batch_bytes),
            );
            let Some(last) = entries.last() else { break };
            let bytes = entries.iter().map(super::LogEntry::size).sum();
            progress.record_sent(last.index, bytes);
            out.push(context.message(
                to,
                MessageBody::AppendRequest {
                    round,
                    prev_index,
                    prev_term,
                    entries,
                    commit: context.commit,
                },
            ));
            sent = true;
        }
        sent
    }

    /// Sends a request without entries, as a heartbeat and to probe for the common log prefix.
    pub(super) fn send_empty(
        &mut self,
        context: &SendContext<'_>,
        to: &VoterId,
        out: &mut Vec<RaftEffect>,
    ) {
        let round = self.rounds.current();
        let Some(progress) = self.progress.get_mut(to) else {
            return;
        };
        // Index 0 matches every log; the reply then carries the commit index of the member.
        let prev_index = match progress.state {
            SendState::Snapshot { .. } => 0,
            SendState::Probe | SendState::Replicate => progress.next_index - 1,
        };
        let prev = match prev_index {
            0 => Some((0, 0)),
            index => context.log.term_at(index).map(|term| (index, term)),
        };
        if prev.is_none() {
            start_snapshot(progress, context.now, to, context.limits, out);
        }
        let (prev_index, prev_term) = prev.unwrap_or((0, 0));
        out.push(context.message(
            to,
            MessageBody::AppendRequest {
                round,
                prev_index,
                prev_term,
                entries: Vec::new(),
                commit: context.commit,
            },
        ));
    }

    /// Requests snapshot chunks from the driver again when no reply arrived within `after`, because
    /// the messages may be lost.
    pub(super) fn retry_snapshots(
        &mut self,
        context: &SendContext<'_>,
        after: Duration,
        out: &mut Vec<RaftEffect>,
    ) {
        for (member, progress) in &mut self.progress {
            if let SendState::Snapshot {
                index,
                offset,
                requested_at,
            } = &mut progress.state
                && context.now >= *requested_at + after
            {
                *requested_at = context.now;
                out.push(RaftEffect::ReadSnapshot {
                    to: member.clone(),
                    index: *index,
                    offset: *offset,
                    limit: context.limits.chunk_bytes,
                });
            }
        }
    }
}

fn start_snapshot(
    progress: &mut MemberProgress,
    now: Duration,
    to: &VoterId,
    limits: &RaftLimits,
    out: &mut Vec<RaftEffect>,
) {
    let next_index = progress.next_index;
    progress.change_state(
        SendState::Snapshot {
            index: None,
            offset: 0,
            requested_at: now,
        },
        next_index,
    );
    out.push(RaftEffect::ReadSnapshot {
        to: to.clone(),
        index: None,
        offset: 0,
        limit: limits.chunk_bytes,
    });
}
