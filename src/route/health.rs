use std::time::Duration;

use super::ExchangeOutcome;

/// Weight of a new sample in the averages.
const SAMPLE_WEIGHT: f32 = 0.1;
/// Failures in a row that eject a target at once.
const FAILURES_IN_A_ROW: u32 = 5;
/// Samples before averages can eject a target.
const ENOUGH_SAMPLES: u32 = 10;
/// Samples after which earlier ejections no longer lengthen the next one.
const SAMPLES_TO_FORGIVE: u32 = 200;
/// Share of failures that ejects a target.
const FAILURE_LIMIT: f32 = 0.5;
/// A target this many times slower than the median of its pool is ejected.
const SLOWNESS_LIMIT: f32 = 3.0;
/// First ejection; each further one lasts twice as long, up to the longest.
const SHORTEST_EJECTION: Duration = Duration::from_secs(5);
const LONGEST_EJECTION: Duration = Duration::from_secs(60);
/// Probes that must succeed before a target is taken back.
const PROBES: u32 = 3;
/// A probe without an end after this time no longer keeps others from being sent.
const PROBE_TIMEOUT: Duration = Duration::from_secs(5);

/// Whether a target is taken for new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthState {
    /// The target is taken.
    Healthy,
    /// The target is not taken until this moment.
    Ejected(Duration),
    /// The target is taken for one request at a time until this many more succeed.
    Probing(u32),
}

/// What this entry's exchanges with one target say about it.
#[derive(Debug)]
pub(super) struct TargetHealth {
    pub state: HealthState,
    first_byte_ms: f32,
    baseline_ms: f32,
    failures: f32,
    failures_in_a_row: u32,
    samples: u32,
    ejections: u32,
    probe_sent: Option<Duration>,
    /// Relative time over the median of the pool; 1 while unknown.
    pub slowness: f32,
}

impl TargetHealth {
    pub fn new() -> Self {
        Self {
            state: HealthState::Healthy,
            first_byte_ms: 0.0,
            baseline_ms: 0.0,
            failures: 0.0,
            failures_in_a_row: 0,
            samples: 0,
            ejections: 0,
            probe_sent: None,
            slowness: 1.0,
        }
    }

    /// Tells whether a request may be sent at `now`.
    pub fn admits(&self, now: Duration) -> bool {
        let is_probe_open = self
            .probe_sent
            .is_none_or(|sent| now >= sent + PROBE_TIMEOUT);
        match self.state {
            HealthState::Healthy => true,
            HealthState::Ejected(until) => now >= until && is_probe_open,
            HealthState::Probing(_) => is_probe_open,
        }
    }

    pub fn is_ejected(&self) -> bool {
        self.state != HealthState::Healthy
    }

    /// Mean time to the first byte over what was expected, once it is known. Expectations differ
    /// with the prompt and its cached part, so that plain times would show the mix of requests.
    pub fn relative_time(&self) -> Option<f32> {
        let is_known = self.samples >= ENOUGH_SAMPLES && self.baseline_ms > 0.0;
        is_known.then(|| self.first_byte_ms / self.baseline_ms)
    }

    pub fn record_send(&mut self, now: Duration) {
        match self.state {
            HealthState::Ejected(until) if now >= until => {
                self.state = HealthState::Probing(PROBES);
            }
            _ => {}
        }
        if self.is_ejected() {
            self.probe_sent = Some(now);
        }
    }

    pub fn record_outcome(&mut self, exchange: ExchangeOutcome, baseline_ms: f32, now: Duration) {
        self.probe_sent = None;
        let failed = match exchange {
            ExchangeOutcome::Cancelled => return,
            ExchangeOutcome::Failed => 1.0,
            ExchangeOutcome::Answered { first_byte } => {
                let sample = first_byte.as_secs_f32() * 1000.0;
                let weight = SAMPLE_WEIGHT.max(1.0 / f32::from(self.sample_count()));
                self.first_byte_ms += (sample - self.first_byte_ms) * weight;
                self.baseline_ms += (baseline_ms - self.baseline_ms) * weight;
                0.0
            }
        };
        self.failures += (failed - self.failures) * SAMPLE_WEIGHT;
        self.samples = self.samples.saturating_add(1);
        if self.samples >= SAMPLES_TO_FORGIVE {
            self.ejections = 0;
        }
        self.failures_in_a_row = match exchange {
            ExchangeOutcome::Failed => self.failures_in_a_row + 1,
            _ => 0,
        };
        match (self.state, exchange) {
            (HealthState::Probing(_), ExchangeOutcome::Failed) => self.eject(now),
            (HealthState::Probing(..=1), _) => self.start_over(),
            (HealthState::Probing(left), _) => self.state = HealthState::Probing(left - 1),
            _ => {}
        }
    }

    /// Tells whether the target should be ejected. Slowness is judged by [`Self::slowness`].
    pub fn is_outlier(&self) -> bool {
        let is_known = self.samples >= ENOUGH_SAMPLES;
        self.failures_in_a_row >= FAILURES_IN_A_ROW
            || (is_known && (self.failures > FAILURE_LIMIT || self.slowness > SLOWNESS_LIMIT))
    }

    /// Ejects the target. The averages start over, so that probes are judged by what they find.
    pub fn eject(&mut self, now: Duration) {
        let length = SHORTEST_EJECTION * 2_u32.saturating_pow(self.ejections.min(8));
        self.start_over();
        self.state = HealthState::Ejected(now + length.min(LONGEST_EJECTION));
        self.ejections += 1;
    }

    fn start_over(&mut self) {
        let ejections = self.ejections;
        *self = Self::new();
        self.ejections = ejections;
    }

    fn sample_count(&self) -> u16 {
        u16::try_from(self.samples.saturating_add(1)).unwrap_or(u16::MAX)
    }
}
