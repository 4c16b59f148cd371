use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use super::ReportTable;
use crate::{
    ids::{EntryKey, ModelId, TargetId},
    sync::{ModelDemand, TargetLoad},
};

/// Time after the last request for a model at an entry for which the entry receives the loads of
/// the engines that hold it.
const SUBSCRIPTION_TTL: Duration = Duration::from_secs(60);
/// Minimum interval between updates to one entry. Engines report twice a second, and in between
/// each entry adjusts the loads by the requests that it sends itself.
const UPDATE_INTERVAL: Duration = Duration::from_secs(1);

/// Interval at which unchanged loads are sent again, since a reply may have been lost.
const REFRESH_INTERVAL: Duration = Duration::from_secs(10);

#[derive(Debug, Default)]
struct EntrySubscription {
    /// Time of the last request for each model.
    models: HashMap<ModelId, Duration>,
    /// Running and queued requests as last sent for each engine.
    sent: HashMap<TargetId, (u32, u32)>,
    sent_at: Option<Duration>,
    refreshed_at: Duration,
}

/// Selects the engine loads that are sent to each entry.
///
/// Sending all loads to all entries would exceed the control traffic of an entry many times over at
/// the design scale; see docs/CAPACITY.md. An entry receives the loads of engines that hold a model
/// for which it recently had requests, once a second, and only if they changed.
#[derive(Debug, Default)]
pub struct LoadSubscriptions {
    entries: HashMap<EntryKey, EntrySubscription>,
}

impl LoadSubscriptions {
    /// Subscribes an entry to the models for which it had requests.
    pub fn record(&mut self, entry: &EntryKey, demand: &[ModelDemand], now: Duration) {
        let subscription = self.entries.entry(entry.clone()).or_default();
        for model in demand {
            subscription.models.insert(model.model.clone(), now);
        }
    }

    /// Returns the loads to send to the entry now.
    pub fn take_updates(
        &mut self,
        entry: &EntryKey,
        reports: &ReportTable,
        now: Duration,
    ) -> Vec<TargetLoad> {
        let subscription = self.entries.entry(entry.clone()).or_default();
        let is_due = |sent_at: Duration| now.saturating_sub(sent_at) >= UPDATE_INTERVAL;
        if !subscription.sent_at.is_none_or(is_due) {
            return Vec::new();
        }
        subscription.sent_at = Some(now);
        if now.saturating_sub(subscription.refreshed_at) >= REFRESH_INTERVAL {
            subscription.refreshed_at = now;
            subscription.sent.clear();
        }
        subscription
            .models
            .retain(|_, requested_at| now.saturating_sub(*requested_at) <= SUBSCRIPTION_TTL);
        let mut loads = Vec::new();
        let mut subscribed_targets = HashSet::new();
        for (target, report, read_at) in reports.iter() {
            let is_subscribed = report
                .copies
                .iter()
                .any(|copy| subscription.models.contains_key(&copy.model));
            if !is_subscribed {
                continue;
            }
            subscribed_targets.insert(target);
            let load = (report.running, report.queued);
            if subscription.sent.get(target) == Some(&load) {
                continue;
            }
            subscription.sent.insert(target.clone(), load);
            let age = now.saturating_sub(read_at).as_millis();
            loads.push(TargetLoad {
                target: target.clone(),
                running: report.running,
                queued: report.queued,
                age_ms: u32::try_from(age).unwrap_or(u32::MAX),
            });
        }
        subscription
            .sent
            .retain(|target, _| subscribed_targets.contains(target));
        loads
    }

    /// Removes an entry.
    pub fn remove_entry(&mut self, entry: &EntryKey) {
        self.entries.remove(entry);
    }
}
