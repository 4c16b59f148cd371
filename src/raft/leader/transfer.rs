//! Hand-over of leadership on a planned shutdown.

use std::time::Duration;

use super::super::{
    MessageBody, RaftCore, RaftEffect, VoterId,
    leader_state::{LeaderState, TransferState},
    role::RoleState,
};

impl LeaderState {
    /// Tells whether the next leader may already campaign, so that new entries could be lost.
    pub(in super::super) fn hands_over(&self, now: Duration) -> bool {
        self.transfer
            .as_ref()
            .is_some_and(|transfer| now >= transfer.not_before)
    }
}

impl RaftCore {
    /// Gives up the lease. Proposals are accepted until copies of the lease have expired.
    pub(in super::super) fn start_transfer(&mut self, now: Duration) {
        let not_before = now + self.timing.lease_duration();
        if let RoleState::Leader(leader) = &mut self.role
            && leader.transfer.is_none()
        {
            leader.transfer = Some(TransferState {
                not_before,
                target: None,
            });
        }
    }

    /// Asks the most advanced voter to campaign once the lease has expired and the voter holds the
    /// whole log. The request is repeated, as it may be lost.
    pub(super) fn advance_transfer(&mut self, now: Duration, out: &mut Vec<RaftEffect>) {
        let last_index = self.log.last_index();
        let voters = self.log.membership().voters.clone();
        let RoleState::Leader(leader) = &mut self.role else {
            return;
        };
        if !leader.hands_over(now) {
            return;
        }
        let Some(transfer) = &mut leader.transfer else {
            return;
        };
        if transfer.target.is_none() {
            let ready = |voter: &&VoterId| {
                let peer = leader.progress.get(*voter);
                peer.is_some_and(|peer| peer.match_index == last_index)
            };
            let latest = |voter: &&VoterId| leader.progress.get(*voter).map(|peer| peer.acked_at);
            transfer.target = voters.iter().filter(ready).max_by_key(latest).cloned();
        }
        if let Some(target) = transfer.target.clone() {
            self.send(&target, MessageBody::TimeoutNow, out);
        }
    }

    /// Tells whether a hand-over has taken too long. The leader then steps down, because it never
    /// regains a lease in this term.
    pub(super) fn transfer_is_over(&self, now: Duration) -> bool {
        match &self.role {
            RoleState::Leader(leader) => leader.transfer.as_ref().is_some_and(|transfer| {
                now >= transfer.not_before + self.timing.election_timeout_min
            }),
            _ => false,
        }
    }
}
