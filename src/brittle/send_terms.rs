use std::time::Duration;

use super::{LOAD_DELAY, RejectionLimit};

/// Minimum time after which a request is taken to have left its slot.
const MIN_WINDOW: Duration = Duration::from_millis(10);

/// What a gateway goes by when it sends requests to the brittle targets of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendTerms {
    /// Requests that a target may turn away.
    pub limit: RejectionLimit,
    /// Time within which requests of other gateways may occupy slots unknown to this one: until it knows them, or until
    /// they have ended.
    pub window: Duration,
}

impl SendTerms {
    /// Creates the terms for targets whose requests are not known to end soon.
    #[must_use]
    pub fn new(limit: RejectionLimit) -> Self {
        Self {
            limit,
            window: LOAD_DELAY,
        }
    }

    /// Sets the mean time for which requests have occupied a slot lately, if it is known.
    #[must_use]
    pub fn with_occupancy(mut self, occupancy: Option<Duration>) -> Self {
        if let Some(occupancy) = occupancy {
            self.window = occupancy.clamp(MIN_WINDOW, LOAD_DELAY);
        }
        self
    }
}
