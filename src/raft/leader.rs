//! What a leader does: replication, commit, lease, reads, membership changes and hand-over.

mod lease;
mod replicate;
mod transfer;

use std::time::Duration;

use bytes::Bytes;

use super::{
    EntryPayload, MemberChange, Membership, RaftCore, RaftEffect, RefusalReason, VoterId,
    leader_state::{LeaderState, SendView},
    role::RoleState,
};
use crate::ids::LogIndex;

impl RaftCore {
    pub(super) fn tick_leader(&mut self, now: Duration, out: &mut Vec<RaftEffect>) {
        if !self.hears_quorum(now) || self.transfer_is_over(now) {
            return self.become_follower(now, self.term, out);
        }
        if self
            .parts(now)
            .is_some_and(|(leader, _)| now >= leader.next_heartbeat)
        {
            self.start_round(now, out);
            self.advance_transfer(now, out);
        }
    }

    /// Starts a heartbeat round.
    pub(super) fn start_round(&mut self, now: Duration, out: &mut Vec<RaftEffect>) {
        let timing = self.timing;
        let Some((leader, view)) = self.parts(now) else {
            return;
        };
        leader.rounds.start(now, timing.election_timeout_min);
        leader.next_heartbeat = now + timing.heartbeat_interval;
        leader.heartbeat(&view, out);
        leader.retry_snapshots(&view, timing.election_timeout_min, out);
    }

    pub(super) fn propose(
        &mut self,
        now: Duration,
        token: u64,
        payload: Bytes,
        out: &mut Vec<RaftEffect>,
    ) {
        let refused = match &self.role {
            RoleState::Leader(leader) if leader.hands_over(now) => RefusalReason::Transferring,
            RoleState::Leader(_) if self.log.bytes() >= self.limits.log_bytes => {
                RefusalReason::LogFull
            }
            RoleState::Leader(_) => {
                return self.append_proposal(token, EntryPayload::Command(payload), out);
            }
            _ => RefusalReason::NotLeader,
        };
        self.refuse(token, refused, out);
    }

    fn append_proposal(&mut self, token: u64, payload: EntryPayload, out: &mut Vec<RaftEffect>) {
        self.append_own(payload, out);
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

    /// Returns the membership after a change, if it is allowed now.
    fn check_change(
        &self,
        now: Duration,
        change: &MemberChange,
    ) -> Result<Membership, RefusalReason> {
        let RoleState::Leader(leader) = &self.role else {
            return Err(RefusalReason::NotLeader);
        };
        if leader.hands_over(now) {
            return Err(RefusalReason::Transferring);
        }
        // Two leaders that each append a change to the same membership could commit with disjoint
        // quorums, unless the second first commits an entry of its own term.
        if self.log.membership_index() > self.commit || self.commit < leader.first_index {
            return Err(RefusalReason::ChangePending);
        }
        let next = self
            .log
            .membership()
            .with_change(change)
            .ok_or(RefusalReason::ChangeInvalid)?;
        match change {
            MemberChange::AddLearner(_) => Ok(next),
            MemberChange::Promote(learner) => {
                let caught_up = self.match_index(learner).is_some_and(|match_index| {
                    match_index + self.limits.promote_lag >= self.commit
                });
                Some(next)
                    .filter(|_| caught_up && self.is_active(leader, learner, now))
                    .ok_or(RefusalReason::NotCaughtUp)
            }
            MemberChange::Remove(_) => {
                let active = next
                    .voters
                    .iter()
                    .filter(|voter| self.is_active(leader, voter, now))
                    .count();
                Some(next)
                    .filter(|next| active >= next.quorum())
                    .ok_or(RefusalReason::QuorumAtRisk)
            }
        }
    }

    /// Tells whether a member has answered a round that was started lately.
    fn is_active(&self, leader: &LeaderState, member: &VoterId, now: Duration) -> bool {
        *member == self.id
            || leader
                .progress
                .get(member)
                .and_then(|progress| progress.acked_at)
                .is_some_and(|at| now < at + self.timing.election_timeout_min)
    }

    /// Returns the last entry that a member durably shares with this leader; `None` when this
    /// member does not lead or the other is not a member.
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

    /// Returns the largest value that a quorum of the voters reaches.
    fn quorum_value<T: Ord>(&self, value: impl Fn(&VoterId) -> T) -> Option<T> {
        let membership = self.log.membership();
        let mut values: Vec<T> = membership.voters.iter().map(value).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.into_iter().nth(membership.quorum() - 1)
    }

    /// Borrows the leader's state together with what sending needs; `None` when not leading.
    fn parts(&mut self, now: Duration) -> Option<(&mut LeaderState, SendView<'_>)> {
        let RoleState::Leader(leader) = &mut self.role else {
            return None;
        };
        let view = SendView {
            id: &self.id,
            term: self.term,
            log: &self.log,
            commit: self.commit,
            limits: &self.limits,
            now,
        };
        Some((leader, view))
    }
}
