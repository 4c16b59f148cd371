use std::collections::HashMap;

use crate::{
    allowance::ShareReport,
    ids::{EntryKey, TeamId},
};

/// Tokens that one entry served to one team.
#[derive(Debug, Default)]
struct EntryUsage {
    epoch: u64,
    /// Tokens used in the epoch.
    used: u64,
    /// Tokens used in all epochs.
    total: u64,
}

/// Tokens served to each team, in total and by each entry, for fair queuing across the fleet.
#[derive(Debug, Default)]
pub struct ServedTokens {
    totals: HashMap<TeamId, u64>,
    by_entry: HashMap<EntryKey, HashMap<TeamId, EntryUsage>>,
}

impl ServedTokens {
    /// Records the cumulative counters of an entry. Within an epoch counters only increase, so a
    /// report that arrives late has no effect.
    pub fn record(&mut self, entry: &EntryKey, reports: &[ShareReport]) {
        let usages = self.by_entry.entry(entry.clone()).or_default();
        for report in reports {
            let usage = usages.entry(report.team.clone()).or_default();
            if report.epoch < usage.epoch {
                continue;
            }
            if report.epoch > usage.epoch {
                usage.epoch = report.epoch;
                usage.used = 0;
            }
            let added = report.used.saturating_sub(usage.used);
            usage.used += added;
            usage.total += added;
            *self.totals.entry(report.team.clone()).or_default() += added;
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
                    .and_then(|usages| usages.get(team))
                    .map_or(0, |usage| usage.total);
                (team.clone(), total.saturating_sub(own))
            })
            .collect()
    }

    /// Removes an entry. The tokens that it served stay in the totals.
    pub fn remove_entry(&mut self, entry: &EntryKey) {
        self.by_entry.remove(entry);
    }
}
