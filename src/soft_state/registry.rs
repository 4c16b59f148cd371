use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use compact_str::CompactString;

use crate::{
    ids::{DataCentreId, EntryKey, Revision},
    sync::SyncRequest,
};

/// Time without a sync after which an entry is removed: the three seconds for which its allowance
/// is valid, plus 20% for the specified clock drift.
const ENTRY_TIMEOUT: Duration = Duration::from_millis(3_600);

/// State of a live entry as of its last sync.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryStatus {
    /// Data centre of the entry.
    pub data_centre: DataCentreId,
    /// Revision of the configuration that the entry had in force.
    pub revision: Revision,
    /// Version of the crash table that the entry had.
    pub crash_table_version: u64,
    /// Time of the last sync.
    pub last_sync: Duration,
}

/// The entries that sync with this leader.
#[derive(Debug, Default)]
pub struct EntryRegistry {
    entries: BTreeMap<EntryKey, EntryStatus>,
    /// Incarnations that announced that they are shutting down. They are not assigned any engines to
    /// poll.
    shutting_down: BTreeSet<EntryKey>,
}

impl EntryRegistry {
    /// Records a sync and returns the entry's key.
    pub fn record(&mut self, request: &SyncRequest, now: Duration) -> EntryKey {
        let key = EntryKey {
            vm: request.vm.clone(),
            incarnation: request.incarnation,
        };
        let status = EntryStatus {
            data_centre: request.data_centre.clone(),
            revision: request.revision,
            crash_table_version: request.crashes_version,
            last_sync: now,
        };
        self.entries.insert(key.clone(), status);
        if request.is_shutting_down {
            self.shutting_down.insert(key.clone());
        }
        key
    }

    /// Removes the entries that have not synced within the timeout, and returns them.
    pub fn expire(&mut self, now: Duration) -> Vec<EntryKey> {
        let is_expired =
            |status: &EntryStatus| now.saturating_sub(status.last_sync) > ENTRY_TIMEOUT;
        let expired: Vec<EntryKey> = self
            .entries
            .iter()
            .filter(|(_, status)| is_expired(status))
            .map(|(key, _)| key.clone())
            .collect();
        for key in &expired {
            self.entries.remove(key);
            self.shutting_down.remove(key);
        }
        expired
    }

    /// Returns all live entries.
    pub fn iter(&self) -> impl Iterator<Item = (&EntryKey, &EntryStatus)> {
        self.entries.iter()
    }

    /// Returns the entries that can be assigned as reporters: those that are not shutting down.
    pub fn reporter_candidates(&self) -> impl Iterator<Item = (&EntryKey, &EntryStatus)> {
        self.entries
            .iter()
            .filter(|(key, _)| !self.shutting_down.contains(*key))
    }

    /// Returns the VMs whose entries have an earlier revision than `revision` in force and may
    /// still serve requests, because they synced within `freshness_bound`.
    #[must_use]
    pub fn vms_behind(
        &self,
        revision: Revision,
        freshness_bound: Duration,
        now: Duration,
    ) -> Vec<CompactString> {
        let may_serve =
            |status: &EntryStatus| now.saturating_sub(status.last_sync) <= freshness_bound;
        self.entries
            .iter()
            .filter(|(_, status)| status.revision < revision && may_serve(status))
            .map(|(key, _)| key.vm.clone())
            .collect()
    }

    /// Returns whether every entry that may still serve requests has at least this version of the
    /// crash table.
    #[must_use]
    pub fn all_have_crash_table(
        &self,
        version: u64,
        freshness_bound: Duration,
        now: Duration,
    ) -> bool {
        self.entries.values().all(|status| {
            status.crash_table_version >= version
                || now.saturating_sub(status.last_sync) > freshness_bound
        })
    }

    /// Returns the number of live entries.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no entry is live.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
