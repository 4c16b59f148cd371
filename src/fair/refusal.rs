/// Reason why an item was not queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PushRefusal {
    /// The team has reached its maximum number of waiting items.
    TeamFull,
    /// The queue has reached its maximum number of waiting items.
    QueueFull,
    /// The item is not expected to be served before its deadline.
    TooLate,
}

/// An item that was not queued.
#[derive(Debug)]
pub struct RefusedItem<T> {
    /// Reason why the item was not queued.
    pub reason: PushRefusal,
    /// The item itself.
    pub item: T,
}
