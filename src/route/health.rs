use std::time::Duration;

use super::ExchangeOutcome;

/// Weight of a new sample in the averages.
const SAMPLE_WEIGHT: f32 = 0.1;
/// Number of consecutive failures after which a target is ejected at once.
const MAX_CONSECUTIVE_FAILURES: u32 = 5;
/// Minimum number of samples before a target can be ejected because of its averages.
const MIN_SAMPLES: u32 = 10;
/// Number of samples after which earlier ejections no longer lengthen the next one.
const EJECTION_RESET_SAMPLES: u32 = 200;
/// Failure rate above which a target is ejected.
const MAX_FAILURE_RATE: f32 = 0.5;
/// Slowdown against the median of the pool above which a target is ejected.
const MAX_SLOWDOWN: f32 = 3.0;
/// Duration of the first ejection, which doubles with each further one.
const BASE_EJECTION_TIME: Duration = Duration::from_secs(5);
/// Maximum duration of an ejection.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(60);
/// Number of probes that must succeed before a target is healthy again.
const REQUIRED_PROBES: u32 = 3;
/// Time after which a probe without an outcome no longer blocks the next one.
const PROBE_TIMEOUT: Duration = Duration::from_secs(5);

/// Whether a target is eligible for new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthState {
    /// The target is eligible.
    Healthy,
    /// The target is not eligible until this time.
    Ejected(Duration),
    /// The target receives one request at a time until this many more have succeeded.
    Probing(u32),
}

/// Health of one target, derived from the outcomes of this entry's exchanges with it.
#[derive(Debug)]
pub(super) struct TargetHealth {
    pub state: HealthState,
    first_byte_ms: f32,
    baseline_ms: f32,
    failure_rate: f32,
    consecutive_failures: u32,
    samples: u32,
    ejections: u32,
    probe_sent_at: Option<Duration>,
    /// Relative latency divided by the median of the pool; 1 while unknown.
    pub slowdown: f32,
}

impl TargetHealth {
    pub fn new() -> Self {
        Self {
            state: HealthState::Healthy,
            first_byte_ms: 0.0,
            baseline_ms: 0.0,
            failure_rate: 0.0,
            consecutive_failures: 0,
            samples: 0,
            ejections: 0,
            probe_sent_at: None,
            slowdown: 1.0,
        }
    }

    /// Returns whether a request may be sent at `now`.
    pub fn accepts_request(&self, now: Duration) -> bool {
        let can_probe = self
            .probe_sent_at
            .is_none_or(|sent_at| now >= sent_at + PROBE_TIMEOUT);
        match self.state {
            HealthState::Healthy => true,
            HealthState::Ejected(until) => now >= until && can_probe,
            HealthState::Probing(_) => can_probe,
        }
    }

    pub fn is_ejected(&self) -> bool {
        self.state != HealthState::Healthy
    }

    /// Returns the mean time to the first byte divided by the mean expected time, once enough
    /// samples exist. The expected time depends on the prompt and its cached part, so absolute
    /// times would reflect the mix of requests instead of the target's speed.
    pub fn relative_latency(&self) -> Option<f32> {
        let has_samples = self.samples >= MIN_SAMPLES && self.baseline_ms > 0.0;
        has_samples.then(|| self.first_byte_ms / self.baseline_ms)
    }

    pub fn record_send(&mut self, now: Duration) {
        match self.state {
            HealthState::Ejected(until) if now >= until => {
                self.state = HealthState::Probing(REQUIRED_PROBES);
            }
            _ => {}
        }
        if self.is_ejected() {
            self.probe_sent_at = Some(now);
        }
    }

    pub fn record_outcome(&mut self, outcome: ExchangeOutcome, baseline_ms: f32, now: Duration) {
        self.probe_sent_at = None;
        let failure = match outcome {
            ExchangeOutcome::Cancelled => return,
            ExchangeOutcome::Failed => 1.0,
            ExchangeOutcome::Answered { first_byte } => {
                let sample = first_byte.as_secs_f32() * 1000.0;
                let weight = SAMPLE_WEIGHT.max(1.0 / f32::from(self.next_sample_count()));
                self.first_byte_ms += (sample - self.first_byte_ms) * weight;
                self.baseline_ms += (baseline_ms - self.baseline_ms) * weight;
                0.0
            }
        };
        self.failure_rate += (failure - self.failure_rate) * SAMPLE_WEIGHT;
        self.samples = self.samples.saturating_add(1);
        if self.samples >= EJECTION_RESET_SAMPLES {
            self.ejections = 0;
        }
        self.consecutive_failures = match outcome {
            ExchangeOutcome::Failed => self.consecutive_failures + 1,
            _ => 0,
        };
        match (self.state, outcome) {
            (HealthState::Probing(_), ExchangeOutcome::Failed) => self.eject(now),
            (HealthState::Probing(..=1), _) => self.reset(),
            (HealthState::Probing(left), _) => self.state = HealthState::Probing(left - 1),
            _ => {}
        }
    }

    /// Returns whether the target should be ejected, based on its failures and [`Self::slowdown`].
    pub fn is_outlier(&self) -> bool {
        let has_samples = self.samples >= MIN_SAMPLES;
        self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES
            || (has_samples
                && (self.failure_rate > MAX_FAILURE_RATE || self.slowdown > MAX_SLOWDOWN))
    }

    /// Ejects the target. The averages are reset, so that only the outcomes of probes count.
    pub fn eject(&mut self, now: Duration) {
        let ejection_time = BASE_EJECTION_TIME * 2_u32.saturating_pow(self.ejections.min(8));
        self.reset();
        self.state = HealthState::Ejected(now + ejection_time.min(MAX_EJECTION_TIME));
        self.ejections += 1;
    }

    fn reset(&mut self) {
        let ejections = self.ejections;
        *self = Self::new();
        self.ejections = ejections;
    }

    fn next_sample_count(&self) -> u16 {
        u16::try_from(self.samples.saturating_add(1)).unwrap_or(u16::MAX)
    }
}
