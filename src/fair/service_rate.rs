use std::time::Duration;

/// Minimum number of samples before the estimate is used.
const MIN_SAMPLES: u32 = 16;
/// Weight of a new sample in the averages.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Estimate of the tokens per second that a queue serves while items are waiting.
#[derive(Debug, Default)]
pub(super) struct ServiceRate {
    tokens: f64,
    seconds: f64,
    samples: u32,
    busy_since: Option<Duration>,
}

impl ServiceRate {
    /// Records a served item. `is_busy` states whether other items are still waiting.
    #[allow(clippy::cast_precision_loss)] // Rounding does not matter in an estimate.
    pub fn record(&mut self, cost: u64, is_busy: bool, now: Duration) {
        if let Some(since) = self.busy_since {
            let seconds = now.saturating_sub(since).as_secs_f64();
            let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples + 1));
            self.tokens += (cost as f64 - self.tokens) * weight;
            self.seconds += (seconds - self.seconds) * weight;
            self.samples = self.samples.saturating_add(1);
        }
        self.busy_since = is_busy.then_some(now);
    }

    /// Marks the start of a busy period.
    pub fn start(&mut self, now: Duration) {
        self.busy_since.get_or_insert(now);
    }

    /// Marks the end of a busy period without service.
    pub fn stop(&mut self) {
        self.busy_since = None;
    }

    /// Returns the estimate in tokens per second, once enough samples exist.
    pub fn per_second(&self) -> Option<f64> {
        let has_samples = self.samples >= MIN_SAMPLES && self.seconds > 0.0;
        has_samples.then(|| self.tokens / self.seconds)
    }
}
