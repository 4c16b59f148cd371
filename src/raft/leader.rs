//! Leader: replication, commit, lease, reads, membership changes and leadership transfer.

mod lease;
mod replacement;
mod replicate;
mod transfer;

use std::time::Duration;

use bytes::Bytes;

use super::{
    EntryPayload, MemberChange, Membership, RaftCore, RaftEffect, RefusalReason, VoterId,
    leader_state::{LeaderState, SendContext},
    role::RoleState,
};
use crate::ids::LogIndex;

impl RaftCore {
    pub(super) fn tick_leader(&mut self, now: Duration, out: &mut Vec<RaftEffect>) {
        if !self.has_quorum_contact(now) || self.is_transfer_expired(now) {
            return self.become_follower(now, self.term, out);
        }
        if self
            .leader_and_context(now)
            .is_some_and(|(leader, _)| now >= leader.next_heartbeat)
        {
            self.start_round(now, out);
            self.advance_transfer(now, out);
        }
    }

    /// Starts a heartbeat round and requests stalled snapshot chunks again.
    pub(super) fn start_round(&mut self, now: Duration, out: &mut Vec<RaftEffect>) {
        let timing = self.timing;
        let Some((leader, context)) = self.leader_and_context(now) else {
            return;
        };
        leader.rounds.start(now, timing.election_timeout_min);
        leader.next_heartbeat = now + timing.heartbeat_interval;
        leader.heartbeat(&context, out);
        leader.retry_snapshots(&context, timing.election_timeout_min, out);
    }

    pub(super) fn propose(
        &mut self,
        now: Duration,
        token: u64,
        payload: Bytes,
        out: &mut Vec<RaftEffect>,
    ) {
        let reason = match &self.role {
            RoleState::Leader(leader) if leader.is_transferring(now) => RefusalReason::Transferring,
            RoleState::Leader(_) if self.log.bytes() >= self.limits.log_bytes => {
                RefusalReason::LogFull
            }
            RoleState::Leader(_) => {
                return self.append_proposal(token, EntryPayload::Command(payload), out);
            }
            _ => RefusalReason::NotLeader,
        };
        self.refuse(token, reason, out);
    }

    fn append_proposal(&mut self, token: u64, payload: EntryPayload, out: &mut Vec<RaftEffect>) {
        self.append_entry(payload, out);
        out.push(RaftEffect::Proposed {
            token,
            term: self.term,
            index: self.log.last_index(),
        });
    }

    pub(super) fn change(
        &mut self,
        now: Duration,
        token: u64,
        change: &MemberChange,
        out: &mut Vec<RaftEffect>,
    ) {
        match self.check_change(now, change) {
            Ok(next) => self.append_proposal(token, EntryPayload::Membership(next), out),
            Err(reason) => self.refuse(token, reason, out),
        }
    }

    /// Returns the membership after a change, or the reason why the change is not allowed now.
    fn check_change(
        &self,
        now: Duration,
        change: &MemberChange,
    ) -> Result<Membership, RefusalReason> {
        let RoleState::Leader(leader) = &self.role else {
            return Err(RefusalReason::NotLeader);
        };
        if leader.is_transferring(now) {
            return Err(RefusalReason::Transferring);
        }
        // Two leaders that each append a change to the same membership could commit with disjoint
        // quorums. The second must therefore first commit an entry of its own term.
        if self.log.membership_index() > self.commit || self.commit < leader.first_index {
            return Err(RefusalReason::ChangePending);
        }
        let next = self
            .log
            .membership()
            .with_change(change)
            .ok_or(RefusalReason::ChangeInvalid)?
            .with_fleet_size(self.proposed_fleet_size);
        match change {
            MemberChange::AddLearner(_) => Ok(next),
            MemberChange::Promote(learner) => Some(next)
                .filter(|_| self.has_caught_up(learner) && self.is_active(leader, learner, now))
                .ok_or(RefusalReason::NotCaughtUp),
            MemberChange::Remove(_) => Some(next)
                .filter(|next| self.count_active(leader, next, now) >= next.quorum())
                .ok_or(RefusalReason::QuorumAtRisk),
        }
    }

    /// Returns whether a learner has every committed entry, up to the permitted lag.
    fn has_caught_up(&self, learner: &VoterId) -> bool {
        self.match_index(learner)
            .is_some_and(|match_index| match_index + self.limits.promote_lag >= self.commit)
    }

    /// Returns whether a member has answered a round that started within the minimum election
    /// timeout.
    fn is_active(&self, leader: &LeaderState, member: &VoterId, now: Duration) -> bool {
        *member == self.id
            || leader
                .progress
                .get(member)
                .and_then(|progress| progress.acked_at)
                .is_some_and(|at| now < at + self.timing.election_timeout_min)
    }

    /// Returns the index of the last entry that is known to be durable on a member and to match the
    /// leader's log; `None` when this member is not the leader or `member` is not a member.
    #[must_use]
    pub fn match_index(&self, member: &VoterId) -> Option<LogIndex> {
        let RoleState::Leader(leader) = &self.role else {
            return None;
        };
        if *member == self.id {
            return Some(self.persisted);
        }
        let progress = leader.progress.get(member)?;
        Some(progress.match_index)
    }

    /// Returns the largest value that a quorum of the voters has reached or exceeded; `None` when this member is not
    /// the leader.
    fn quorum_value<T: Ord>(&self, value: impl Fn(&VoterId) -> T) -> Option<T> {
        let RoleState::Leader(leader) = &self.role else {
            return None;
        };
        self.quorum_rule(&leader.lost).value(value)
    }

    /// Returns whether the latest membership is committed and all voters of it that answer know so. A voter that is
    /// removed may stop then: the others elect a leader without it.
    #[must_use]
    pub fn is_membership_settled(&self, now: Duration) -> bool {
        let RoleState::Leader(leader) = &self.role else {
            return false;
        };
        let index = self.log.membership_index();
        let mut voters = self.log.membership().voters.iter();
        index <= self.commit
            && voters.all(|voter| match leader.progress.get(voter) {
                Some(progress) if self.is_active(leader, voter, now) => {
                    progress.acked_round >= leader.membership_round && progress.match_index >= index
                }
                _ => true,
            })
    }

    /// Borrows the leader state and the context for sending; `None` when this member is not the
    /// leader.
    fn leader_and_context(&mut self, now: Duration) -> Option<(&mut LeaderState, SendContext<'_>)> {
        let RoleState::Leader(leader) = &mut self.role else {
            return None;
        };
        let context = SendContext {
            id: &self.id,
            term: self.term,
            log: &self.log,
            commit: self.commit,
            limits: &self.limits,
            now,
        };
        Some((leader, context))
    }
}
