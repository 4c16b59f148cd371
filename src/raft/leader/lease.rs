//! Check-quorum, leader lease and linearizable reads.

use std::time::Duration;

use super::super::{
    RaftCore, RaftEffect, RefusalReason, VoterId, leader_state::PendingRead, role::RoleState,
};

impl RaftCore {
    /// Returns the time at which the leader lease of this member expires; `None` when the member is
    /// not the leader, has not committed an entry of its term, is transferring leadership, or the
    /// lease has expired.
    #[must_use]
    pub fn lease_until(&self, now: Duration) -> Option<Duration> {
        let RoleState::Leader(leader) = &self.role else {
            return None;
        };
        if leader.transfer.is_some() || self.commit < leader.first_index {
            return None;
        }
        // The lease is measured from the start of the round, not from the arrival of the answers: a
        // follower refuses votes only for a fixed period after it has received the request.
        let confirmed_at = self.quorum_value(|voter| match leader.progress.get(voter) {
            Some(progress) => progress.acked_at,
            None => Some(now),
        })??;
        Some(confirmed_at + self.timing.lease_duration()).filter(|until| now < *until)
    }

    /// Returns whether a quorum has answered a round that started within the minimum election
    /// timeout. A leader without a quorum steps down, so that clients look for another one.
    pub(in super::super) fn has_quorum_contact(&self, now: Duration) -> bool {
        let RoleState::Leader(leader) = &self.role else {
            return false;
        };
        self.quorum_value(|voter| match leader.progress.get(voter) {
            Some(progress) => progress.acked_at.unwrap_or(leader.elected_at),
            None => now,
        })
        .is_some_and(|acked_at| now < acked_at + self.timing.election_timeout_min)
    }

    pub(in super::super) fn read(&mut self, now: Duration, token: u64, out: &mut Vec<RaftEffect>) {
        let lease = self.lease_until(now);
        let commit = self.commit;
        let RoleState::Leader(leader) = &mut self.role else {
            return self.refuse(token, RefusalReason::NotLeader, out);
        };
        // Until an entry of its term is committed, the commit index of a leader may be lower than
        // that of its predecessor.
        let index = (commit >= leader.first_index).then_some(commit);
        if lease.is_some() {
            return out.push(RaftEffect::ReadReady {
                token,
                index: commit,
            });
        }
        // One round at a time confirms reads. Reads that arrive during it share the next round.
        let current = leader.rounds.current();
        let is_round_running = leader.reads.iter().any(|read| read.index.is_some());
        leader.reads.push_back(PendingRead {
            token,
            index,
            round: current + 1,
        });
        if index.is_some() && !is_round_running {
            self.start_round(now, out);
        }
    }

    /// Starts a round for the reads that waited for the first commit of the term, and answers them
    /// if it is already confirmed.
    pub(super) fn start_early_reads(&mut self, now: Duration, out: &mut Vec<RaftEffect>) {
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

    /// Answers the reads whose round is confirmed by a quorum.
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
        let needs_next = |read: &PendingRead| read.index.is_some() && read.round > current;
        let has_waiting = leader.reads.iter().any(needs_next);
        let has_running = leader
            .reads
            .iter()
            .any(|read| read.index.is_some() && read.round <= current);
        if has_waiting && !has_running {
            self.start_round(now, out);
        }
    }

    /// Returns the latest round that a quorum has answered.
    fn confirmed_round(&self) -> u64 {
        let RoleState::Leader(leader) = &self.role else {
            return 0;
        };
        self.quorum_value(|voter| match leader.progress.get(voter) {
            Some(progress) => progress.acked_round,
            None => u64::MAX,
        })
        .unwrap_or(0)
    }

    /// Records that a member answered a round.
    pub(super) fn record_round_reply(&mut self, from: &VoterId, round: u64) {
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
