use std::collections::{HashMap, HashSet};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::NamedConfig;

/// Difference between two lists of the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ListDelta<T> {
    /// The lists are equal.
    Same,
    /// Parts to remove, replace and append.
    Edits {
        /// Ids of the parts that are gone.
        removed: Vec<CompactString>,
        /// Parts that are new, in their order, or changed.
        set: Vec<T>,
        /// Ids of the whole new list, when it is not in the order of the old one.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        order: Option<Vec<CompactString>>,
    },
    /// The whole new list, when ids are not unique.
    Whole(Vec<T>),
}

impl<T: NamedConfig + Clone + PartialEq> ListDelta<T> {
    /// Returns the difference that leads from `old` to `new`.
    #[must_use]
    pub fn between(old: &[T], new: &[T]) -> Self {
        if old == new {
            return Self::Same;
        }
        let (Some(before), Some(after)) = (by_id(old), by_id(new)) else {
            return Self::Whole(new.to_vec());
        };
        let removed: Vec<_> = old
            .iter()
            .map(NamedConfig::id)
            .filter(|id| !after.contains_key(id))
            .cloned()
            .collect();
        let set: Vec<_> = new
            .iter()
            .filter(|part| before.get(part.id()) != Some(part))
            .cloned()
            .collect();
        let kept = old
            .iter()
            .map(NamedConfig::id)
            .filter(|id| after.contains_key(id));
        let added = new
            .iter()
            .map(NamedConfig::id)
            .filter(|id| !before.contains_key(id));
        let ids = || new.iter().map(NamedConfig::id);
        let order = (!kept.chain(added).eq(ids())).then(|| ids().cloned().collect());
        Self::Edits {
            removed,
            set,
            order,
        }
    }

    /// Returns the new list; `None` when the difference does not belong to `old`.
    #[must_use]
    pub fn apply_to(&self, old: &[T]) -> Option<Vec<T>> {
        let (removed, set, order) = match self {
            Self::Same => return Some(old.to_vec()),
            Self::Whole(new) => return Some(new.clone()),
            Self::Edits {
                removed,
                set,
                order,
            } => (removed, set, order),
        };
        let before = by_id(old)?;
        if removed.iter().any(|id| !before.contains_key(id)) {
            return None;
        }
        let removed: HashSet<_> = removed.iter().collect();
        let changes = by_id(set)?;
        let kept = old
            .iter()
            .filter(|part| !removed.contains(part.id()))
            .map(|part| *changes.get(part.id()).unwrap_or(&part));
        let added = set.iter().filter(|part| !before.contains_key(part.id()));
        let parts: Vec<&T> = kept.chain(added).collect();
        let Some(order) = order else {
            return Some(parts.into_iter().cloned().collect());
        };
        let parts: HashMap<_, _> = parts.into_iter().map(|part| (part.id(), part)).collect();
        if parts.len() != order.len() {
            return None;
        }
        order
            .iter()
            .map(|id| parts.get(id).copied().cloned())
            .collect()
    }
}

/// Returns the parts by id; `None` when two have the same id.
fn by_id<T: NamedConfig>(parts: &[T]) -> Option<HashMap<&CompactString, &T>> {
    let map: HashMap<_, _> = parts.iter().map(|part| (part.id(), part)).collect();
    (map.len() == parts.len()).then_some(map)
}
