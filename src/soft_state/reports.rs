use std::{collections::BTreeMap, time::Duration};

use crate::{
    ids::TargetId,
    sync::{EngineReport, TargetObservation, TargetReport},
};

/// Age of a report after which its target counts as down: two missed polls of a reporter and the
/// time that a new reporter needs to take over.
const REPORT_LIFETIME: Duration = Duration::from_secs(3);

/// Whether a target can take requests, as far as the leader knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetHealth {
    /// No report has arrived yet.
    Unknown,
    /// The latest report is recent.
    Up,
    /// The target says that it is about to stop.
    Leaving,
    /// The target cannot be reached.
    Down,
}

#[derive(Debug)]
struct ReportRow {
    report: EngineReport,
    received_at: Duration,
    reachable: bool,
}

/// Latest report of each engine.
#[derive(Debug, Default)]
pub struct ReportTable {
    rows: BTreeMap<TargetId, ReportRow>,
}

impl ReportTable {
    /// Records what an entry polled, and tells whether it changes which copies serve.
    pub fn record(&mut self, reports: Vec<TargetReport>, now: Duration) -> bool {
        let mut changes_copies = false;
        for TargetReport {
            target,
            report,
            age_ms,
        } in reports
        {
            let received_at = now.saturating_sub(Duration::from_millis(age_ms.into()));
            let is_same = match self.rows.get(&target) {
                // After a change of reporter, the former one's last report may arrive late.
                Some(row) if row.received_at > received_at => continue,
                Some(row) => {
                    row.reachable
                        && row.report.copies == report.copies
                        && row.report.is_shutting_down == report.is_shutting_down
                        && now.saturating_sub(row.received_at) <= REPORT_LIFETIME
                }
                None => false,
            };
            changes_copies |= !is_same;
            self.rows.insert(
                target,
                ReportRow {
                    report,
                    received_at,
                    reachable: true,
                },
            );
        }
        changes_copies
    }

    /// Records what an entry saw of targets besides reports.
    pub fn record_observations(&mut self, observations: &[TargetObservation]) {
        for observation in observations {
            match observation {
                TargetObservation::Unreachable(target) => {
                    if let Some(row) = self.rows.get_mut(target) {
                        row.reachable = false;
                    }
                }
                TargetObservation::Reachable(target) => {
                    if let Some(row) = self.rows.get_mut(target) {
                        row.reachable = true;
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
            Some(row) if !row.reachable => TargetHealth::Down,
            Some(row) if now.saturating_sub(row.received_at) > REPORT_LIFETIME => {
                TargetHealth::Down
            }
            Some(row) if row.report.is_shutting_down => TargetHealth::Leaving,
            Some(_) => TargetHealth::Up,
        }
    }

    /// Returns the latest report of each engine with the time it arrived.
    pub fn iter(&self) -> impl Iterator<Item = (&TargetId, &EngineReport, Duration)> {
        self.rows
            .iter()
            .map(|(target, row)| (target, &row.report, row.received_at))
    }

    /// Returns the latest report of a target.
    #[must_use]
    pub fn get(&self, target: &TargetId) -> Option<&EngineReport> {
        self.rows.get(target).map(|row| &row.report)
    }

    /// Forgets targets that are no longer configured.
    pub fn retain(&mut self, mut is_configured: impl FnMut(&TargetId) -> bool) {
        self.rows.retain(|target, _| is_configured(target));
    }
}
