use std::time::Duration;

use rand::Rng;

/// Time without a reply after which tokens are requested again. The round trip to a leader with time takes
/// a few milliseconds.
const MIN_TIMEOUT: Duration = Duration::from_millis(100);
/// Maximum of this time.
const MAX_TIMEOUT: Duration = Duration::from_millis(1_600);
/// Minimum and maximum factor by which intervals vary, so that gateways do not send together.
const JITTER: [f64; 2] = [0.75, 1.25];

/// Pace of a gateway's requests for tokens.
///
/// A leader that takes over is late for some seconds. If hundreds of gateways repeat what it has not
/// answered yet, it only gets to requests that nobody waits for any more, and never catches up.
#[derive(Clone, Debug)]
pub struct GrantPacing {
    timeout: Duration,
}

impl GrantPacing {
    /// Creates the pace for a leader that has not been asked yet.
    #[must_use]
    pub fn new() -> Self {
        Self {
            timeout: MIN_TIMEOUT,
        }
    }

    /// Returns the time after which a request without a reply is repeated.
    #[must_use]
    pub fn timeout(&self) -> Duration {
        self.timeout
    }

    /// Returns the time until the next request: `min_interval`, or the expected time of a reply if that is
    /// longer.
    pub fn interval(&self, min_interval: Duration, rng: &mut impl Rng) -> Duration {
        let jitter = rng.random_range(JITTER[0]..JITTER[1]);
        min_interval.max((self.timeout / 2).mul_f64(jitter))
    }

    /// Records a reply that came after a time.
    pub fn record_reply(&mut self, age: Duration) {
        self.timeout = (age * 2).clamp(MIN_TIMEOUT, MAX_TIMEOUT);
    }

    /// Records a request without a reply.
    pub fn record_timeout(&mut self) {
        self.timeout = (self.timeout * 2).min(MAX_TIMEOUT);
    }
}

impl Default for GrantPacing {
    fn default() -> Self {
        Self::new()
    }
}
