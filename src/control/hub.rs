use std::{
    collections::BTreeMap,
    sync::{Mutex, PoisonError},
};

use tokio::sync::watch;

use crate::{
    ids::TargetId,
    state::ControlState,
    sync::{ConfigSection, EngineReport, ResidencySection, ResidentModel, SyncReply, SyncRequest},
    voter::{LeaderLease, VoterHandle},
};

/// Soft state that the leader keeps about entries and engines.
pub struct SyncHub {
    voter: VoterHandle,
    residency: Mutex<ResidencyTable>,
    changes: watch::Sender<u64>,
}

#[derive(Default)]
struct ResidencyTable {
    version: u64,
    copies: Vec<ResidentModel>,
}

impl SyncHub {
    pub fn new(voter: VoterHandle) -> Self {
        Self {
            voter,
            residency: Mutex::default(),
            changes: watch::channel(0).0,
        }
    }

    /// Derives the residency table from the engines' reports.
    pub fn record_reports(&self, reports: &BTreeMap<TargetId, EngineReport>) {
        let ready = |target: &TargetId, report: &EngineReport| {
            let copies = report.copies.iter().filter(|copy| copy.ready);
            copies
                .map(|copy| ResidentModel {
                    target: target.clone(),
                    model: copy.model.clone(),
                    version: copy.version.clone(),
                })
                .collect::<Vec<_>>()
        };
        let copies: Vec<_> = reports
            .iter()
            .flat_map(|(target, report)| ready(target, report))
            .collect();
        let mut table = self
            .residency
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if table.copies != copies {
            table.copies = copies;
            table.version += 1;
            self.changes.send_replace(table.version);
        }
    }

    /// Builds the reply to an entry's sync; `lease` proves that this voter leads.
    pub fn reply(&self, request: &SyncRequest, lease: LeaderLease) -> SyncReply {
        let config = match self.voter.local(ControlState::config) {
            (revision, Some(config)) if revision != request.revision => {
                ConfigSection::Snapshot(revision, Box::new((*config).clone()))
            }
            _ => ConfigSection::Current,
        };
        let table = self
            .residency
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let residency = if table.version == request.residency {
            ResidencySection::Current
        } else {
            ResidencySection::Snapshot(table.version, table.copies.clone())
        };
        SyncReply {
            serial: request.serial,
            term: lease.term,
            config,
            residency,
            grants: Vec::new(),
            served_elsewhere: Vec::new(),
            assigned: Vec::new(),
        }
    }

    /// Tells whether a reply to `request` would bring news.
    pub fn has_news(&self, request: &SyncRequest) -> bool {
        let revision = self.voter.local(|state| state.config().0);
        let table = self
            .residency
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        revision != request.revision || table.version != request.residency
    }

    /// Returns a receiver that changes with the residency table.
    pub fn watch(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }
}
