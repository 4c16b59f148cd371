use std::{collections::BTreeMap, time::Duration};

use super::{AGING_STEP, MAX_PRIORITY};

/// Sort key of an item within its team: the virtual arrival, delayed by [`AGING_STEP`] for each
/// priority level below the highest, followed by the item's id.
pub(super) type AgedKey = (Duration, u64);

#[derive(Debug)]
pub(super) struct QueuedItem<T> {
    pub item: T,
    pub cost: u64,
    pub priority: u8,
    pub deadline: Duration,
}

/// The waiting items of one team.
#[derive(Debug)]
pub(super) struct TeamQueue<T> {
    pub weight: u32,
    /// Start tag of the next item, in virtual time.
    pub tag: u128,
    /// Start tag before the charges of the current sync.
    pub uncharged_tag: u128,
    /// Virtual time from this queue's own service when the team was last served or began to wait.
    pub waiting_since: u128,
    items: BTreeMap<AgedKey, QueuedItem<T>>,
    /// Number of waiting tokens per priority.
    waiting_tokens: [u64; MAX_PRIORITY as usize + 1],
}

impl<T> TeamQueue<T> {
    pub fn new(weight: u32, tag: u128) -> Self {
        Self {
            weight,
            tag,
            uncharged_tag: tag,
            waiting_since: 0,
            items: BTreeMap::new(),
            waiting_tokens: [0; MAX_PRIORITY as usize + 1],
        }
    }

    pub fn len(&self) -> usize {
        self.items.len()
    }

    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Returns the number of waiting tokens at this priority and above.
    pub fn tokens_from(&self, priority: u8) -> u64 {
        self.waiting_tokens[usize::from(priority)..].iter().sum()
    }

    pub fn push(&mut self, id: u64, item: QueuedItem<T>, now: Duration) -> AgedKey {
        let levels = u32::from(MAX_PRIORITY - item.priority);
        let key = (now + AGING_STEP * levels, id);
        self.waiting_tokens[usize::from(item.priority)] += item.cost;
        self.items.insert(key, item);
        key
    }

    pub fn pop(&mut self) -> Option<(AgedKey, QueuedItem<T>)> {
        let (key, item) = self.items.pop_first()?;
        self.waiting_tokens[usize::from(item.priority)] -= item.cost;
        Some((key, item))
    }

    pub fn remove(&mut self, key: &AgedKey) -> Option<QueuedItem<T>> {
        let item = self.items.remove(key)?;
        self.waiting_tokens[usize::from(item.priority)] -= item.cost;
        Some(item)
    }
}
