use super::{FairQueue, queue::scaled};
use crate::ids::TeamId;

impl<T> FairQueue<T> {
    /// Accounts for tokens that teams, with their weights, were served elsewhere in the fleet.
    ///
    /// All charges of a sync are given at once: a team falls behind the others here by at most
    /// [`QueueLimits::max_lead_tokens`] per unit of weight, and what all of them received is no lead.
    /// However often it is charged, its next item is served after this queue has served the others
    /// that much.
    pub fn charge_remote_service(&mut self, charges: &[(TeamId, u32, u64)]) {
        let virtual_time = self.virtual_time;
        let mut common = u128::MAX;
        let mut charged_teams = 0;
        for (team, weight, tokens) in charges {
            let weight = (*weight).max(1);
            let index = self.teams.index_or_new(team, weight, virtual_time);
            self.detach(index);
            let Some(queue) = self.teams.get_mut(index) else {
                continue;
            };
            let charge = scaled(*tokens, weight);
            queue.uncharged_tag = queue.tag.max(virtual_time);
            queue.tag = queue.uncharged_tag + charge;
            if !queue.is_empty() {
                common = common.min(charge);
                charged_teams += 1;
            }
            self.attach(index);
        }
        // What every waiting team received is no lead of any; a team left out received nothing.
        if charged_teams > 0 && charged_teams == self.ready.len() {
            self.virtual_time += common;
            self.charged_time += common;
        }
        let lead = scaled(self.limits.max_lead_tokens, 1);
        for (team, ..) in charges {
            let Some(index) = self.teams.index(team) else {
                continue;
            };
            let Some(queue) = self.teams.get(index) else {
                continue;
            };
            let mut most = self.virtual_time + lead;
            if !queue.is_empty() {
                // Charges of many syncs must not put off a waiting item for ever.
                let waited = queue.waiting_since + self.charged_time + lead;
                most = most.min(waited.max(queue.uncharged_tag));
            }
            if queue.tag > most {
                self.move_tag(index, most);
            }
        }
        self.forget_idle();
    }

    /// Accounts for an item that used fewer tokens than its cost. The team's tag moves back, but
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
        self.move_tag(index, tag);
        self.forget_idle();
    }
}
