/// Slots of a target, by the loads that all gateways have reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetSlots {
    /// Requests that the target runs at the same time.
    pub total: u32,
    /// Those that it could run beside the known ones.
    pub free: u32,
}
