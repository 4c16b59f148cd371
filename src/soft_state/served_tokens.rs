use std::collections::HashMap;

use crate::{
    allowance::ShareReport,
    ids::{EntryKey, TeamId},
};

/// What one entry served to one team.
#[derive(Debug, Default)]
struct EntryService {
    epoch: u64,
    /// Tokens used in the epoch.
    used: u64,
    /// Tokens used in all epochs.
    total: u64,
}

/// Tokens served per team, in total and by each entry, for fair queuing over the whole fleet.
#[derive(Debug, Default)]
pub struct ServedTokens {
    totals: HashMap<TeamId, u64>,
    by_entry: HashMap<EntryKey, HashMap<TeamId, EntryService>>,
}

impl ServedTokens {
    /// Records an entry's cumulative counters. Counters only grow within an epoch, so that a late
    /// report is ignored.
    pub fn record(&mut self, entry: &EntryKey, reports: &[ShareReport]) {
        let known = self.by_entry.entry(entry.clone()).or_default();
        for report in reports {
            let service = known.entry(report.team.clone()).or_default();
            if report.epoch < service.epoch {
                continue;
            }
            if report.epoch > service.epoch {
                service.epoch = report.epoch;
                service.used = 0;
            }
            let growth = report.used.saturating_sub(service.used);
            service.used += growth;
            service.total += growth;
            *self.totals.entry(report.team.clone()).or_default() += growth;
        }
    }

    /// Returns the cumulative tokens that other entries served to the given teams.
    pub fn served_by_others<'t>(
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
                    .map_or(0, |service| service.total);
                (team.clone(), total.saturating_sub(own))
            })
            .collect()
    }

    /// Forgets an entry that is gone; what it served stays in the totals.
    pub fn remove_entry(&mut self, entry: &EntryKey) {
        self.by_entry.remove(entry);
    }
}
