use std::{
    collections::HashMap,
    sync::{Arc, PoisonError, RwLock},
    time::{Duration, Instant},
};

use crate::{
    fleet::FleetIndex,
    ids::{ModelId, Revision, TargetId, VersionId},
    sync::{ConfigSection, ResidencySection, SyncReply},
};

/// Copies of each model that may receive requests.
pub type ResidencyTable = HashMap<ModelId, Vec<(TargetId, VersionId)>>;

/// What an entry knows of the fleet, replaced as a whole with each sync.
#[derive(Clone, Debug, Default)]
pub struct EntryView {
    /// Revision in force.
    pub revision: Revision,
    /// Lookup tables of the revision.
    pub index: Arc<FleetIndex>,
    /// Version of the residency table.
    pub residency_version: u64,
    /// Copies of each model.
    pub residency: Arc<ResidencyTable>,
    /// Moment at which the entry asked for the latest proof; `None` before the first one.
    pub proven_at: Option<Instant>,
}

impl EntryView {
    /// Tells whether the view was proved fresh within `bound`.
    pub fn is_fresh(&self, bound: Duration) -> bool {
        self.proven_at.is_some_and(|asked| asked.elapsed() <= bound)
    }

    /// Returns the view after a reply to a sync that was asked at `asked`.
    #[must_use]
    pub fn with_reply(mut self, reply: SyncReply, asked: Instant) -> Self {
        match reply.config {
            // Revisions only move forward, also when replies overtake each other.
            ConfigSection::Snapshot(revision, config) if revision > self.revision => {
                self.revision = revision;
                self.index = Arc::new(FleetIndex::new(&config));
            }
            _ => {}
        }
        if let ResidencySection::Snapshot(version, copies) = reply.residency {
            let mut table = ResidencyTable::new();
            for copy in copies {
                table
                    .entry(copy.model)
                    .or_default()
                    .push((copy.target, copy.version));
            }
            self.residency_version = version;
            self.residency = Arc::new(table);
        }
        self.proven_at = self.proven_at.max(Some(asked));
        self
    }
}

/// The current view, shared by all requests.
#[derive(Default)]
pub struct SharedView {
    current: RwLock<Arc<EntryView>>,
}

impl SharedView {
    /// Returns the current view.
    pub fn get(&self) -> Arc<EntryView> {
        Arc::clone(&self.current.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Replaces the current view.
    pub fn set(&self, view: EntryView) {
        *self.current.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(view);
    }
}
