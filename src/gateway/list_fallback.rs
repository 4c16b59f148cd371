use std::time::Duration;

use rand::Rng;

/// Maximum age of the leader's target list; the gateway reads an older one from the platform
/// itself.
const MAX_LIST_AGE: Duration = Duration::from_millis(1_800);
/// Minimum interval between reads of one gateway.
const MIN_READ_INTERVAL: Duration = Duration::from_secs(1);
/// Fraction of the platform's rate of calls that all gateways together use. The leader needs the
/// rest: without its list all gateways would go on reading.
const GATEWAYS_RATE_SHARE: f64 = 0.4;
/// Targets per call that are expected at least, since the platform returns its list in pages.
const TARGETS_PER_CALL: usize = 40;
/// Size of the fleet that is assumed until the leader tells it.
const ASSUMED_GATEWAYS: u32 = 100;
/// Maximum number of times that the interval is doubled after failed reads.
const MAX_DOUBLINGS: u32 = 3;

/// Decides when a gateway reads the platform's target list itself because the leader does not
/// supply it. The platform limits the calls of the whole fleet, so the reads of all gateways are
/// spread over time; see docs/platform.md.
#[derive(Debug)]
pub struct ListFallback {
    calls_per_second: f64,
    gateways: u32,
    next_read_at: Option<Duration>,
    failures: u32,
}

impl ListFallback {
    /// Returns a fallback for a platform that accepts `calls_per_second` from the whole fleet.
    #[must_use]
    pub fn new(calls_per_second: f64) -> Self {
        Self {
            calls_per_second,
            gateways: ASSUMED_GATEWAYS,
            next_read_at: None,
            failures: 0,
        }
    }

    /// Sets the number of gateways that share the rate.
    pub fn set_gateways(&mut self, gateways: u32) {
        self.gateways = gateways.max(1);
    }

    /// Returns whether to read the list now. `list_age` is `None` before any list was received, and
    /// `targets` is the number of targets known.
    pub fn is_due(
        &mut self,
        list_age: Option<Duration>,
        targets: usize,
        now: Duration,
        rng: &mut impl Rng,
    ) -> bool {
        if list_age.is_some_and(|age| age < MAX_LIST_AGE) {
            self.next_read_at = None;
            self.failures = 0;
            return false;
        }
        let interval = self.interval(targets);
        let next_read_at = *self
            .next_read_at
            .get_or_insert_with(|| now + interval.mul_f64(rng.random()));
        if now < next_read_at {
            return false;
        }
        self.next_read_at = Some(now + interval.mul_f64(rng.random_range(0.5..1.5)));
        true
    }

    /// Records whether a read succeeded. Failed ones make the gateway read less often, since the
    /// platform refuses calls beyond its rate.
    pub fn record(&mut self, is_success: bool) {
        self.failures = if is_success { 0 } else { self.failures + 1 };
    }

    /// Returns the mean interval between reads of one gateway.
    #[allow(clippy::cast_precision_loss)] // Counts of targets are small.
    fn interval(&self, targets: usize) -> Duration {
        let calls = f64::from(self.gateways) * (1 + targets / TARGETS_PER_CALL) as f64;
        let rate = self.calls_per_second.max(f64::MIN_POSITIVE) * GATEWAYS_RATE_SHARE;
        let spread = Duration::try_from_secs_f64(calls / rate).unwrap_or(Duration::MAX);
        let doublings = 2_u32.pow(self.failures.min(MAX_DOUBLINGS));
        spread.max(MIN_READ_INTERVAL).saturating_mul(doublings)
    }
}
