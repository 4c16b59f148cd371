use std::time::Duration;

/// Time constants of the two averages, in seconds. Their difference shows a trend. Demand moves
/// between models within several seconds, and a load from the weight store takes as long.
const FAST_SECONDS: f64 = 1.0;
const SLOW_SECONDS: f64 = 2.5;
/// Times the expected error of the averages that their difference must exceed to count as a trend.
const SIGNIFICANCE: f64 = 1.5;
/// Most times the present demand that a trend leads to; a steep one does not last.
const MOST_GROWTH: f64 = 2.0;
/// Weight of a request in the mean size of requests.
const SIZE_WEIGHT: f64 = 0.1;

/// Tokens a second that callers ask of one model, and where that leads.
#[derive(Clone, Copy, Debug, Default)]
pub struct DemandTrend {
    fast: f64,
    slow: f64,
    request_tokens: f64,
    updated_at: Duration,
}

impl DemandTrend {
    /// Counts requests.
    pub fn record(&mut self, tokens: f64, requests: f64, now: Duration) {
        (self.fast, self.slow) = self.averages(now);
        self.fast += tokens / FAST_SECONDS;
        self.slow += tokens / SLOW_SECONDS;
        self.updated_at = self.updated_at.max(now);
        let size = tokens / requests.max(1.0);
        if self.request_tokens > 0.0 {
            self.request_tokens += (size - self.request_tokens) * SIZE_WEIGHT;
        } else {
            self.request_tokens = size;
        }
    }

    /// Returns the demand now.
    #[must_use]
    pub fn current(&self, now: Duration) -> f64 {
        self.averages(now).1
    }

    /// Returns the demand expected after `horizon`, the time until a copy that is ordered now can
    /// be used. Few requests say little about a trend, so that only a difference beyond what
    /// chance explains counts.
    #[must_use]
    pub fn forecast(&self, now: Duration, horizon: Duration) -> f64 {
        let (fast, slow) = self.averages(now);
        // Arrivals at random: the variance of the average is rate times size over twice the time.
        let noise = (self.request_tokens * fast / (2.0 * FAST_SECONDS)).sqrt();
        let difference = fast - slow;
        if difference.abs() <= SIGNIFICANCE * noise {
            return slow;
        }
        let slope = difference / (SLOW_SECONDS - FAST_SECONDS);
        let present = fast + slope * FAST_SECONDS;
        if slope > 0.0 {
            let reached = present + slope * horizon.as_secs_f64();
            reached.min(fast * MOST_GROWTH)
        } else {
            // A fall may end at any moment; what has gone already is not needed.
            present.max(0.0)
        }
    }

    fn averages(&self, now: Duration) -> (f64, f64) {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        let fast = self.fast * (-elapsed / FAST_SECONDS).exp();
        let slow = self.slow * (-elapsed / SLOW_SECONDS).exp();
        (fast, slow)
    }
}
