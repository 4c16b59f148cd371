use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use compact_str::CompactString;

use crate::{
    ids::{DataCentreId, EntryKey, Revision},
    sync::SyncRequest,
};

/// Silence after which an entry counts as gone: three seconds of its allowance's validity, with
/// the stated drift of 20%.
const SILENCE_LIMIT: Duration = Duration::from_millis(3_600);

/// What the leader knows of a live entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryStatus {
    /// Data centre of the entry.
    pub data_centre: DataCentreId,
    /// Revision that the entry had in force at its last sync.
    pub revision: Revision,
    /// Version of the crash table that the entry had at its last sync.
    pub crash_table_version: u64,
    /// Time of the last sync.
    pub last_sync: Duration,
}

/// The entries that sync with this leader.
#[derive(Debug, Default)]
pub struct EntryRegistry {
    entries: BTreeMap<EntryKey, EntryStatus>,
    /// Incarnations whose latest sync said that they leave; they get no reporting duty.
    leaving: BTreeSet<EntryKey>,
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
            self.leaving.insert(key.clone());
        }
        key
    }

    /// Removes the entries that were silent for too long and returns them.
    pub fn expire(&mut self, now: Duration) -> Vec<EntryKey> {
        let is_gone = |status: &EntryStatus| now.saturating_sub(status.last_sync) > SILENCE_LIMIT;
        let gone: Vec<EntryKey> = self
            .entries
            .iter()
            .filter(|(_, status)| is_gone(status))
            .map(|(key, _)| key.clone())
            .collect();
        for key in &gone {
            self.entries.remove(key);
            self.leaving.remove(key);
        }
        gone
    }

    /// Returns all entries that are not known to be gone.
    pub fn iter(&self) -> impl Iterator<Item = (&EntryKey, &EntryStatus)> {
        self.entries.iter()
    }

    /// Returns the entries that can take on reporting duty.
    pub fn reporter_candidates(&self) -> impl Iterator<Item = (&EntryKey, &EntryStatus)> {
        self.entries
            .iter()
            .filter(|(key, _)| !self.leaving.contains(*key))
    }

    /// Returns the VMs whose entries do not have `revision` in force although they still may
    /// serve, since they synced within `freshness_bound`.
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

    /// Tells whether every entry that may serve has this version of the crash table.
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

    /// Tells whether no entry is live.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
