use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use futures::future::join_all;
use reqwest::Client;

use crate::{
    client,
    error::Result,
    fleet::FleetIndex,
    ids::TargetId,
    sync::{EngineReport, TargetObservation, TargetReport},
};

/// Polling interval of an engine.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of a poll.
const POLL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Number of consecutive failed polls after which an engine counts as unreachable.
const MAX_FAILURES: u32 = 2;

#[derive(Debug, Default)]
struct PolledTables {
    addresses: HashMap<TargetId, String>,
    reports: HashMap<TargetId, (EngineReport, Instant)>,
    failures: HashMap<TargetId, u32>,
    observations: Vec<TargetObservation>,
}

/// Reports of the engines that the leader assigned to this entry, until the next sync.
#[derive(Debug, Default)]
pub struct PolledReports {
    tables: Mutex<PolledTables>,
}

impl PolledReports {
    fn tables(&self) -> MutexGuard<'_, PolledTables> {
        self.tables.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the set of engines that this entry polls.
    pub fn assign(&self, targets: &[TargetId], index: &FleetIndex) {
        let address =
            |target: &TargetId| Some((target.clone(), index.target(target)?.address.clone()));
        let mut tables = self.tables();
        tables.addresses = targets.iter().filter_map(address).collect();
        let PolledTables {
            addresses,
            failures,
            ..
        } = &mut *tables;
        failures.retain(|target, _| addresses.contains_key(target));
    }

    /// Removes and returns the reports since the last sync and the engines that became unreachable.
    pub fn take(&self) -> (Vec<TargetReport>, Vec<TargetObservation>) {
        let mut tables = self.tables();
        let reports = std::mem::take(&mut tables.reports)
            .into_iter()
            .map(|(target, (report, polled_at))| TargetReport {
                target,
                report,
                age_ms: u32::try_from(polled_at.elapsed().as_millis()).unwrap_or(u32::MAX),
            })
            .collect();
        (reports, std::mem::take(&mut tables.observations))
    }

    fn record(&self, target: TargetId, result: Result<EngineReport>) {
        let mut tables = self.tables();
        if let Ok(report) = result {
            tables.failures.remove(&target);
            tables.reports.insert(target, (report, Instant::now()));
            return;
        }
        let failures = tables.failures.entry(target.clone()).or_default();
        *failures += 1;
        // Reported only once: if that sync is lost, the leader detects the missing reports.
        if *failures == MAX_FAILURES {
            tables
                .observations
                .push(TargetObservation::Unreachable(target));
        }
    }
}

/// Polls the assigned engines.
pub struct ReportPoller {
    reports: Arc<PolledReports>,
    client: Client,
}

impl ReportPoller {
    pub fn new(reports: Arc<PolledReports>, client: Client) -> Self {
        Self { reports, client }
    }

    /// Polls until the task is dropped.
    pub async fn run(self) {
        let mut interval = tokio::time::interval(POLL_INTERVAL);
        loop {
            interval.tick().await;
            let addresses = self.reports.tables().addresses.clone();
            let poller = &self;
            let polls = addresses.into_iter().map(|(target, address)| async move {
                let result = client::read_report(&poller.client, &address, POLL_TIMEOUT).await;
                poller.reports.record(target, result);
            });
            join_all(polls).await;
        }
    }
}
