/// The part of a target's free slots that one of several gateways may fill while it does not know what the others send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FairPart {
    /// Requests that every gateway may send.
    pub requests: u32,
    /// Probability with which a gateway may send one more, for the slots that are left over.
    pub probability: f64,
}

impl FairPart {
    /// Returns the part of each gateway.
    ///
    /// For slots that are too few for all gateways, each one draws. The number of these slots lies `deviations` standard
    /// deviations above the mean number of requests.
    #[must_use]
    pub fn new(free_slots: u32, gateways: u32, deviations: f64) -> Self {
        let gateways = gateways.max(1);
        let left = f64::from(free_slots % gateways);
        let root = ((deviations * deviations + 4.0 * left).sqrt() - deviations) / 2.0;
        Self {
            requests: free_slots / gateways,
            probability: (root * root / f64::from(gateways)).min(1.0),
        }
    }
}
