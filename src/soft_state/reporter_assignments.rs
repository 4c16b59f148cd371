use std::collections::HashMap;

use super::{EntryRegistry, assign_reporter};
use crate::{
    border::{FleetConfig, TargetKind},
    ids::{EntryKey, Revision, TargetId},
};

/// Assignment of engines to the entries that poll their reports.
///
/// It is recomputed only when the entries or the configuration change, since it costs one hash for
/// each pair of an entry and an engine.
#[derive(Debug, Default)]
pub struct ReporterAssignments {
    entries: Vec<EntryKey>,
    revision: Revision,
    by_entry: HashMap<EntryKey, Vec<TargetId>>,
}

impl ReporterAssignments {
    /// Recomputes the assignment if the entries or the configuration changed.
    pub fn refresh(&mut self, registry: &EntryRegistry, revision: Revision, config: &FleetConfig) {
        let entries: Vec<EntryKey> = registry
            .reporter_candidates()
            .map(|(key, _)| key.clone())
            .collect();
        if entries == self.entries && revision == self.revision {
            return;
        }
        let mut by_entry: HashMap<EntryKey, Vec<TargetId>> = HashMap::new();
        let engines = config
            .targets
            .iter()
            .filter(|target| target.kind == TargetKind::Engine);
        for target in engines {
            let reporters = registry.reporter_candidates();
            if let Some(entry) = assign_reporter(&target.id, &target.data_centre, reporters) {
                by_entry
                    .entry(entry.clone())
                    .or_default()
                    .push(target.id.clone());
            }
        }
        *self = Self {
            entries,
            revision,
            by_entry,
        };
    }

    /// Returns the engines that an entry polls.
    #[must_use]
    pub fn targets_of(&self, entry: &EntryKey) -> &[TargetId] {
        self.by_entry.get(entry).map_or(&[], Vec::as_slice)
    }
}
