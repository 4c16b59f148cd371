use std::{
    collections::HashMap,
    sync::{Arc, PoisonError, RwLock},
    time::{Duration, Instant},
};

use tokio::sync::watch;

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
pub struct SharedView {
    current: RwLock<Arc<EntryView>>,
    revisions: watch::Sender<Revision>,
    residency: watch::Sender<u64>,
}

impl Default for SharedView {
    fn default() -> Self {
        Self {
            current: RwLock::default(),
            revisions: watch::channel(0).0,
            residency: watch::channel(0).0,
        }
    }
}

impl SharedView {
    /// Returns the current view.
    pub fn get(&self) -> Arc<EntryView> {
        Arc::clone(&self.current.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Replaces the current view.
    pub fn set(&self, view: EntryView) {
        let (revision, residency) = (view.revision, view.residency_version);
        *self.current.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(view);
        notify(&self.revisions, revision);
        notify(&self.residency, residency);
    }

    /// Returns a receiver that changes with the revision in force.
    pub fn watch_revision(&self) -> watch::Receiver<Revision> {
        self.revisions.subscribe()
    }

    /// Returns a receiver that changes with the residency table.
    pub fn watch_residency(&self) -> watch::Receiver<u64> {
        self.residency.subscribe()
    }
}

/// Wakes the receivers only when the value differs, since each sync sets the view.
fn notify(sender: &watch::Sender<u64>, value: u64) {
    sender.send_if_modified(|current| {
        let differs = *current != value;
        *current = value;
        differs
    });
}
