use std::time::Duration;

use compact_str::format_compact;

use super::REJECTION_TIME;
use crate::{
    allowance::RateLimit,
    ids::{TargetId, TeamId},
    warmup::{MAX_RESERVATION_AGE, REQUEST_TOKENS},
};

/// Start of the ids under which the ledger keeps rejection limits. Limits of cold targets have a single NUL.
const ID_PREFIX: &str = "\0\0";
/// Share of the rejections that permits may cause. The rest is for requests that are sent without one.
const PERMIT_SHARE: f64 = 0.5;
/// Divisor of the rejection limit that gives the rate of permits. Most permits are returned unused, so the burst matters
/// more.
const RATE_DIVISOR: f64 = 16.0;
/// Standard deviations between the free slots and the requests that gateways send at a time, for a limit of one rejection.
const DEVIATIONS: f64 = 3.4;
/// Exponent of the rejection limit in the divisor of the deviations. Rejections become rare quickly as these grow.
const DEVIATIONS_EXPONENT: f64 = 0.25;
/// Maximum number of permits for a target at a time. They add to what gateways send without.
const MAX_PERMITS: f64 = 2.5;

/// Number of requests that a brittle target may have to turn away within any second.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RejectionLimit {
    per_second: u32,
}

impl RejectionLimit {
    /// Creates the limit of a target that falls over when it turns away more than `per_second` requests in a second.
    #[must_use]
    pub fn new(per_second: u32) -> Self {
        Self { per_second }
    }

    /// Returns the number of requests that may be turned away within a second.
    #[must_use]
    pub fn per_second(self) -> u32 {
        self.per_second
    }

    /// Returns the limit of permits for the ledger, in tokens of which a request takes [`REQUEST_TOKENS`].
    ///
    /// A ledger grants at most `burst + rate x window` in any window. Requests that are turned away within one second were
    /// granted within that second, [`MAX_RESERVATION_AGE`] and [`REJECTION_TIME`].
    #[must_use]
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss
    )] // Limits are small, and a cast saturates.
    pub fn rate_limit(self) -> RateLimit {
        let window = Duration::from_secs(1) + MAX_RESERVATION_AGE + REJECTION_TIME;
        let rate = f64::from(self.per_second) / RATE_DIVISOR;
        let burst = f64::from(self.per_second) * PERMIT_SHARE - rate * window.as_secs_f64();
        let burst = burst.min(MAX_PERMITS);
        let tokens = |requests: f64| (requests * REQUEST_TOKENS as f64) as u64;
        RateLimit {
            rate: tokens(rate),
            burst: tokens(burst),
        }
    }

    /// Returns how many standard deviations the requests that gateways send at a time stay below the free slots.
    #[must_use]
    pub fn deviations(self) -> f64 {
        DEVIATIONS / f64::from(self.per_second.max(1)).powf(DEVIATIONS_EXPONENT)
    }

    /// Returns the slots that count as taken for each rejection within a second: half of the rejections leave none.
    #[must_use]
    pub fn withheld_slots(self, total: u32) -> u32 {
        total
            .saturating_mul(2)
            .div_ceil(self.per_second.max(1))
            .max(1)
    }

    /// Returns the id under which the ledger keeps the limit of a target. It names the limit, so that a leader can set it
    /// with the first request for a permit.
    #[must_use]
    pub fn ledger_id(self, target: &TargetId) -> TeamId {
        format_compact!("{ID_PREFIX}{}\0{target}", self.per_second)
    }

    /// Returns the limit that an id of the ledger names; `None` for ids of teams and of other limits.
    #[must_use]
    pub fn from_ledger_id(id: &TeamId) -> Option<Self> {
        let (per_second, _) = id.strip_prefix(ID_PREFIX)?.split_once('\0')?;
        per_second.parse().ok().map(Self::new)
    }
}
