use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use super::ReportTable;
use crate::{
    ids::{EntryKey, ModelId, TargetId},
    sync::{ModelDemand, TargetLoad},
};

/// Time for which a model that callers asked for keeps an entry interested in its engines.
const INTEREST_LIFETIME: Duration = Duration::from_secs(60);
/// Shortest time between two digests for one entry. Engines report twice a second, and each entry
/// corrects what it knows by its own sends meanwhile.
const DIGEST_PERIOD: Duration = Duration::from_secs(1);

/// Time after which unchanged loads are told again, since a reply may have been lost.
const REFRESH_PERIOD: Duration = Duration::from_secs(10);

#[derive(Debug, Default)]
struct EntryInterest {
    models: HashMap<ModelId, Duration>,
    told: HashMap<TargetId, (u32, u32)>,
    told_at: Option<Duration>,
    refreshed_at: Duration,
}

/// Chooses the loads that an entry is told.
///
/// All loads to all entries would exceed an entry's control traffic many times at the design scale;
/// see docs/CAPACITY.md. An entry gets those of engines that hold a model it was asked for lately,
/// once a second, and only if they changed.
#[derive(Debug, Default)]
pub struct LoadSubscriptions {
    entries: HashMap<EntryKey, EntryInterest>,
}

impl LoadSubscriptions {
    /// Records what callers asked of an entry.
    pub fn record(&mut self, entry: &EntryKey, demand: &[ModelDemand], now: Duration) {
        let interest = self.entries.entry(entry.clone()).or_default();
        for model in demand {
            interest.models.insert(model.model.clone(), now);
        }
    }

    /// Returns the loads that the entry should be told now.
    pub fn take_updates(
        &mut self,
        entry: &EntryKey,
        reports: &ReportTable,
        now: Duration,
    ) -> Vec<TargetLoad> {
        let interest = self.entries.entry(entry.clone()).or_default();
        let is_due = |told: Duration| now.saturating_sub(told) >= DIGEST_PERIOD;
        if !interest.told_at.is_none_or(is_due) {
            return Vec::new();
        }
        interest.told_at = Some(now);
        if now.saturating_sub(interest.refreshed_at) >= REFRESH_PERIOD {
            interest.refreshed_at = now;
            interest.told.clear();
        }
        interest
            .models
            .retain(|_, asked| now.saturating_sub(*asked) <= INTEREST_LIFETIME);
        let mut loads = Vec::new();
        let mut watched = HashSet::new();
        for (target, report, received_at) in reports.iter() {
            let holds_any = report
                .copies
                .iter()
                .any(|copy| interest.models.contains_key(&copy.model));
            if !holds_any {
                continue;
            }
            watched.insert(target);
            let load = (report.running, report.queued);
            if interest.told.get(target) == Some(&load) {
                continue;
            }
            interest.told.insert(target.clone(), load);
            let age = now.saturating_sub(received_at).as_millis();
            loads.push(TargetLoad {
                target: target.clone(),
                running: report.running,
                queued: report.queued,
                age_ms: u32::try_from(age).unwrap_or(u32::MAX),
            });
        }
        interest.told.retain(|target, _| watched.contains(target));
        loads
    }

    /// Forgets an entry that is gone.
    pub fn remove_entry(&mut self, entry: &EntryKey) {
        self.entries.remove(entry);
    }
}
