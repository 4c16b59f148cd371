use std::collections::{BTreeMap, HashMap};

use super::model_waits::WantedModel;
use crate::{
    adapter::TargetEntry,
    ids::{TargetId, Term},
    sync::{ListVersion, TargetDigest, TargetHash, TargetList, target_hash},
};

/// Maximum number of removals that are kept. A gateway that has missed older ones gets the whole
/// list.
const MAX_REMOVALS: usize = 256;

/// Versioned list of targets for gateways. Each entry has the version of its last change, so that a
/// change of one target is sent as one entry and not as the full list; see docs/platform.md.
#[derive(Debug, Default)]
pub struct TargetHistory {
    number: u64,
    /// Gateways with an older version get the full list, since removals after it are not kept.
    first_number: u64,
    entries: BTreeMap<TargetId, ListedTarget>,
    /// Removed targets with the version of the removal.
    removals: Vec<(u64, TargetId)>,
    /// Ids of the targets by their hashes.
    ids: HashMap<TargetHash, TargetId>,
}

/// A target with the version of its last change.
#[derive(Debug)]
struct ListedTarget {
    number: u64,
    entry: TargetEntry,
    /// Digest of the entry. It is made with the change and not with each comparison, since a new
    /// leader compares the lists of all gateways within a second.
    digest: Option<TargetDigest>,
}

impl ListedTarget {
    fn new(number: u64, entry: TargetEntry) -> Self {
        let digest = TargetDigest::new(&entry);
        if let Err(error) = &digest {
            spdlog::error!(
                "place: {} has no digest, it is sent with each comparison: {error}",
                entry.id
            );
        }
        Self {
            number,
            digest: digest.ok(),
            entry,
        }
    }
}

impl TargetHistory {
    /// Returns an empty history.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the targets, and returns whether any of them changed.
    pub fn update(&mut self, targets: Vec<TargetEntry>) -> bool {
        let next = self.number + 1;
        let mut previous = std::mem::take(&mut self.entries);
        let mut is_changed = false;
        for target in targets {
            let unchanged = previous.remove(&target.id);
            let unchanged = unchanged.filter(|known| known.entry == target);
            is_changed |= unchanged.is_none();
            let listed = unchanged.unwrap_or_else(|| ListedTarget::new(next, target));
            let id = listed.entry.id.clone();
            self.ids.insert(target_hash(&id), id.clone());
            self.entries.insert(id, listed);
        }
        is_changed |= !previous.is_empty();
        for removed in previous.keys() {
            self.ids.remove(&target_hash(removed));
        }
        self.removals
            .extend(previous.into_keys().map(|target| (next, target)));
        if is_changed {
            self.number = next;
        }
        self.forget_removals();
        is_changed
    }

    /// Adds or replaces some targets, and returns whether any of them changed.
    pub fn upsert(&mut self, targets: Vec<TargetEntry>) -> bool {
        let next = self.number + 1;
        for target in targets {
            let known = self.entries.get(&target.id);
            if known.is_none_or(|known| known.entry != target) {
                self.number = next;
                let id = target.id.clone();
                self.ids.insert(target_hash(&id), id.clone());
                self.entries.insert(id, ListedTarget::new(next, target));
            }
        }
        self.number == next
    }

    /// Removes targets.
    pub fn remove(&mut self, removed: &[TargetId]) {
        let next = self.number + 1;
        for target in removed {
            if self.entries.remove(target).is_some() {
                self.number = next;
                self.ids.remove(&target_hash(target));
                self.removals.push((next, target.clone()));
            }
        }
        self.forget_removals();
    }

    fn forget_removals(&mut self) {
        while self.removals.len() > MAX_REMOVALS {
            self.first_number = self.removals.remove(0).0;
        }
    }

    /// Returns the version of the current list in a term.
    #[must_use]
    pub fn version(&self, term: Term) -> ListVersion {
        ListVersion {
            term,
            number: self.number,
        }
    }

    /// Returns whether a target holds one of the models in an allowed data centre.
    #[must_use]
    pub fn holds_any(&self, wanted: &[WantedModel]) -> bool {
        let mut targets = self.entries.values().map(|listed| &listed.entry);
        targets.any(|target| {
            let mut allowed = wanted
                .iter()
                .filter(|wanted| wanted.data_centres.allows(&target.data_centre))
                .map(|wanted| &wanted.model.model);
            allowed.any(|model| {
                let mut held = target.models.iter();
                held.any(|held| held.model == *model || held.adapters.contains(model))
            })
        })
    }

    /// Returns the changes for a gateway that has the list `held`; `None` when it is up to date.
    #[must_use]
    pub fn changes_since(&self, held: ListVersion, term: Term) -> Option<TargetList> {
        let version = self.version(term);
        if held == version {
            return None;
        }
        let is_known = self.is_known(held, term);
        let after = if is_known { held.number } else { 0 };
        let changed = self.entries.values().filter(|listed| listed.number > after);
        let removed = self.removals.iter().filter(|(number, target)| {
            is_known && *number > after && !self.entries.contains_key(target)
        });
        Some(TargetList {
            version,
            base: is_known.then_some(held),
            targets: changed.map(|listed| listed.entry.clone()).collect(),
            removed: removed.map(|(_, target)| target.clone()).collect(),
            unknown: Vec::new(),
        })
    }

    /// Returns the changes for a gateway whose list `held` is known by its digest only, such as one
    /// of an earlier term. Sending the full list to each of hundreds of gateways would keep a new
    /// leader from serving them for seconds.
    #[must_use]
    pub fn changes_from(
        &self,
        digest: &[TargetDigest],
        held: ListVersion,
        term: Term,
    ) -> TargetList {
        let known: HashMap<TargetHash, u64> = digest
            .iter()
            .map(|digest| (digest.target, digest.entry))
            .collect();
        let targets = self.entries.values().filter(|listed| {
            listed
                .digest
                .is_none_or(|digest| known.get(&digest.target) != Some(&digest.entry))
        });
        let unknown = known.keys().filter(|target| !self.ids.contains_key(target));
        TargetList {
            version: self.version(term),
            base: Some(held),
            targets: targets.map(|listed| listed.entry.clone()).collect(),
            removed: Vec::new(),
            unknown: unknown.copied().collect(),
        }
    }

    /// Returns whether changes since the list `held` are known.
    #[must_use]
    pub fn is_known(&self, held: ListVersion, term: Term) -> bool {
        held.term == term && held.number >= self.first_number && held.number > 0
    }
}
