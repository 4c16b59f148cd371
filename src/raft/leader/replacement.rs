//! Replacement of members, decided from what the log's own messages show; see docs/design.md, section 5.

use std::{collections::BTreeSet, time::Duration};

use super::super::{
    MemberChange, MemberContacts, Membership, RaftCore, ReplacementCause, ReplacementObstacle,
    ReplacementPolicy, ReplacementStep, VoterId, leader_state::LeaderState, role::RoleState,
};

type Result<T> = std::result::Result<T, ReplacementObstacle>;

/// The inputs of one decision.
struct ReplacementView<'a> {
    leader: &'a LeaderState,
    now: Duration,
    policy: &'a ReplacementPolicy,
    contacts: &'a MemberContacts,
}

impl RaftCore {
    /// Returns the change of the membership that is needed next. A successor is promoted before a silent voter is
    /// removed, since that voter may return; a voter whose disk is known to be gone is removed first.
    #[must_use]
    pub fn next_replacement(
        &self,
        now: Duration,
        policy: &ReplacementPolicy,
        contacts: &MemberContacts,
    ) -> ReplacementStep {
        let (RoleState::Leader(leader), Some(_)) = (&self.role, self.lease_until(now)) else {
            return ReplacementStep::Settled;
        };
        let view = ReplacementView {
            leader,
            now,
            policy,
            contacts,
        };
        let Some((cause, member)) = self.replacement_cause(&view) else {
            return ReplacementStep::Settled;
        };
        let change = self.replacement_change(&view, cause, member);
        let member = member.cloned();
        match change.and_then(|change| self.check_replacement(&view, change)) {
            Ok(change) => ReplacementStep::Due {
                cause,
                member,
                change,
            },
            Err(obstacle) => ReplacementStep::Waiting {
                cause,
                member,
                obstacle,
            },
        }
    }

    /// Returns why the membership has to change, with the member that is lost or leaves.
    fn replacement_cause<'a>(
        &'a self,
        view: &ReplacementView<'_>,
    ) -> Option<(ReplacementCause, Option<&'a VoterId>)> {
        let membership = self.log.membership();
        let silence = |id: &VoterId| {
            let confirmation = self.timing.election_timeout_min;
            view.contacts.silence(id, view.now, confirmation)
        };
        let voters = || membership.voters.iter().filter(|id| **id != self.id);
        let superseded = voters().find(|id| self.is_superseded(view, id));
        let most_silent = voters().max_by_key(|id| silence(id));
        let silent = most_silent.filter(|id| silence(id) >= view.policy.voter_silence);
        let leaving = voters().find(|id| view.contacts.is_leaving(id));
        let mut learners = membership.learners.iter();
        let silent_learner = learners.find(|id| silence(id) >= view.policy.learner_silence);
        let may_return = most_silent.filter(|id| silence(id) >= self.timing.election_timeout_min);
        let too_few = membership.voters.len() < view.policy.voter_count;
        match (superseded, silent, leaving) {
            (Some(_), _, _) => Some((ReplacementCause::Superseded, superseded)),
            (_, Some(_), _) => Some((ReplacementCause::Silent, silent)),
            (_, _, Some(_)) => Some((ReplacementCause::Leaving, leaving)),
            _ if too_few => Some((ReplacementCause::TooFewVoters, None)),
            _ if self.has_successor(view) => Some((ReplacementCause::Successor, None)),
            _ if silent_learner.is_some() => {
                Some((ReplacementCause::SilentLearner, silent_learner))
            }
            _ => may_return.map(|id| (ReplacementCause::Silent, Some(id))),
        }
    }

    /// Returns whether a learner is ready for a seat beside the intended voters: more machines answer than the fleet
    /// was set up with, so that one of them is about to go. Its seat has to be settled before that, since two losses
    /// at once leave no quorum to settle it.
    fn has_successor(&self, view: &ReplacementView<'_>) -> bool {
        let membership = self.log.membership();
        let is_active = |id: &&VoterId| self.is_active(view.leader, id, view.now);
        // A machine that has lost its disk has two members for a moment.
        let active_vms = membership.members().filter(is_active).map(|id| &id.vm);
        let active_vms: BTreeSet<_> = active_vms.collect();
        let intended = view.policy.voter_count;
        // One more than an even number would be a tolerance that the policy does not ask for, and two voters instead
        // of one have no quorum once either is lost.
        let takes_one_more = intended >= 3 && !intended.is_multiple_of(2);
        let next = membership.clone().with_fleet_size(self.proposed_fleet_size);
        next.allows_half_quorums()
            && active_vms.len() > next.fleet_size
            && takes_one_more
            && membership.voters.len() == intended
            && self.promotion(view).is_ok()
    }

    fn replacement_change(
        &self,
        view: &ReplacementView<'_>,
        cause: ReplacementCause,
        member: Option<&VoterId>,
    ) -> Result<MemberChange> {
        let has_surplus = self.log.membership().voters.len() > view.policy.voter_count;
        let confirmation = self.timing.election_timeout_min;
        match (cause, member) {
            (ReplacementCause::Superseded | ReplacementCause::SilentLearner, Some(member)) => {
                Ok(MemberChange::Remove(member.clone()))
            }
            (ReplacementCause::Silent, Some(member))
                if view.contacts.silence(member, view.now, confirmation)
                    < view.policy.voter_silence =>
            {
                Err(ReplacementObstacle::MayReturn)
            }
            (_, Some(member)) if has_surplus => Ok(MemberChange::Remove(member.clone())),
            _ => self.promotion(view),
        }
    }

    fn check_replacement(
        &self,
        view: &ReplacementView<'_>,
        change: MemberChange,
    ) -> Result<MemberChange> {
        let next = self
            .check_change(view.now, &change)
            .map_err(ReplacementObstacle::Refused)?;
        if self.count_active(view.leader, &next, view.now) < next.quorum() {
            return Err(ReplacementObstacle::QuorumAtRisk);
        }
        Ok(change)
    }

    /// Returns whether a daemon with another data folder has announced itself or answers on the VM of a voter: its own
    /// folder is gone.
    fn is_superseded(&self, view: &ReplacementView<'_>, voter: &VoterId) -> bool {
        let is_active = |id: &VoterId| self.is_active(view.leader, id, view.now);
        let mut others = self.log.membership().members();
        !is_active(voter)
            && (self.lost.contains(voter)
                || others.any(|other| other.vm == voter.vm && other != voter && is_active(other)))
    }

    /// Returns the promotion of a learner that answers and has every committed entry.
    fn promotion(&self, view: &ReplacementView<'_>) -> Result<MemberChange> {
        let is_active = |id: &&VoterId| {
            self.is_active(view.leader, id, view.now) && !view.contacts.is_leaving(id)
        };
        let learners = &self.log.membership().learners;
        let mut active = learners.iter().filter(is_active).peekable();
        if active.peek().is_none() {
            return Err(ReplacementObstacle::NoLearner);
        }
        let ready = active.find(|id| self.has_caught_up(id));
        ready
            .map(|id| MemberChange::Promote(id.clone()))
            .ok_or(ReplacementObstacle::LearnerBehind)
    }

    /// Returns how many voters of a membership have answered lately.
    pub(super) fn count_active(
        &self,
        leader: &LeaderState,
        membership: &Membership,
        now: Duration,
    ) -> usize {
        let voters = membership.voters.iter();
        voters
            .filter(|voter| self.is_active(leader, voter, now))
            .count()
    }
}
