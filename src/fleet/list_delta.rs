use std::collections::{HashMap, HashSet};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::NamedConfig;

/// Difference between two lists of the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ListDelta<T> {
    /// The lists are equal.
    Same,
    /// Items to remove, replace and append.
    Edits {
        /// Ids of the removed items.
        removed: Vec<CompactString>,
        /// Added items, in list order, and changed items.
        set: Vec<T>,
        /// All ids of the new list, when its order does not follow from the old list.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        order: Option<Vec<CompactString>>,
    },
    /// The complete new list, used when ids are not unique.
    Whole(Vec<T>),
}

impl<T: NamedConfig + Clone + PartialEq> ListDelta<T> {
    /// Computes the difference from `old` to `new`.
    #[must_use]
    pub fn between(old: &[T], new: &[T]) -> Self {
        if old == new {
            return Self::Same;
        }
        let (Some(old_items), Some(new_items)) = (by_id(old), by_id(new)) else {
            return Self::Whole(new.to_vec());
        };
        let removed: Vec<_> = old
            .iter()
            .map(NamedConfig::id)
            .filter(|id| !new_items.contains_key(id))
            .cloned()
            .collect();
        let set: Vec<_> = new
            .iter()
            .filter(|item| old_items.get(item.id()) != Some(item))
            .cloned()
            .collect();
        let kept = old
            .iter()
            .map(NamedConfig::id)
            .filter(|id| new_items.contains_key(id));
        let added = new
            .iter()
            .map(NamedConfig::id)
            .filter(|id| !old_items.contains_key(id));
        let ids = || new.iter().map(NamedConfig::id);
        let order = (!kept.chain(added).eq(ids())).then(|| ids().cloned().collect());
        Self::Edits {
            removed,
            set,
            order,
        }
    }

    /// Applies the difference and returns the new list; `None` when `old` is detectably not its
    /// base.
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
        let old_items = by_id(old)?;
        if removed.iter().any(|id| !old_items.contains_key(id)) {
            return None;
        }
        let removed: HashSet<_> = removed.iter().collect();
        let changes = by_id(set)?;
        let kept = old
            .iter()
            .filter(|item| !removed.contains(item.id()))
            .map(|item| *changes.get(item.id()).unwrap_or(&item));
        let added = set.iter().filter(|item| !old_items.contains_key(item.id()));
        let items: Vec<&T> = kept.chain(added).collect();
        let Some(order) = order else {
            return Some(items.into_iter().cloned().collect());
        };
        let items: HashMap<_, _> = items.into_iter().map(|item| (item.id(), item)).collect();
        if items.len() != order.len() {
            return None;
        }
        order
            .iter()
            .map(|id| items.get(id).copied().cloned())
            .collect()
    }
}

/// Maps ids to items; `None` when an id occurs more than once.
fn by_id<T: NamedConfig>(items: &[T]) -> Option<HashMap<&CompactString, &T>> {
    let map: HashMap<_, _> = items.iter().map(|item| (item.id(), item)).collect();
    (map.len() == items.len()).then_some(map)
}
