use std::time::Duration;

/// Time constants of the two moving averages, whose difference indicates a trend. Demand moves
/// between models within several seconds, and a load from the weight store takes as long.
const FAST_SECONDS: f64 = 1.0;
const SLOW_SECONDS: f64 = 2.5;
/// Multiple of the expected error that the difference of the averages must exceed to count as a
/// trend.
const SIGNIFICANCE_FACTOR: f64 = 1.5;
/// Maximum ratio of the forecast to the fast average, since a steep rise does not last.
const MAX_GROWTH: f64 = 2.0;
/// Weight of a new sample in the moving average of the request size.
const REQUEST_SIZE_WEIGHT: f64 = 0.1;

/// Estimate of the demand for one model, in tokens per second, and of its trend.
#[derive(Clone, Copy, Debug, Default)]
pub struct DemandTrend {
    fast: f64,
    slow: f64,
    /// Moving average of the tokens of one request.
    request_tokens: f64,
    updated_at: Duration,
}

impl DemandTrend {
    /// Records requests with their total number of tokens.
    pub fn record(&mut self, tokens: f64, requests: f64, now: Duration) {
        (self.fast, self.slow) = self.averages(now);
        self.fast += tokens / FAST_SECONDS;
        self.slow += tokens / SLOW_SECONDS;
        self.updated_at = self.updated_at.max(now);
        let size = tokens / requests.max(1.0);
        if self.request_tokens > 0.0 {
            self.request_tokens += (size - self.request_tokens) * REQUEST_SIZE_WEIGHT;
        } else {
            self.request_tokens = size;
        }
    }

    /// Returns the current demand.
    #[must_use]
    pub fn current(&self, now: Duration) -> f64 {
        self.averages(now).1
    }

    /// Returns the demand forecast for the end of `horizon`, the time until a copy that is ordered
    /// now can be used. A trend is only extrapolated if the difference of the averages is
    /// significant, since random arrivals of few requests cause differences as well.
    #[must_use]
    pub fn forecast(&self, now: Duration, horizon: Duration) -> f64 {
        let (fast, slow) = self.averages(now);
        // For Poisson arrivals, the variance of the average is its value times the request size
        // over twice the time constant.
        let error = (self.request_tokens * fast / (2.0 * FAST_SECONDS)).sqrt();
        let difference = fast - slow;
        if difference.abs() <= SIGNIFICANCE_FACTOR * error {
            return slow;
        }
        let slope = difference / (SLOW_SECONDS - FAST_SECONDS);
        let present = fast + slope * FAST_SECONDS;
        if slope > 0.0 {
            let forecast = present + slope * horizon.as_secs_f64();
            forecast.min(fast * MAX_GROWTH)
        } else {
            // A fall may end at any time, so that it is not extrapolated.
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
