use std::collections::HashMap;

use crate::{
    allowance::ShareReport,
    ids::{EntryKey, TeamId},
};

/// Tokens served per team, in total and by each entry, for fair queuing over the whole fleet.
#[derive(Debug, Default)]
pub struct ServedTable {
    totals: HashMap<TeamId, u64>,
    by_entry: HashMap<EntryKey, HashMap<TeamId, u64>>,
}

impl ServedTable {
    /// Records an entry's cumulative counters. Counters only grow, so that a late report is
    /// ignored.
    pub fn record(&mut self, entry: &EntryKey, reports: &[ShareReport]) {
        let known = self.by_entry.entry(entry.clone()).or_default();
        for report in reports {
            let before = known.entry(report.team.clone()).or_default();
            let growth = report.used.saturating_sub(*before);
            *before += growth;
            *self.totals.entry(report.team.clone()).or_default() += growth;
        }
    }

    /// Returns the cumulative tokens that other entries served to the given teams.
    pub fn elsewhere<'t>(
        &self,
        entry: &EntryKey,
        teams: impl Iterator<Item = &'t TeamId>,
    ) -> Vec<(TeamId, u64)> {
        let own = self.by_entry.get(entry);
        teams
            .map(|team| {
                let total = self.totals.get(team).copied().unwrap_or_default();
                let own = own
                    .and_then(|served| served.get(team))
                    .copied()
                    .unwrap_or_default();
                (team.clone(), total.saturating_sub(own))
            })
            .collect()
    }

    /// Forgets an entry that is gone; what it served stays in the totals.
    pub fn forget(&mut self, entry: &EntryKey) {
        self.by_entry.remove(entry);
    }
}
