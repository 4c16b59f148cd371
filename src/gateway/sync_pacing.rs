use std::time::Duration;

use rand::Rng;

/// Minimum time after which a sync counts as lost and another coordinator is tried.
const MIN_TIMEOUT: Duration = Duration::from_millis(600);
/// Maximum of that time, after repeated timeouts.
const MAX_TIMEOUT: Duration = Duration::from_secs(4);
/// Minimum delay after a failed sync.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(60);
/// Maximum delay after repeated failures.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);

/// Timeout and retry delay of syncs. Both grow with repeated failures: a leader that answers late
/// would otherwise spend its time on answers that nobody waits for, and never recover.
#[derive(Debug, Default)]
pub struct SyncPacing {
    timeouts: u32,
    failures: u32,
}

impl SyncPacing {
    /// Returns the pacing of a gateway whose last sync succeeded.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the timeout of the next sync, at least one sync interval.
    #[must_use]
    pub fn timeout(&self, sync_interval: Duration) -> Duration {
        let timeout = sync_interval.max(MIN_TIMEOUT);
        let doubled = timeout.saturating_mul(2_u32.saturating_pow(self.timeouts));
        doubled.min(MAX_TIMEOUT.max(timeout))
    }

    /// Records a sync that was answered.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Records a failed sync that took `elapsed`, and returns the delay before the next one.
    pub fn record_failure(
        &mut self,
        elapsed: Duration,
        sync_interval: Duration,
        rng: &mut impl Rng,
    ) -> Duration {
        if elapsed >= self.timeout(sync_interval) {
            self.timeouts += 1;
        }
        let delay = MIN_RETRY_DELAY.saturating_mul(2_u32.saturating_pow(self.failures));
        self.failures += 1;
        let delay = delay.min(MAX_RETRY_DELAY);
        // The random spread keeps gateways that lost the leader together from asking together.
        delay.mul_f64(rng.random_range(0.5..1.5))
    }

    /// Returns the delay before a sync with the leader that another coordinator has named.
    #[must_use]
    pub fn redirect_delay(&self, rng: &mut impl Rng) -> Duration {
        MIN_RETRY_DELAY.mul_f64(rng.random_range(0.0..1.0))
    }
}
