/// Why an item was not queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PushRefusal {
    /// The team has as many items waiting as it may.
    TeamFull,
    /// As many items wait as may in all.
    QueueFull,
    /// The item cannot be served before its deadline.
    TooLate,
}

/// An item that was not queued.
#[derive(Debug)]
pub struct RefusedItem<T> {
    /// Why it was not queued.
    pub reason: PushRefusal,
    /// The item itself.
    pub item: T,
}
