use std::{collections::HashMap, time::Duration};

use smallvec::SmallVec;

/// Replicas remembered per prefix; more copies of a prefix bring nothing.
const HOLDERS: usize = 4;

/// A replica believed to have a prefix in its cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrefixHolder {
    /// Place of the replica in the table.
    pub replica: u32,
    /// Generation of that place.
    pub generation: u32,
    /// Latest evidence.
    pub seen_at: Duration,
}

type HolderList = SmallVec<[PrefixHolder; HOLDERS]>;

/// Beliefs about which replicas have which prefixes in their cache.
///
/// Two maps take turns: when the younger one holds half of the capacity, the older one is dropped.
/// Memory is bounded and each operation takes constant time; a prefix in use moves to the younger
/// map and stays.
#[derive(Debug)]
pub struct PrefixIndex {
    half: usize,
    young: HashMap<u64, HolderList>,
    old: HashMap<u64, HolderList>,
}

impl PrefixIndex {
    /// Returns an empty table for at most `capacity` prefixes.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            half: (capacity / 2).max(1),
            young: HashMap::new(),
            old: HashMap::new(),
        }
    }

    /// Returns the replicas believed to have the prefix.
    #[must_use]
    pub fn holders(&self, hash: u64) -> &[PrefixHolder] {
        let found = self.young.get(&hash).or_else(|| self.old.get(&hash));
        found.map_or(&[], |holders| holders)
    }

    /// Notes that a replica has the prefix; the holder without evidence for longest gives way.
    pub fn add(&mut self, hash: u64, holder: PrefixHolder) {
        let mut holders = match self.young.remove(&hash) {
            Some(holders) => holders,
            None => self.old.remove(&hash).unwrap_or_default(),
        };
        holders.retain(|known| known.replica != holder.replica);
        if holders.len() == HOLDERS {
            let oldest = (0..HOLDERS).min_by_key(|at| holders[*at].seen_at);
            holders.swap_remove(oldest.unwrap_or(0));
        }
        holders.push(holder);
        if self.young.len() >= self.half {
            self.old = std::mem::take(&mut self.young);
        }
        self.young.insert(hash, holders);
    }

    /// Notes that a replica does not have the prefix.
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

    /// Number of prefixes remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Tells whether nothing is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
