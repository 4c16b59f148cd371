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

/// Tables of one term; a new term starts with empty ones.
pub struct TermTables {
    pub term: Term,
    /// Time at which the term's first request arrived here.
    pub since: Duration,
    pub registry: EntryRegistry,
    pub demand: DemandTable,
    pub reports: ReportTable,
    pub residency: ResidencyLog,
    pub served: ServedTokens,
    pub ledger: AllowanceLedger,
    /// Revision whose limits the ledger has.
    pub limits_of: Revision,
    /// Teams that have a limit in the ledger.
    pub limited: Vec<TeamId>,
    /// Targets that get no new requests. The version starts in the term's own range, so that no
    /// earlier leader has given it out.
    pub avoided: AvoidedSection,
    /// Engines that each entry polls.
    pub duties: ReporterAssignments,
    pub loads: LoadSubscriptions,
}

impl TermTables {
    pub fn new(term: Term, now: Duration) -> Self {
        Self {
            term,
            since: now,
            registry: EntryRegistry::default(),
            demand: DemandTable::default(),
            reports: ReportTable::default(),
            residency: ResidencyLog::new(term),
            served: ServedTokens::default(),
            ledger: AllowanceLedger::new(term, now),
            limits_of: 0,
            limited: Vec::new(),
            avoided: AvoidedSection {
                version: term << 32,
                targets: Vec::new(),
            },
            duties: ReporterAssignments::default(),
            loads: LoadSubscriptions::default(),
        }
    }

    /// Copies that are ready on targets that are configured, up and not leaving.
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

    pub fn take_loads(&mut self, entry: &EntryKey, now: Duration) -> Vec<TargetLoad> {
        self.loads.take_updates(entry, &self.reports, now)
    }

    /// The avoided targets, if the entry has another version.
    pub fn avoided_change(&self, version: u64) -> Option<AvoidedSection> {
        (version != self.avoided.version).then(|| self.avoided.clone())
    }
}
