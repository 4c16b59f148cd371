use std::collections::BTreeMap;

use crate::{
    adapter::TargetEntry,
    ids::{TargetId, Term},
    sync::{ListVersion, TargetList},
};

/// Removals that are remembered; a gateway that missed older ones gets the whole list.
const MOST_REMOVALS: usize = 256;

/// The list of targets that gateways follow, with what changed in each version, so that a change at
/// one target costs the size of its entry and not of the list; see docs/platform.md.
#[derive(Debug, Default)]
pub struct TargetHistory {
    number: u64,
    /// Versions before this one are answered with the whole list.
    first_number: u64,
    entries: BTreeMap<TargetId, (u64, TargetEntry)>,
    removals: Vec<(u64, TargetId)>,
}

impl TargetHistory {
    /// Returns an empty journal.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Brings the list up to date. Returns whether anything changed.
    pub fn update(&mut self, targets: Vec<TargetEntry>) -> bool {
        let next = self.number + 1;
        let mut former = std::mem::take(&mut self.entries);
        let mut is_changed = false;
        for target in targets {
            let kept = former.remove(&target.id);
            let kept = kept.filter(|(_, known)| *known == target);
            is_changed |= kept.is_none();
            let entry = kept.unwrap_or((next, target));
            self.entries.insert(entry.1.id.clone(), entry);
        }
        is_changed |= !former.is_empty();
        self.removals
            .extend(former.into_keys().map(|target| (next, target)));
        if is_changed {
            self.number = next;
        }
        while self.removals.len() > MOST_REMOVALS {
            self.first_number = self.removals.remove(0).0;
        }
        is_changed
    }

    /// Names the current list within a term.
    #[must_use]
    pub fn version(&self, term: Term) -> ListVersion {
        ListVersion {
            term,
            number: self.number,
        }
    }

    /// Returns what a gateway lacks that has the list `held`; `None` when it lacks nothing.
    #[must_use]
    pub fn changes_since(&self, held: ListVersion, term: Term) -> Option<TargetList> {
        let version = self.version(term);
        if held == version {
            return None;
        }
        let is_known = held.term == term && held.number >= self.first_number && held.number > 0;
        let after = if is_known { held.number } else { 0 };
        let changed = self.entries.values().filter(|(number, _)| *number > after);
        let gone = self.removals.iter().filter(|(number, target)| {
            is_known && *number > after && !self.entries.contains_key(target)
        });
        Some(TargetList {
            version,
            base: is_known.then_some(held),
            targets: changed.map(|(_, target)| target.clone()).collect(),
            removed: gone.map(|(_, target)| target.clone()).collect(),
        })
    }
}
