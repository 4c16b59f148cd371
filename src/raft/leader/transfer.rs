//! Leadership transfer on a planned shutdown.

use std::time::Duration;

use super::super::{
    MessageBody, RaftCore, RaftEffect, VoterId,
    leader_state::{LeaderState, TransferState},
    role::RoleState,
};

impl LeaderState {
    /// Returns whether the next leader may already campaign, so that new entries could be lost.
    pub(in super::super) fn is_transferring(&self, now: Duration) -> bool {
        self.transfer
            .as_ref()
            .is_some_and(|transfer| now >= transfer.not_before)
    }
}

impl RaftCore {
    /// Gives up the lease. Proposals are still accepted until all copies of the lease have expired.
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

    /// Asks a voter to campaign once the lease has expired. Among the voters that have the whole
    /// log, the one that answered the latest heartbeat round is chosen. The request is repeated in
    /// each round, because it may be lost.
    pub(super) fn advance_transfer(&mut self, now: Duration, out: &mut Vec<RaftEffect>) {
        let last_index = self.log.last_index();
        let voters = self.log.membership().voters.clone();
        let RoleState::Leader(leader) = &mut self.role else {
            return;
        };
        if !leader.is_transferring(now) {
            return;
        }
        let Some(transfer) = &mut leader.transfer else {
            return;
        };
        if transfer.target.is_none() {
            let is_up_to_date = |voter: &&VoterId| {
                let progress = leader.progress.get(*voter);
                progress.is_some_and(|progress| progress.match_index == last_index)
            };
            let acked_at = |voter: &&VoterId| {
                leader
                    .progress
                    .get(*voter)
                    .map(|progress| progress.acked_at)
            };
            transfer.target = voters
                .iter()
                .filter(is_up_to_date)
                .max_by_key(acked_at)
                .cloned();
        }
        if let Some(target) = transfer.target.clone() {
            self.send(&target, MessageBody::TimeoutNow, out);
        }
    }

    /// Returns whether a transfer has timed out. The leader then steps down, because it cannot get
    /// a lease again in this term.
    pub(super) fn is_transfer_expired(&self, now: Duration) -> bool {
        match &self.role {
            RoleState::Leader(leader) => leader.transfer.as_ref().is_some_and(|transfer| {
                now >= transfer.not_before + self.timing.election_timeout_min
            }),
            _ => false,
        }
    }
}
