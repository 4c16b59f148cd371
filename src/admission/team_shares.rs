use std::collections::HashMap;

use crate::ids::TeamId;

/// Work that each team has received, which puts the team that received least first.
///
/// A team that comes back after a pause starts at the work of the team served last, so that a pause
/// earns no credit.
#[derive(Debug, Default)]
pub(super) struct TeamShares {
    received: HashMap<TeamId, u64>,
    served_last: u64,
}

impl TeamShares {
    /// Returns the work that a team counts as having received.
    pub fn received(&self, team: &TeamId) -> u64 {
        let received = self.received.get(team).copied().unwrap_or(0);
        received.max(self.served_last)
    }

    /// Records that work of a team is served.
    pub fn record(&mut self, team: &TeamId, work: u64) {
        let received = self.received(team);
        self.served_last = received;
        let total = received.saturating_add(work.max(1));
        self.received.insert(team.clone(), total);
        // Teams that are not ahead count as the team served last, with or without an entry.
        self.received
            .retain(|_, received| *received > self.served_last);
    }
}
