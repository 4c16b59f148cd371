use std::{collections::BTreeSet, time::Duration};

use super::{
    Membership, MessageBody, RaftEffect, RaftInput, RaftLimits, RaftMessage, RaftRole, RaftTiming,
    RefusalReason, RestoredState, SnapshotMeta, VoteKind, VoterId, follower::IncomingSnapshot,
    log::LogTail, quorum::QuorumRule, role::RoleState, timer::ElectionTimer,
};
use crate::ids::{LogIndex, Term};

/// Consensus state of one member of the replicated log.
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
    /// Index of the last entry that is durable on this member.
    pub(super) persisted: LogIndex,
    pub(super) timer: ElectionTimer,
    /// Time until which this member refuses votes, because a lease that it confirmed may be valid.
    pub(super) refuse_votes_until: Duration,
    pub(super) incoming: Option<IncomingSnapshot>,
    /// Voters whose data folders are known to be gone.
    pub(super) lost: BTreeSet<VoterId>,
    /// Number of VMs that the fleet was set up with, as this member proposes it; 0 while it may not propose half
    /// quorums.
    pub(super) proposed_fleet_size: usize,
}

impl RaftCore {
    /// Creates a member from its durable state. `seed` determines the random election timeouts and
    /// differs between members. `now` is the time at which the member starts to participate.
    #[must_use]
    pub fn new(
        id: VoterId,
        restored: RestoredState,
        timing: RaftTiming,
        limits: RaftLimits,
        seed: u64,
        now: Duration,
    ) -> Self {
        // A restarted member may have confirmed a lease before the restart. In term 0 it has never
        // answered a leader.
        let refuse_votes_until = match restored.term {
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
            refuse_votes_until,
            incoming: None,
            lost: BTreeSet::new(),
            proposed_fleet_size: 0,
        }
    }

    /// Lets the memberships that this member proposes from now on allow half quorums, which every member must know.
    /// `fleet_size` is the number of VMs that the fleet was set up with.
    pub fn permit_half_quorums(&mut self, fleet_size: usize) {
        self.proposed_fleet_size = fleet_size;
    }

    /// Handles one input and returns the effects for the driver, in order.
    ///
    /// # Panics
    /// When a committed entry would be replaced. In this case the durable state of a quorum was
    /// damaged, and the states of the members would diverge if the member continued.
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
            RaftInput::Sighted { member } => self.record_sighting(&member),
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
            _ if !self.timer.is_expired(now) => {}
            _ if self.log.membership().voters.contains(&self.id) => self.start_pre_vote(now, out),
            // A member does not hear of its own removal.
            _ => self.leader = None,
        }
    }

    fn receive(&mut self, now: Duration, message: RaftMessage, out: &mut Vec<RaftEffect>) {
        if message.to != self.id || message.from == self.id {
            return;
        }
        let RaftMessage {
            from, term, body, ..
        } = message;
        self.lost.remove(&from);
        match body {
            MessageBody::VoteRequest {
                kind,
                last_index,
                last_term,
            } => self.on_vote_request(now, &from, term, kind, (last_term, last_index), out),
            MessageBody::VoteReply { kind, granted } => {
                self.on_vote_reply(now, &from, term, kind, granted, out);
            }
            body if term < self.term => self.reject_stale_leader(&from, &body, out),
            body => self.receive_current(now, &from, term, body, out),
        }
    }

    /// Handles a message between leader and follower whose term is at least the current term.
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
        if is_reply && !self.is_open_member(from) {
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
                if self.follow_leader(now, from, out) {
                    let outcome = self.accept_entries(prev_index, prev_term, &entries, commit, out);
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
                if self.follow_leader(now, from, out) {
                    let reply = self.receive_snapshot(from, round, meta, offset, bytes, last, out);
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
                let is_from_leader = self.leader.as_ref() == Some(from);
                if is_from_leader && self.log.membership().voters.contains(&self.id) {
                    self.campaign(now, VoteKind::Transfer, out);
                }
            }
            MessageBody::VoteRequest { .. } | MessageBody::VoteReply { .. } => {}
        }
    }

    /// Answers a request of an earlier term with the current term, so that its sender steps down.
    fn reject_stale_leader(
        &mut self,
        from: &VoterId,
        body: &MessageBody,
        out: &mut Vec<RaftEffect>,
    ) {
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

    /// Records the voters that another data folder on their VM replaces.
    fn record_sighting(&mut self, member: &VoterId) {
        let memberships = self.log.open_memberships(self.commit);
        let voters = memberships.iter().flat_map(|open| &open.voters);
        let lost = voters.filter(|id| id.vm == member.vm && *id != member && **id != self.id);
        self.lost.extend(lost.cloned());
    }

    /// Returns whether a member belongs to a membership of which a quorum may be needed.
    fn is_open_member(&self, member: &VoterId) -> bool {
        let memberships = self.log.open_memberships(self.commit);
        memberships.iter().any(|open| open.contains(member))
    }

    /// Returns whether a member votes in a membership of which a quorum may be needed.
    pub(super) fn is_open_voter(&self, member: &VoterId) -> bool {
        let memberships = self.log.open_memberships(self.commit);
        memberships.iter().any(|open| open.voters.contains(member))
    }

    /// Returns the rule of quorums for this member's log. `lost` are the voters whose loss was known before the votes
    /// or acknowledgements were requested.
    pub(super) fn quorum_rule<'a>(&'a self, lost: &'a BTreeSet<VoterId>) -> QuorumRule<'a> {
        QuorumRule::new(self.log.open_memberships(self.commit), lost)
    }

    pub(super) fn send(&self, to: &VoterId, body: MessageBody, out: &mut Vec<RaftEffect>) {
        self.send_with_term(self.term, to, body, out);
    }

    pub(super) fn send_with_term(
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

    /// Returns the identity of this member.
    #[must_use]
    pub fn id(&self) -> &VoterId {
        &self.id
    }

    /// Returns the current term.
    #[must_use]
    pub fn term(&self) -> Term {
        self.term
    }

    /// Returns the role of this member in the current term.
    #[must_use]
    pub fn role(&self) -> RaftRole {
        self.role.role()
    }

    /// Returns the leader of the current term, if it is known.
    #[must_use]
    pub fn leader(&self) -> Option<&VoterId> {
        self.leader.as_ref()
    }

    /// Returns the time from which no leader counts on this member, unless it follows one again; `None` while
    /// it leads.
    #[must_use]
    pub fn support_end(&self) -> Option<Duration> {
        match self.role {
            RoleState::Leader(_) => None,
            _ => Some(self.refuse_votes_until),
        }
    }

    /// Returns the membership in force, which may be uncommitted.
    #[must_use]
    pub fn membership(&self) -> &Membership {
        self.log.membership()
    }

    /// Returns the voters whose data folders are known to be gone.
    #[must_use]
    pub fn lost_voters(&self) -> &BTreeSet<VoterId> {
        &self.lost
    }

    /// Returns whether the membership in force is committed.
    #[must_use]
    pub fn is_membership_committed(&self) -> bool {
        self.log.membership_index() <= self.commit
    }

    /// Returns the index of the last committed change of the voters, unless a snapshot has replaced the log up to it.
    /// That it is committed is not stored otherwise; see docs/design.md, section 5.
    #[must_use]
    pub fn last_voter_change(&self) -> Option<LogIndex> {
        self.log.last_voter_change(self.commit)
    }

    /// Returns the index of the last entry that this member knows to be committed.
    #[must_use]
    pub fn commit_index(&self) -> LogIndex {
        self.commit
    }

    /// Returns the index of the last entry of the log.
    #[must_use]
    pub fn last_index(&self) -> LogIndex {
        self.log.last_index()
    }

    /// Returns the metadata of a snapshot up to a committed entry; `None` when the entry is not
    /// committed or was compacted before.
    #[must_use]
    pub fn snapshot_meta(&self, index: LogIndex) -> Option<SnapshotMeta> {
        Some(index)
            .filter(|index| *index <= self.commit)
            .and_then(|index| self.log.meta_at(index))
    }
}
