/// Slots of a target, by the loads that all gateways have reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetSlots {
    /// Requests that the target runs at the same time.
    pub total: u32,
    /// Those that it could run beside the known ones.
    pub free: u32,
    /// Requests of this gateway at the target.
    pub own: u32,
}

impl TargetSlots {
    /// Returns the slots that are not free.
    #[must_use]
    pub fn taken(self) -> u32 {
        self.total.saturating_sub(self.free)
    }
}
