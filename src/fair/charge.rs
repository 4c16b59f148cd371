use super::{FairQueue, queue::scaled};
use crate::ids::TeamId;

impl<T> FairQueue<T> {
    /// Charges teams for tokens that they were served by other queues of the fleet. Each charge is
    /// a team, its weight and the number of tokens.
    ///
    /// One call takes all charges of a sync. They put a team's tag ahead of virtual time by at most
    /// [`super::QueueLimits::max_lead_tokens`] per unit of weight, and service that all waiting
    /// teams received gives no lead. However often a team is charged, its next item waits at most
    /// until this queue has served the others that much.
    pub fn charge_remote_service(&mut self, charges: &[(TeamId, u32, u64)]) {
        let virtual_time = self.virtual_time;
        let mut common_charge = u128::MAX;
        let mut charged_waiting_teams = 0;
        for (team, weight, tokens) in charges {
            let weight = (*weight).max(1);
            let index = self.teams.index_or_new(team, weight, virtual_time);
            self.unlink(index);
            let Some(queue) = self.teams.get_mut(index) else {
                continue;
            };
            let charge = scaled(*tokens, weight);
            queue.uncharged_tag = queue.tag.max(virtual_time);
            queue.tag = queue.uncharged_tag + charge;
            if !queue.is_empty() {
                common_charge = common_charge.min(charge);
                charged_waiting_teams += 1;
            }
            self.link(index);
        }
        // Service that every waiting team received advances virtual time and gives no team a lead.
        // A waiting team without a charge received nothing.
        if charged_waiting_teams > 0 && charged_waiting_teams == self.waiting_teams.len() {
            self.virtual_time += common_charge;
            self.remote_time += common_charge;
        }
        let max_lead = scaled(self.limits.max_lead_tokens, 1);
        for (team, ..) in charges {
            let Some(index) = self.teams.index(team) else {
                continue;
            };
            let Some(queue) = self.teams.get(index) else {
                continue;
            };
            let mut max_tag = self.virtual_time + max_lead;
            if !queue.is_empty() {
                // Charges of many syncs must not delay a waiting item indefinitely.
                let waiting_bound = queue.waiting_since + self.remote_time + max_lead;
                max_tag = max_tag.min(waiting_bound.max(queue.uncharged_tag));
            }
            if queue.tag > max_tag {
                self.set_tag(index, max_tag);
            }
        }
        self.remove_idle_teams();
    }

    /// Refunds tokens of an item that used fewer than its cost. The team's tag is moved back, but
    /// not behind virtual time.
    pub fn refund(&mut self, team: &TeamId, tokens: u64) {
        let Some(index) = self.teams.index(team) else {
            return;
        };
        let Some(queue) = self.teams.get(index) else {
            return;
        };
        let refunded = queue.tag.saturating_sub(scaled(tokens, queue.weight));
        let tag = queue.tag.min(refunded.max(self.virtual_time));
        self.set_tag(index, tag);
        self.remove_idle_teams();
    }
}
