use std::{
    collections::{HashMap, HashSet},
    sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock},
    time::{Duration, Instant},
};

use tokio::sync::watch;

use super::crash_snapshot::CrashSnapshot;
use crate::{
    border::FleetConfig,
    clock::BootInstant,
    fleet::FleetIndex,
    ids::{ModelId, Revision, TargetId, TeamId, Term, VersionId},
    sync::{ConfigSection, ResidencySection, ResidentModel, SyncReply, TargetLoad},
};

/// Targets and versions at which each model may receive requests.
pub type ResidencyTable = HashMap<ModelId, Vec<(TargetId, VersionId)>>;

/// An immutable snapshot of the fleet's state, replaced with each sync.
#[derive(Clone, Debug, Default)]
pub struct EntryView {
    /// Configuration revision.
    pub revision: Revision,
    /// Configuration of the revision; `None` before the first one.
    pub config: Option<Arc<FleetConfig>>,
    /// Lookup tables built from the configuration.
    pub index: Arc<FleetIndex>,
    /// Version of the residency table.
    pub residency_version: u64,
    /// Targets that hold a copy of each model.
    pub residency: Arc<ResidencyTable>,
    /// Version of the list of avoided targets.
    pub avoided_version: u64,
    /// Targets excluded from new requests.
    pub avoided: Arc<HashSet<TargetId>>,
    /// Requests that crashed targets.
    pub crashes: Arc<CrashSnapshot>,
    /// Send time of the last sync that the leader confirmed; `None` before the first one.
    pub confirmed_at: Option<BootInstant>,
}

impl EntryView {
    /// Returns whether the leader confirmed the view within `bound`.
    #[must_use]
    pub fn is_fresh(&self, bound: Duration) -> bool {
        self.confirmed_at
            .is_some_and(|requested_at| requested_at.elapsed() <= bound)
    }

    fn set_config(&mut self, revision: Revision, config: FleetConfig) {
        self.revision = revision;
        self.index = Arc::new(FleetIndex::new(&config));
        self.config = Some(Arc::new(config));
    }

    /// Returns the view after the reply to a sync that was sent at `requested_at`.
    #[must_use]
    pub fn with_reply(mut self, reply: SyncReply, requested_at: BootInstant) -> Self {
        match reply.config {
            // Revisions only increase, even if replies arrive out of order.
            ConfigSection::Snapshot(revision, config) if revision > self.revision => {
                self.set_config(revision, *config);
            }
            ConfigSection::Delta { from, to, delta } if from == self.revision && to > from => {
                let changed = self.config.as_ref().map(|config| delta.apply_to(config));
                // If the delta does not apply, revision 0 makes the next sync request a full
                // configuration, and the return skips the confirmation of the old one.
                let Some(Ok(config)) = changed else {
                    self.revision = 0;
                    return self;
                };
                self.set_config(to, config);
            }
            _ => {}
        }
        match reply.residency {
            ResidencySection::Snapshot(version, copies) => {
                let mut table = ResidencyTable::new();
                add_copies(&mut table, copies);
                self.residency_version = version;
                self.residency = Arc::new(table);
            }
            ResidencySection::Delta {
                from,
                to,
                added,
                removed,
            } if from == self.residency_version => {
                let table = Arc::make_mut(&mut self.residency);
                remove_copies(table, &removed);
                add_copies(table, added);
                self.residency_version = to;
            }
            _ => {}
        }
        if let Some(avoided) = reply.avoided {
            self.avoided_version = avoided.version;
            self.avoided = Arc::new(avoided.targets.into_iter().collect());
        }
        if let Some(crashes) = reply.crashes {
            self.crashes = Arc::new(CrashSnapshot::new(crashes));
        }
        self.confirmed_at = self.confirmed_at.max(Some(requested_at));
        self
    }
}

fn add_copies(table: &mut ResidencyTable, copies: Vec<ResidentModel>) {
    for copy in copies {
        table
            .entry(copy.model)
            .or_default()
            .push((copy.target, copy.version));
    }
}

fn remove_copies(table: &mut ResidencyTable, copies: &[ResidentModel]) {
    for copy in copies {
        if let Some(held) = table.get_mut(&copy.model) {
            held.retain(|(target, version)| *target != copy.target || *version != copy.version);
        }
    }
    table.retain(|_, held| !held.is_empty());
}

/// The current view, shared by all requests, with notification of changes.
pub struct SharedView {
    current: RwLock<Arc<EntryView>>,
    revisions: watch::Sender<Revision>,
    residency: watch::Sender<u64>,
    syncs: watch::Sender<u64>,
    updates: Mutex<Vec<SyncUpdate>>,
}

/// Parts of a sync reply that the scheduler must apply exactly once.
#[derive(Debug)]
pub struct SyncUpdate {
    /// Arrival time of the reply.
    pub received: Instant,
    /// Term of the leader that replied.
    pub term: Term,
    /// Changed target loads.
    pub loads: Vec<TargetLoad>,
    /// Cumulative tokens that other entries have served to each team in this term.
    pub served_elsewhere: Vec<(TeamId, u64)>,
}

impl Default for SharedView {
    fn default() -> Self {
        Self {
            current: RwLock::default(),
            revisions: watch::channel(0).0,
            residency: watch::channel(0).0,
            syncs: watch::channel(0).0,
            updates: Mutex::default(),
        }
    }
}

impl SharedView {
    /// Returns the current view.
    pub fn get(&self) -> Arc<EntryView> {
        Arc::clone(&self.current.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Applies the reply to a sync that was sent at `requested_at`, and returns the revision if it
    /// is new.
    pub fn update(&self, mut reply: SyncReply, requested_at: BootInstant) -> Option<Revision> {
        let update = SyncUpdate {
            received: Instant::now(),
            term: reply.term,
            loads: std::mem::take(&mut reply.loads),
            served_elsewhere: std::mem::take(&mut reply.served_elsewhere),
        };
        self.lock_updates().push(update);
        let mut current = self.current.write().unwrap_or_else(PoisonError::into_inner);
        let before = current.revision;
        let next = EntryView::clone(&current).with_reply(reply, requested_at);
        let (revision, residency) = (next.revision, next.residency_version);
        *current = Arc::new(next);
        drop(current);
        notify(&self.revisions, revision);
        notify(&self.residency, residency);
        self.syncs.send_modify(|count| *count += 1);
        (revision != before).then_some(revision)
    }

    /// Removes and returns the updates since the last call.
    pub fn take_updates(&self) -> Vec<SyncUpdate> {
        std::mem::take(&mut *self.lock_updates())
    }

    fn lock_updates(&self) -> MutexGuard<'_, Vec<SyncUpdate>> {
        self.updates.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a receiver that is notified of each sync.
    pub fn watch_syncs(&self) -> watch::Receiver<u64> {
        self.syncs.subscribe()
    }

    /// Returns a receiver that is notified of a new revision.
    pub fn watch_revision(&self) -> watch::Receiver<Revision> {
        self.revisions.subscribe()
    }

    /// Returns a receiver that is notified of a new residency table.
    pub fn watch_residency(&self) -> watch::Receiver<u64> {
        self.residency.subscribe()
    }
}

/// Notifies the receivers only if the value differs, since each sync updates the view.
fn notify(sender: &watch::Sender<u64>, value: u64) {
    sender.send_if_modified(|current| {
        let differs = *current != value;
        *current = value;
        differs
    });
}
