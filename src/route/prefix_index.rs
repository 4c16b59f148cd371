use std::{collections::HashMap, time::Duration};

use smallvec::SmallVec;

/// Maximum number of replicas recorded per prefix; further copies do not improve routing.
const MAX_HOLDERS: usize = 4;

/// A replica that is expected to have a prefix in its cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrefixHolder {
    /// Index of the replica in the table.
    pub replica: u32,
    /// Generation of the replica at that index.
    pub generation: u32,
    /// Time of the latest evidence.
    pub seen_at: Duration,
}

type HolderList = SmallVec<[PrefixHolder; MAX_HOLDERS]>;

/// Approximate index of the replicas that have each prefix in their cache.
///
/// Prefixes are kept in two generations. When the young generation reaches half of the capacity,
/// the old one is dropped and the young one replaces it. Memory is bounded and each operation takes
/// constant time. Adding a prefix moves it to the young generation, so prefixes in use are kept.
#[derive(Debug)]
pub struct PrefixIndex {
    generation_capacity: usize,
    young: HashMap<u64, HolderList>,
    old: HashMap<u64, HolderList>,
}

impl PrefixIndex {
    /// Returns an empty index for at most `capacity` prefixes.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            generation_capacity: (capacity / 2).max(1),
            young: HashMap::new(),
            old: HashMap::new(),
        }
    }

    /// Returns the replicas that are expected to have the prefix.
    #[must_use]
    pub fn holders(&self, hash: u64) -> &[PrefixHolder] {
        let known = self.young.get(&hash).or_else(|| self.old.get(&hash));
        known.map_or(&[], |holders| holders)
    }

    /// Records that a replica has the prefix. The holder with the oldest evidence is replaced when
    /// the prefix has the maximum number of holders.
    pub fn add(&mut self, hash: u64, holder: PrefixHolder) {
        let mut holders = match self.young.remove(&hash) {
            Some(holders) => holders,
            None => self.old.remove(&hash).unwrap_or_default(),
        };
        holders.retain(|known| known.replica != holder.replica);
        if holders.len() == MAX_HOLDERS {
            let oldest = (0..MAX_HOLDERS).min_by_key(|index| holders[*index].seen_at);
            holders.swap_remove(oldest.unwrap_or(0));
        }
        holders.push(holder);
        if self.young.len() >= self.generation_capacity {
            self.old = std::mem::take(&mut self.young);
        }
        self.young.insert(hash, holders);
    }

    /// Records that a replica does not have the prefix.
    pub fn remove(&mut self, hash: u64, replica: u32) {
        for map in [&mut self.young, &mut self.old] {
            let Some(holders) = map.get_mut(&hash) else {
                continue;
            };
            holders.retain(|known| known.replica != replica);
            if holders.is_empty() {
                map.remove(&hash);
            }
        }
    }

    /// Returns the number of prefixes in the index.
    #[must_use]
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Returns whether the index is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
