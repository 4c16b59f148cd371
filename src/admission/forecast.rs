use std::time::Duration;

/// Factor by which the expected wait must exceed the time left for a request to be refused at once,
/// because a wrong refusal costs callers more than a late one.
const REFUSAL_MARGIN: f64 = 1.5;
/// Longest expected wait, which also stands for a pool that gives no slots.
const MAX_WAIT: Duration = Duration::from_hours(1);

/// Expected wait of a request that has just arrived.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WaitForecast {
    /// Number of requests that precede it in the order.
    pub position: usize,
    /// Slots a second that the pool gives to this gateway; `None` while it is unknown.
    pub rate: Option<f64>,
    /// Expected wait; `None` while the rate is unknown.
    pub wait: Option<Duration>,
}

impl WaitForecast {
    /// Creates a forecast. `urgent_ahead` requests of more urgent ranks and `others_ahead` of the
    /// same rank precede the request; `rate_left` is the rate of slots that is left for its rank.
    #[allow(clippy::cast_precision_loss)] // Counts are far below 2^52.
    pub(super) fn new(
        urgent_ahead: usize,
        others_ahead: usize,
        rate: Option<f64>,
        rate_left: Option<f64>,
    ) -> Self {
        let wait = rate.zip(rate_left).map(|(rate, rate_left)| {
            let seconds = urgent_ahead as f64 / rate + (others_ahead + 1) as f64 / rate_left;
            // A rate of zero makes the quotient infinite or not a number.
            Duration::try_from_secs_f64(seconds).map_or(MAX_WAIT, |wait| wait.min(MAX_WAIT))
        });
        Self {
            position: urgent_ahead + others_ahead,
            rate,
            wait,
        }
    }

    /// Returns whether the request should be refused at once, given the time for which it can wait.
    #[must_use]
    pub fn is_futile(&self, time_left: Duration) -> bool {
        self.wait
            .is_some_and(|wait| wait > time_left.mul_f64(REFUSAL_MARGIN))
    }
}
