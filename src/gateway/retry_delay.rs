//! Delays after which callers should retry.

use std::time::Duration;

use rand::Rng;

use crate::adapter::{RefusalKind, RefusalNotice};

/// Minimum and maximum retry delay that a refusal states, as a share of the time that the caller
/// has left. Capacity becomes free within seconds, and a caller that still has three quarters of
/// its time can be served then. The random spread keeps callers that were refused together from
/// retrying together.
const RETRY_AFTER_SHARE: [f64; 2] = [0.1, 0.25];

/// Adds a retry delay to the refusal of a request that has not run, unless it states one already.
pub(super) fn add_retry_after(notice: RefusalNotice, time_left: Duration) -> RefusalNotice {
    match notice.kind {
        RefusalKind::OverLimit | RefusalKind::Unavailable | RefusalKind::Unreachable
            if notice.retry_after.is_none() =>
        {
            let [min, max] = RETRY_AFTER_SHARE.map(|share| time_left.mul_f64(share));
            notice.with_retry_after(random_duration(min, max))
        }
        _ => notice,
    }
}

/// Returns a random duration between two others.
pub(super) fn random_duration(min: Duration, max: Duration) -> Duration {
    rand::rng().random_range(min..=max)
}
