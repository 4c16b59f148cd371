use super::{MAX_RESERVATION_AGE, REQUEST_TOKENS};
use crate::{allowance::RateLimit, plan::WarmupPlan};

/// Bounds on the requests that one cold target may get within any second: `rate x overage + slack`, where the
/// rate is that of its service's plan.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmupBounds {
    /// Factor of the rate.
    pub overage: f64,
    /// Number of requests beyond that.
    pub slack: f64,
}

/// The limit of requests to one cold target, from all gateways together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmupLimit {
    requests_per_second: f64,
    max_requests: f64,
}

impl WarmupLimit {
    /// Creates the limit of a target whose service has a warm-up plan.
    #[must_use]
    pub fn new(plan: &WarmupPlan, bounds: WarmupBounds) -> Self {
        Self {
            requests_per_second: plan.requests_per_second,
            max_requests: plan.requests_per_second * bounds.overage + bounds.slack,
        }
    }

    /// Returns the number of requests that a cold target may get within any second.
    #[must_use]
    pub fn max_requests(&self) -> f64 {
        self.max_requests
    }

    /// Returns the limit for the ledger, in tokens of which a request takes [`REQUEST_TOKENS`].
    ///
    /// A ledger grants at most `burst + rate x window` in any window. Requests that are sent within one second
    /// were reserved within that second and [`MAX_RESERVATION_AGE`] before it. One more request is left out for
    /// one that was reserved and is not yet sent. If nothing remains, the burst is 0 and cold targets get no requests.
    #[must_use]
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss
    )] // Limits are small, and a cast saturates.
    pub fn rate_limit(&self) -> RateLimit {
        let window = 1.0 + MAX_RESERVATION_AGE.as_secs_f64();
        let burst = self.max_requests - window * self.requests_per_second - 1.0;
        // Binary fractions like 6.76 would otherwise lose a thousandth.
        let tokens = |requests: f64| (requests * REQUEST_TOKENS as f64 + 1e-6) as u64;
        RateLimit {
            rate: tokens(self.requests_per_second),
            burst: tokens(burst),
        }
    }
}
