//! Proof of leadership: check-quorum, lease and linearizable reads.

use std::time::Duration;

use super::super::{
    RaftCore, RaftEffect, RefusalReason, VoterId, leader_state::PendingRead, role::RoleState,
};

impl RaftCore {
    /// Returns the time until which this member's leadership is proved; `None` when it does not
    /// lead, has not yet committed an entry of its term, hands over, or the lease has expired.
    #[must_use]
    pub fn lease_until(&self, now: Duration) -> Option<Duration> {
        let RoleState::Leader(leader) = &self.role else {
            return None;
        };
        if leader.transfer.is_some() || self.commit < leader.first_index {
            return None;
        }
        // The lease counts from the start of the round: when an answer arrives is not known to the
        // member that gave it, and it refuses votes from when it received the request.
        let proved_at = self.quorum_value(|voter| match leader.progress.get(voter) {
            Some(peer) => peer.acked_at,
            None => Some(now),
        })??;
        Some(proved_at + self.timing.lease_duration()).filter(|until| now < *until)
    }

    /// Tells whether a quorum has answered a round that was started within the minimal election
    /// timeout. A leader that no quorum hears steps down, so that clients look for another.
    pub(in super::super) fn hears_quorum(&self, now: Duration) -> bool {
        let RoleState::Leader(leader) = &self.role else {
            return false;
        };
        self.quorum_value(|voter| match leader.progress.get(voter) {
            Some(peer) => peer.acked_at.unwrap_or(leader.since),
            None => now,
        })
        .is_some_and(|heard_at| now < heard_at + self.timing.election_timeout_min)
    }

    pub(in super::super) fn read(&mut self, now: Duration, token: u64, out: &mut Vec<RaftEffect>) {
        let lease = self.lease_until(now);
        let commit = self.commit;
        let RoleState::Leader(leader) = &mut self.role else {
            return self.refuse(token, RefusalReason::NotLeader, out);
        };
        // Before an entry of its term is committed, a leader may not know of entries that its
        // predecessor committed.
        let index = (commit >= leader.first_index).then_some(commit);
        if lease.is_some() {
            return out.push(RaftEffect::ReadReady {
                token,
                index: commit,
            });
        }
        // One round at a time serves reads; reads that arrive meanwhile share the next one.
        let current = leader.rounds.current();
        let joins_next = leader.reads.iter().any(|read| read.index.is_some());
        leader.reads.push_back(PendingRead {
            token,
            index,
            round: current + 1,
        });
        if index.is_some() && !joins_next {
            self.start_round(now, out);
        }
    }

    /// Answers the reads that waited for the first commit of the term, or starts their round.
    pub(super) fn release_early_reads(&mut self, now: Duration, out: &mut Vec<RaftEffect>) {
        let commit = self.commit;
        let RoleState::Leader(leader) = &mut self.role else {
            return;
        };
        if commit < leader.first_index || leader.reads.iter().all(|read| read.index.is_some()) {
            return;
        }
        let round = leader.rounds.current() + 1;
        for read in leader.reads.iter_mut().filter(|read| read.index.is_none()) {
            read.index = Some(commit);
            read.round = round;
        }
        self.start_round(now, out);
        self.answer_reads(now, out);
    }

    /// Answers the reads whose round a quorum has answered.
    pub(super) fn answer_reads(&mut self, now: Duration, out: &mut Vec<RaftEffect>) {
        let confirmed = self.confirmed_round();
        let RoleState::Leader(leader) = &mut self.role else {
            return;
        };
        let current = leader.rounds.current();
        leader.reads.retain(|read| match read.index {
            Some(index) if read.round <= confirmed.min(current) => {
                let token = read.token;
                out.push(RaftEffect::ReadReady { token, index });
                false
            }
            _ => true,
        });
        let waits_for_next = |read: &PendingRead| read.index.is_some() && read.round > current;
        let waits = leader.reads.iter().any(waits_for_next);
        let busy = leader
            .reads
            .iter()
            .any(|read| read.index.is_some() && read.round <= current);
        if waits && !busy {
            self.start_round(now, out);
        }
    }

    /// Returns the latest round that a quorum has answered.
    fn confirmed_round(&self) -> u64 {
        let RoleState::Leader(leader) = &self.role else {
            return 0;
        };
        self.quorum_value(|voter| match leader.progress.get(voter) {
            Some(peer) => peer.acked_round,
            None => u64::MAX,
        })
        .unwrap_or(0)
    }

    /// Records that a member answered a round.
    pub(super) fn record_answer(&mut self, from: &VoterId, round: u64) {
        let RoleState::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(started_at) = leader.rounds.started_at(round) else {
            return;
        };
        if let Some(progress) = leader.progress.get_mut(from)
            && round > progress.acked_round
        {
            progress.acked_round = round;
            progress.acked_at = Some(started_at);
        }
    }
}
