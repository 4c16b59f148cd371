use std::{collections::BTreeSet, time::Duration};

use crate::{
    allowance::AllowanceLedger,
    border::FleetConfig,
    ids::{EntryKey, Revision, TeamId, Term},
    soft_state::{
        DemandTable, EntryRegistry, LoadSubscriptions, ReportTable, ReporterAssignments,
        ResidencyLog, ServedTokens, TargetHealth,
    },
    sync::{AvoidedSection, ResidentModel, TargetLoad},
};

/// Soft state of one term. Each term starts with empty tables.
pub struct TermTables {
    pub term: Term,
    /// Time of the first access in this term.
    pub started_at: Duration,
    pub registry: EntryRegistry,
    pub demand: DemandTable,
    pub reports: ReportTable,
    pub residency: ResidencyLog,
    pub served_tokens: ServedTokens,
    pub ledger: AllowanceLedger,
    /// Configuration revision of the limits in the ledger.
    pub limits_revision: Revision,
    /// Teams that have a limit in the ledger.
    pub limited_teams: Vec<TeamId>,
    /// Targets that get no new requests. The version starts in a range of the term, so that it
    /// differs from every version that an earlier leader sent.
    pub avoided: AvoidedSection,
    /// Assignment of engines to the entries that poll them.
    pub assignments: ReporterAssignments,
    pub loads: LoadSubscriptions,
}

impl TermTables {
    pub fn new(term: Term, now: Duration) -> Self {
        Self {
            term,
            started_at: now,
            registry: EntryRegistry::default(),
            demand: DemandTable::default(),
            reports: ReportTable::default(),
            residency: ResidencyLog::new(term),
            served_tokens: ServedTokens::default(),
            ledger: AllowanceLedger::new(term, now),
            limits_revision: 0,
            limited_teams: Vec::new(),
            avoided: AvoidedSection {
                version: term << 32,
                targets: Vec::new(),
            },
            assignments: ReporterAssignments::default(),
            loads: LoadSubscriptions::default(),
        }
    }

    /// Returns the ready copies on configured targets that are up and not draining.
    pub fn serving_copies(&self, config: &FleetConfig, now: Duration) -> BTreeSet<ResidentModel> {
        let usable = config.targets.iter().filter(|target| {
            !target.draining && self.reports.health(&target.id, now) == TargetHealth::Up
        });
        usable
            .filter_map(|target| Some((target, self.reports.get(&target.id)?)))
            .flat_map(|(target, report)| {
                let ready = report.copies.iter().filter(|copy| copy.is_ready);
                ready.map(|copy| ResidentModel {
                    target: target.id.clone(),
                    model: copy.model.clone(),
                    version: copy.version.clone(),
                })
            })
            .collect()
    }

    /// Returns the load updates that are due for an entry.
    pub fn take_loads(&mut self, entry: &EntryKey, now: Duration) -> Vec<TargetLoad> {
        self.loads.take_updates(entry, &self.reports, now)
    }

    /// Returns the avoided targets if the entry's version differs.
    pub fn avoided_change(&self, version: u64) -> Option<AvoidedSection> {
        (version != self.avoided.version).then(|| self.avoided.clone())
    }
}
