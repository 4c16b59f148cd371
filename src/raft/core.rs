use std::time::Duration;

use super::{
    Membership, MessageBody, RaftEffect, RaftInput, RaftLimits, RaftMessage, RaftRole, RaftTiming,
    RefusalReason, RestoredState, SnapshotMeta, VoteKind, VoterId, follower::IncomingSnapshot,
    log::LogTail, role::RoleState, timer::ElectionTimer,
};
use crate::ids::{LogIndex, Term};

/// One member of the replicated log, without I/O.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RaftCore {
    pub(super) id: VoterId,
    pub(super) timing: RaftTiming,
    pub(super) limits: RaftLimits,
    pub(super) term: Term,
    pub(super) voted_for: Option<VoterId>,
    pub(super) role: RoleState,
    pub(super) leader: Option<VoterId>,
    pub(super) log: LogTail,
    pub(super) commit: LogIndex,
    /// Last entry that is durable here.
    pub(super) persisted: LogIndex,
    pub(super) timer: ElectionTimer,
    /// Until then this member may have helped to grant a lease and refuses votes.
    pub(super) refuse_until: Duration,
    pub(super) incoming: Option<IncomingSnapshot>,
}

impl RaftCore {
    /// Creates a member from its durable state. `seed` drives the election timeouts and differs
    /// between members. `now` is the time at which the process starts to take part.
    #[must_use]
    pub fn new(
        id: VoterId,
        restored: RestoredState,
        timing: RaftTiming,
        limits: RaftLimits,
        seed: u64,
        now: Duration,
    ) -> Self {
        // A restarted member does not know which lease it helped to grant before. Without a term it
        // has never answered a leader.
        let refuse_until = match restored.term {
            0 => now,
            _ => now + timing.election_timeout_min,
        };
        let commit = restored.snapshot.index;
        let log = LogTail::new(restored.snapshot, restored.entries);
        Self {
            id,
            timing,
            limits,
            term: restored.term,
            voted_for: restored.voted_for,
            role: RoleState::Follower,
            leader: None,
            commit,
            persisted: log.last_index(),
            log,
            timer: ElectionTimer::new(&timing, seed, now),
            refuse_until,
            incoming: None,
        }
    }

    /// Handles one input and returns what the driver has to do, in order.
    ///
    /// # Panics
    /// When a committed entry would be replaced. This means that the durable state of a quorum was
    /// damaged; going on would let the members' states diverge.
    pub fn step(&mut self, now: Duration, input: RaftInput) -> Vec<RaftEffect> {
        let mut out = Vec::new();
        let before = (self.role(), self.term, self.leader.clone());
        match input {
            RaftInput::Tick => self.tick(now, &mut out),
            RaftInput::Message(message) => self.receive(now, message, &mut out),
            RaftInput::Propose { token, payload } => self.propose(now, token, payload, &mut out),
            RaftInput::Read { token } => self.read(now, token, &mut out),
            RaftInput::Change { token, change } => self.change(now, token, &change, &mut out),
            RaftInput::Persisted { index, term } => self.persisted(now, index, term, &mut out),
            RaftInput::Compacted { index } => self.log.compact(index.min(self.commit)),
            RaftInput::SnapshotChunk {
                to,
                meta,
                offset,
                bytes,
                last,
            } => self.send_chunk(&to, meta, offset, bytes, last, &mut out),
            RaftInput::Transfer => self.start_transfer(now),
        }
        let after = (self.role(), self.term, self.leader.clone());
        if before != after {
            let (role, term, leader) = after;
            out.push(RaftEffect::RoleChanged { role, term, leader });
        }
        out
    }

    fn tick(&mut self, now: Duration, out: &mut Vec<RaftEffect>) {
        match self.role {
            RoleState::Leader(_) => self.tick_leader(now, out),
            _ if self.timer.expired(now) && self.log.membership().voters.contains(&self.id) => {
                self.start_pre_vote(now, out);
            }
            _ => {}
        }
    }

    fn receive(&mut self, now: Duration, message: RaftMessage, out: &mut Vec<RaftEffect>) {
        if message.to != self.id || message.from == self.id {
            return;
        }
        let RaftMessage {
            from, term, body, ..
        } = message;
        match body {
            MessageBody::VoteRequest {
                kind,
                last_index,
                last_term,
            } => self.on_vote_request(now, &from, term, kind, (last_term, last_index), out),
            MessageBody::VoteReply { kind, granted } => {
                self.on_vote_reply(now, &from, term, kind, granted, out);
            }
            body if term < self.term => self.refuse_old_leader(&from, &body, out),
            body => self.receive_current(now, &from, term, body, out),
        }
    }

    /// Handles a message between leader and follower whose term is not old.
    fn receive_current(
        &mut self,
        now: Duration,
        from: &VoterId,
        term: Term,
        body: MessageBody,
        out: &mut Vec<RaftEffect>,
    ) {
        let is_reply = matches!(
            body,
            MessageBody::AppendReply { .. } | MessageBody::SnapshotReply { .. }
        );
        if is_reply && !self.log.membership().contains(from) {
            return;
        }
        if term > self.term {
            self.become_follower(now, term, out);
        }
        match body {
            MessageBody::AppendRequest {
                round,
                prev_index,
                prev_term,
                entries,
                commit,
            } => {
                if self.hear_leader(now, from, out) {
                    let outcome = self.accept(prev_index, prev_term, &entries, commit, out);
                    self.send(from, MessageBody::AppendReply { round, outcome }, out);
                }
            }
            MessageBody::AppendReply { round, outcome } => {
                self.on_append_reply(now, from, round, outcome, out);
            }
            MessageBody::SnapshotRequest {
                round,
                meta,
                offset,
                bytes,
                last,
            } => {
                if self.hear_leader(now, from, out) {
                    let reply = self.install(from, round, meta, offset, bytes, last, out);
                    self.send(from, reply, out);
                }
            }
            MessageBody::SnapshotReply {
                round,
                index,
                next_offset,
                installed,
            } => self.on_snapshot_reply(now, from, round, index, next_offset, installed, out),
            MessageBody::TimeoutNow => {
                let asked_by_leader = self.leader.as_ref() == Some(from);
                if asked_by_leader && self.log.membership().voters.contains(&self.id) {
                    self.campaign(now, VoteKind::Transfer, out);
                }
            }
            MessageBody::VoteRequest { .. } | MessageBody::VoteReply { .. } => {}
        }
    }

    /// Tells a leader of an earlier term that its term is over.
    fn refuse_old_leader(&mut self, from: &VoterId, body: &MessageBody, out: &mut Vec<RaftEffect>) {
        let round = match body {
            MessageBody::AppendRequest { round, .. }
            | MessageBody::SnapshotRequest { round, .. } => *round,
            _ => return,
        };
        let outcome = super::AppendOutcome::Rejected {
            prev_index: 0,
            hint_index: 0,
            hint_term: 0,
        };
        self.send(from, MessageBody::AppendReply { round, outcome }, out);
    }

    pub(super) fn send(&self, to: &VoterId, body: MessageBody, out: &mut Vec<RaftEffect>) {
        self.send_in(self.term, to, body, out);
    }

    pub(super) fn send_in(
        &self,
        term: Term,
        to: &VoterId,
        body: MessageBody,
        out: &mut Vec<RaftEffect>,
    ) {
        out.push(RaftEffect::Send {
            message: RaftMessage {
                from: self.id.clone(),
                to: to.clone(),
                term,
                body,
            },
        });
    }

    pub(super) fn refuse(&self, token: u64, reason: RefusalReason, out: &mut Vec<RaftEffect>) {
        let leader = self.leader.clone().filter(|leader| *leader != self.id);
        out.push(RaftEffect::Refuse {
            token,
            reason,
            leader,
        });
    }

    pub(super) fn set_commit(&mut self, up_to: LogIndex, out: &mut Vec<RaftEffect>) {
        if up_to > self.commit {
            self.commit = up_to;
            out.push(RaftEffect::Commit { up_to });
        }
    }

    /// Returns this member's identity.
    #[must_use]
    pub fn id(&self) -> &VoterId {
        &self.id
    }

    /// Returns the current term.
    #[must_use]
    pub fn term(&self) -> Term {
        self.term
    }

    /// Returns the role in the current term.
    #[must_use]
    pub fn role(&self) -> RaftRole {
        self.role.role()
    }

    /// Returns the leader of the current term, when known.
    #[must_use]
    pub fn leader(&self) -> Option<&VoterId> {
        self.leader.as_ref()
    }

    /// Returns the membership in force, which may not be committed yet.
    #[must_use]
    pub fn membership(&self) -> &Membership {
        self.log.membership()
    }

    /// Returns the last committed entry that this member knows of.
    #[must_use]
    pub fn commit_index(&self) -> LogIndex {
        self.commit
    }

    /// Returns the last entry of the log.
    #[must_use]
    pub fn last_index(&self) -> LogIndex {
        self.log.last_index()
    }

    /// Returns the description of a snapshot that ends at a committed entry; `None` when the entry
    /// is not committed or has left memory.
    #[must_use]
    pub fn snapshot_meta(&self, index: LogIndex) -> Option<SnapshotMeta> {
        Some(index)
            .filter(|index| *index <= self.commit)
            .and_then(|index| self.log.meta_at(index))
    }
}
