use super::TargetSlots;

/// The part of a target's slots that one of several gateways may fill while it does not know what the others send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SendPart {
    /// Slots that no other gateway fills.
    pub own_slots: u32,
    /// Mean number of requests that the gateway may send to the shared slots until it knows what the others have sent.
    pub shared_mean: f64,
}

impl SendPart {
    /// Returns the part of each gateway.
    ///
    /// Slots that are too few for all gateways are shared: each gateway sends at random. The number of free slots lies
    /// `deviations` standard deviations above the mean number of requests that all of them send.
    #[must_use]
    pub fn new(slots: TargetSlots, gateways: u32, deviations: f64) -> Self {
        let gateways = gateways.max(1);
        let own_slots = slots.total / gateways;
        // Requests at slots of their own cannot be told from those at shared slots.
        let shared = slots.total - own_slots * gateways;
        let free = shared.saturating_sub(slots.taken()).min(slots.free);
        let root = ((deviations * deviations + 4.0 * f64::from(free)).sqrt() - deviations) / 2.0;
        Self {
            own_slots,
            shared_mean: root * root / f64::from(gateways),
        }
    }
}
