use std::{collections::BTreeMap, time::Duration};

use crate::{
    ids::TargetId,
    sync::{EngineReport, TargetObservation, TargetReport},
};

/// Age of a report after which its target counts as down. Allows for two missed polls and the time
/// that a new reporter needs to take over.
const MAX_REPORT_AGE: Duration = Duration::from_secs(3);

/// Health of a target according to its reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetHealth {
    /// No report has arrived yet.
    Unknown,
    /// The latest report is recent.
    Up,
    /// The target has announced that it is about to stop.
    Leaving,
    /// The target is unreachable, or its latest report is too old.
    Down,
}

#[derive(Debug)]
struct ReportRow {
    report: EngineReport,
    read_at: Duration,
    is_reachable: bool,
}

/// Latest report of each engine.
#[derive(Debug, Default)]
pub struct ReportTable {
    rows: BTreeMap<TargetId, ReportRow>,
}

impl ReportTable {
    /// Records the reports that an entry polled, and returns whether they may change the set of
    /// serving copies.
    pub fn record(&mut self, reports: Vec<TargetReport>, now: Duration) -> bool {
        let mut has_changed = false;
        for TargetReport {
            target,
            report,
            age_ms,
        } in reports
        {
            let read_at = now.saturating_sub(Duration::from_millis(age_ms.into()));
            let is_unchanged = match self.rows.get(&target) {
                // After a change of reporter, the last report from the former one may arrive late.
                Some(row) if row.read_at > read_at => continue,
                Some(row) => {
                    row.is_reachable
                        && row.report.copies == report.copies
                        && row.report.is_shutting_down == report.is_shutting_down
                        && now.saturating_sub(row.read_at) <= MAX_REPORT_AGE
                }
                None => false,
            };
            has_changed |= !is_unchanged;
            self.rows.insert(
                target,
                ReportRow {
                    report,
                    read_at,
                    is_reachable: true,
                },
            );
        }
        has_changed
    }

    /// Records whether an entry could reach targets.
    pub fn record_observations(&mut self, observations: &[TargetObservation]) {
        for observation in observations {
            match observation {
                TargetObservation::Unreachable(target) => {
                    if let Some(row) = self.rows.get_mut(target) {
                        row.is_reachable = false;
                    }
                }
                TargetObservation::Reachable(target) => {
                    if let Some(row) = self.rows.get_mut(target) {
                        row.is_reachable = true;
                    }
                }
            }
        }
    }

    /// Returns the health of a target.
    #[must_use]
    pub fn health(&self, target: &TargetId, now: Duration) -> TargetHealth {
        match self.rows.get(target) {
            None => TargetHealth::Unknown,
            Some(row) if !row.is_reachable => TargetHealth::Down,
            Some(row) if now.saturating_sub(row.read_at) > MAX_REPORT_AGE => TargetHealth::Down,
            Some(row) if row.report.is_shutting_down => TargetHealth::Leaving,
            Some(_) => TargetHealth::Up,
        }
    }

    /// Returns the latest report of each engine with the time at which it was read.
    pub fn iter(&self) -> impl Iterator<Item = (&TargetId, &EngineReport, Duration)> {
        self.rows
            .iter()
            .map(|(target, row)| (target, &row.report, row.read_at))
    }

    /// Returns the latest report of a target.
    #[must_use]
    pub fn get(&self, target: &TargetId) -> Option<&EngineReport> {
        self.rows.get(target).map(|row| &row.report)
    }

    /// Removes targets that are no longer configured.
    pub fn retain(&mut self, mut is_configured: impl FnMut(&TargetId) -> bool) {
        self.rows.retain(|target, _| is_configured(target));
    }
}
