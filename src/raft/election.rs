//! Elections: pre-vote, campaign, and the refusal of votes while a lease may be valid.

use std::{collections::BTreeSet, time::Duration};

use super::{
    EntryPayload, LogEntry, MessageBody, RaftCore, RaftEffect, RefusalReason, VoteKind, VoterId,
    leader_state::LeaderState, role::RoleState,
};
use crate::ids::{LogIndex, Term};

impl RaftCore {
    /// Asks the voters whether a campaign could succeed. Without the pre-vote, a member that
    /// returns from a network partition would depose a working leader with its higher term.
    pub(super) fn start_pre_vote(&mut self, now: Duration, out: &mut Vec<RaftEffect>) {
        let failed = match &self.role {
            RoleState::PreCandidate { granted } => Some((granted, &self.lost)),
            RoleState::Candidate { granted, lost, .. } => Some((granted, lost)),
            RoleState::Follower | RoleState::Leader(_) => None,
        };
        if let Some((granted, lost)) = failed {
            let (granted, lost) = (granted.clone(), lost.clone());
            out.push(RaftEffect::ElectionFailed { granted, lost });
        }
        self.leader = None;
        self.timer.restart_randomized(&self.timing, now);
        let granted = BTreeSet::from([self.id.clone()]);
        if self.is_quorum(&granted, &self.lost) {
            return self.campaign(now, VoteKind::Campaign, out);
        }
        self.role = RoleState::PreCandidate { granted };
        self.request_votes(VoteKind::PreVote, self.term + 1, out);
    }

    pub(super) fn campaign(&mut self, now: Duration, kind: VoteKind, out: &mut Vec<RaftEffect>) {
        self.leader = None;
        self.timer.restart_randomized(&self.timing, now);
        self.term += 1;
        self.voted_for = Some(self.id.clone());
        self.save_vote(out);
        let granted = BTreeSet::from([self.id.clone()]);
        // A loss that becomes known later does not count: its voter may have voted for another candidate before.
        let lost = self.lost.clone();
        if self.is_quorum(&granted, &lost) {
            return self.become_leader(now, lost, out);
        }
        self.role = RoleState::Candidate {
            kind,
            granted,
            lost,
        };
        self.request_votes(kind, self.term, out);
    }

    fn request_votes(&self, kind: VoteKind, term: Term, out: &mut Vec<RaftEffect>) {
        let memberships = self.log.open_memberships(self.commit);
        let voters: BTreeSet<&VoterId> = memberships.iter().flat_map(|open| &open.voters).collect();
        for voter in voters.into_iter().filter(|voter| **voter != self.id) {
            let body = MessageBody::VoteRequest {
                kind,
                last_index: self.log.last_index(),
                last_term: self.log.last_term(),
            };
            self.send_with_term(term, voter, body, out);
        }
    }

    pub(super) fn on_vote_request(
        &mut self,
        now: Duration,
        from: &VoterId,
        term: Term,
        kind: VoteKind,
        (last_term, last_index): (Term, LogIndex),
        out: &mut Vec<RaftEffect>,
    ) {
        let is_up_to_date =
            (last_term, last_index) >= (self.log.last_term(), self.log.last_index());
        // A leader counts itself in the quorum of its lease, so it refuses votes like a follower.
        // A transfer is exempt: only the leader of the preceding term starts it, after it has given
        // up its lease.
        let must_refuse = kind != VoteKind::Transfer
            && (now < self.refuse_votes_until || matches!(self.role, RoleState::Leader(_)));
        let granted = match kind {
            VoteKind::PreVote => term > self.term && is_up_to_date && !must_refuse,
            _ if must_refuse || term < self.term => false,
            _ => {
                if term > self.term {
                    self.become_follower(now, term, out);
                }
                let can_vote = match &self.voted_for {
                    Some(voted_for) => voted_for == from,
                    // A member that knows the leader of this term does not vote in it.
                    None => self.leader.is_none(),
                };
                can_vote && is_up_to_date
            }
        };
        if granted && kind != VoteKind::PreVote {
            if self.voted_for.is_none() {
                self.voted_for = Some(from.clone());
                self.save_vote(out);
            }
            self.timer.restart(now);
        }
        let reply_term = match (kind, granted) {
            (VoteKind::PreVote, true) => term,
            _ => self.term,
        };
        self.send_with_term(
            reply_term,
            from,
            MessageBody::VoteReply { kind, granted },
            out,
        );
    }

    pub(super) fn on_vote_reply(
        &mut self,
        now: Duration,
        from: &VoterId,
        term: Term,
        kind: VoteKind,
        granted: bool,
        out: &mut Vec<RaftEffect>,
    ) {
        if !self.is_open_voter(from) {
            return;
        }
        let is_pre_vote_grant = kind == VoteKind::PreVote && granted;
        if term > self.term && !is_pre_vote_grant {
            return self.become_follower(now, term, out);
        }
        let (granted_by, lost) = match &mut self.role {
            RoleState::PreCandidate { granted } if is_pre_vote_grant && term == self.term + 1 => {
                (granted, self.lost.clone())
            }
            RoleState::Candidate {
                kind: own_kind,
                granted: granted_by,
                lost,
            } if granted && *own_kind == kind && term == self.term => (granted_by, lost.clone()),
            _ => return,
        };
        granted_by.insert(from.clone());
        let granted_by = granted_by.clone();
        if !self.is_quorum(&granted_by, &lost) {
            return;
        }
        match kind {
            VoteKind::PreVote => self.campaign(now, VoteKind::Campaign, out),
            VoteKind::Campaign | VoteKind::Transfer => self.become_leader(now, lost, out),
        }
    }

    fn become_leader(&mut self, now: Duration, lost: BTreeSet<VoterId>, out: &mut Vec<RaftEffect>) {
        let first_index = self.log.last_index() + 1;
        let state = LeaderState::new(first_index, now).with_lost(lost);
        self.role = RoleState::Leader(Box::new(state));
        self.leader = Some(self.id.clone());
        // Entries of earlier terms can only be committed together with an entry of this term.
        self.append_entry(EntryPayload::Noop, out);
        self.start_round(now, out);
    }

    /// Becomes a follower without a known leader, in the current term or a higher one.
    pub(super) fn become_follower(&mut self, now: Duration, term: Term, out: &mut Vec<RaftEffect>) {
        if term > self.term {
            self.term = term;
            self.voted_for = None;
            self.save_vote(out);
        }
        self.leader = None;
        let previous = std::mem::replace(&mut self.role, RoleState::Follower);
        if let RoleState::Leader(state) = previous {
            // A copy of the lease may still be in use, and this member is part of its quorum.
            self.refuse_votes_until = now + self.timing.election_timeout_min;
            for read in state.reads {
                self.refuse(read.token, RefusalReason::NotLeader, out);
            }
        }
        self.timer.restart_randomized(&self.timing, now);
    }

    pub(super) fn append_entry(&mut self, payload: EntryPayload, out: &mut Vec<RaftEffect>) {
        let entry = LogEntry {
            term: self.term,
            index: self.log.last_index() + 1,
            payload,
        };
        let entries = vec![entry];
        self.log.append(&entries);
        if let RoleState::Leader(state) = &mut self.role {
            state.update_members(&self.id, &self.log, self.commit);
        }
        out.push(RaftEffect::Append { entries });
    }

    fn save_vote(&self, out: &mut Vec<RaftEffect>) {
        out.push(RaftEffect::SaveVote {
            term: self.term,
            voted_for: self.voted_for.clone(),
        });
    }

    fn is_quorum(&self, granted: &BTreeSet<VoterId>, lost: &BTreeSet<VoterId>) -> bool {
        self.quorum_rule(lost)
            .is_met(|voter| granted.contains(voter))
    }
}
