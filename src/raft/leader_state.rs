use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use super::{
    MessageBody, RaftEffect, RaftLimits, RaftMessage, VoterId,
    log::LogTail,
    progress::{MemberProgress, SendState},
    rounds::RoundLog,
};
use crate::ids::{LogIndex, Term};

/// A read that waits for proof of leadership.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct PendingRead {
    pub(super) token: u64,
    /// Commit index at the time of the read; `None` until an entry of the term is committed.
    pub(super) index: Option<LogIndex>,
    /// Round that a quorum has to answer.
    pub(super) round: u64,
}

/// A hand-over of leadership on shutdown.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct TransferState {
    /// Until then a copy of the lease may still be in use in this process.
    pub(super) not_before: Duration,
    /// The voter that was asked to campaign.
    pub(super) target: Option<VoterId>,
}

/// The parts of the core that the sending of entries needs.
pub(super) struct SendView<'a> {
    pub(super) id: &'a VoterId,
    pub(super) term: Term,
    pub(super) log: &'a LogTail,
    pub(super) commit: LogIndex,
    pub(super) limits: &'a RaftLimits,
    pub(super) now: Duration,
}

impl SendView<'_> {
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

/// What only a leader keeps.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct LeaderState {
    /// The other members.
    pub(super) progress: BTreeMap<VoterId, MemberProgress>,
    pub(super) rounds: RoundLog,
    pub(super) reads: VecDeque<PendingRead>,
    pub(super) transfer: Option<TransferState>,
    /// When leadership began.
    pub(super) since: Duration,
    pub(super) next_heartbeat: Duration,
    /// First entry of the term.
    pub(super) first_index: LogIndex,
}

impl LeaderState {
    pub(super) fn new(first_index: LogIndex, now: Duration) -> Self {
        Self {
            progress: BTreeMap::new(),
            rounds: RoundLog::default(),
            reads: VecDeque::new(),
            transfer: None,
            since: now,
            next_heartbeat: now,
            first_index,
        }
    }

    /// Follows the latest membership after an entry was appended, which new members need first.
    pub(super) fn follow_membership(&mut self, id: &VoterId, log: &LogTail) {
        let membership = log.membership();
        self.progress
            .retain(|member, _| membership.contains(member));
        for member in membership.members().filter(|member| *member != id) {
            self.progress
                .entry(member.clone())
                .or_insert_with(|| MemberProgress::new(log.last_index()));
        }
    }

    /// Sends to every member what it lacks, or an empty request.
    pub(super) fn heartbeat(&mut self, view: &SendView<'_>, out: &mut Vec<RaftEffect>) {
        let members: Vec<VoterId> = self.progress.keys().cloned().collect();
        for member in members {
            let sent = self.replicate(view, &member, out);
            if !sent {
                self.send_empty(view, &member, out);
            }
        }
    }

    /// Sends to every member what it lacks.
    pub(super) fn replicate_all(&mut self, view: &SendView<'_>, out: &mut Vec<RaftEffect>) {
        let members: Vec<VoterId> = self.progress.keys().cloned().collect();
        for member in members {
            self.replicate(view, &member, out);
        }
    }

    /// Sends the entries that a member lacks, within its bound; tells whether it sent a request.
    pub(super) fn replicate(
        &mut self,
        view: &SendView<'_>,
        to: &VoterId,
        out: &mut Vec<RaftEffect>,
    ) -> bool {
        let round = self.rounds.current();
        let mut sent = false;
        while let Some(progress) = self.progress.get_mut(to) {
            if progress.state != SendState::Replicate || progress.next_index > view.log.last_index()
            {
                break;
            }
            let prev_index = progress.next_index - 1;
            let Some(prev_term) = view.log.term_at(prev_index) else {
                start_snapshot(progress, view.now, to, view.limits, out);
                break;
            };
            let room = progress.room(view.limits.in_flight_bytes);
            if room == 0 {
                break;
            }
            let entries = view
                .log
                .entries_from(progress.next_index, room.min(view.limits.batch_bytes));
            let Some(last) = entries.last() else { break };
            let bytes = entries.iter().map(super::LogEntry::size).sum();
            progress.sent(last.index, bytes);
            out.push(view.message(
                to,
                MessageBody::AppendRequest {
                    round,
                    prev_index,
                    prev_term,
                    entries,
                    commit: view.commit,
                },
            ));
            sent = true;
        }
        sent
    }

    /// Sends a request without entries: a heartbeat, and a probe for the common part of the logs.
    pub(super) fn send_empty(
        &mut self,
        view: &SendView<'_>,
        to: &VoterId,
        out: &mut Vec<RaftEffect>,
    ) {
        let round = self.rounds.current();
        let Some(progress) = self.progress.get_mut(to) else {
            return;
        };
        // Index 0 agrees with every log; the answer tells what the member has committed.
        let prev_index = match progress.state {
            SendState::Snapshot { .. } => 0,
            SendState::Probe | SendState::Replicate => progress.next_index - 1,
        };
        let prev = match prev_index {
            0 => Some((0, 0)),
            index => view.log.term_at(index).map(|term| (index, term)),
        };
        if prev.is_none() {
            start_snapshot(progress, view.now, to, view.limits, out);
        }
        let (prev_index, prev_term) = prev.unwrap_or((0, 0));
        out.push(view.message(
            to,
            MessageBody::AppendRequest {
                round,
                prev_index,
                prev_term,
                entries: Vec::new(),
                commit: view.commit,
            },
        ));
    }

    /// Asks the driver again for snapshot parts that were lost on the way.
    pub(super) fn retry_snapshots(
        &mut self,
        view: &SendView<'_>,
        after: Duration,
        out: &mut Vec<RaftEffect>,
    ) {
        for (member, progress) in &mut self.progress {
            if let SendState::Snapshot {
                index,
                offset,
                asked_at,
            } = &mut progress.state
                && view.now >= *asked_at + after
            {
                *asked_at = view.now;
                out.push(RaftEffect::ReadSnapshot {
                    to: member.clone(),
                    index: *index,
                    offset: *offset,
                    limit: view.limits.chunk_bytes,
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
    progress.switch(
        SendState::Snapshot {
            index: None,
            offset: 0,
            asked_at: now,
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
