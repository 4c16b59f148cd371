use std::collections::{BTreeSet, VecDeque};

use crate::sync::{ResidencySection, ResidentModel};

/// Maximum number of changes that are kept for deltas. Entries sync at least twice a second, and a
/// fleet at the design scale has about ten changes a second at most, so that only a restart needs a
/// snapshot.
const MAX_DELTA_CHANGES: usize = 256;

#[derive(Debug)]
struct ResidencyChange {
    added: Vec<ResidentModel>,
    removed: Vec<ResidentModel>,
}

/// Copies that may receive requests, with the latest changes for deltas.
#[derive(Debug)]
pub struct ResidencyLog {
    version: u64,
    copies: BTreeSet<ResidentModel>,
    /// Latest changes, oldest first. The last one led to `version`.
    changes: VecDeque<ResidencyChange>,
}

impl ResidencyLog {
    /// Returns an empty log. Its version is higher than any that an earlier leader has sent, since
    /// each leader has a higher term.
    #[must_use]
    pub fn new(term: u64) -> Self {
        Self {
            version: term << 32,
            copies: BTreeSet::new(),
            changes: VecDeque::new(),
        }
    }

    /// Replaces the copies, and returns whether they changed.
    pub fn replace(&mut self, copies: BTreeSet<ResidentModel>) -> bool {
        if copies == self.copies {
            return false;
        }
        let change = ResidencyChange {
            added: copies.difference(&self.copies).cloned().collect(),
            removed: self.copies.difference(&copies).cloned().collect(),
        };
        self.changes.push_back(change);
        if self.changes.len() > MAX_DELTA_CHANGES {
            self.changes.pop_front();
        }
        self.copies = copies;
        self.version += 1;
        true
    }

    /// Returns the current version.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the update for an entry with version `from`.
    #[must_use]
    pub fn since(&self, from: u64) -> ResidencySection {
        if from == self.version {
            return ResidencySection::Current;
        }
        let missed = usize::try_from(self.version.wrapping_sub(from)).unwrap_or(usize::MAX);
        if missed > self.changes.len() {
            return ResidencySection::Snapshot(self.version, self.copies.iter().cloned().collect());
        }
        let mut added = BTreeSet::new();
        let mut removed = BTreeSet::new();
        for change in self.changes.iter().skip(self.changes.len() - missed) {
            for copy in &change.added {
                if !removed.remove(copy) {
                    added.insert(copy.clone());
                }
            }
            for copy in &change.removed {
                if !added.remove(copy) {
                    removed.insert(copy.clone());
                }
            }
        }
        ResidencySection::Delta {
            from,
            to: self.version,
            added: added.into_iter().collect(),
            removed: removed.into_iter().collect(),
        }
    }
}
