use std::time::Duration;

/// Limits retries to a share of the traffic, so that retries cannot multiply an overload.
///
/// Each request earns a part of a retry. A small constant flow lets quiet teams retry as well.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tokens: f64,
    updated: Duration,
}

/// Part of a retry that each request earns.
const EARNED_PER_REQUEST: f64 = 0.1;
/// Retries earned per second without any traffic.
const FLOOR_PER_SECOND: f64 = 0.2;
/// Most retries that can be saved up; about 10% of ten seconds at 100 requests/s.
const MOST_SAVED: f64 = 100.0;
/// Retries that a new budget holds.
const INITIAL: f64 = 2.0;

impl RetryBudget {
    /// Creates a budget with a few retries in it.
    #[must_use]
    pub fn new(now: Duration) -> Self {
        Self {
            tokens: INITIAL,
            updated: now,
        }
    }

    /// Earns the share of one request.
    pub fn record_request(&mut self, now: Duration) {
        self.refill(now);
        self.tokens = (self.tokens + EARNED_PER_REQUEST).min(MOST_SAVED);
    }

    /// Spends one retry if the budget covers it.
    pub fn try_spend(&mut self, now: Duration) -> bool {
        self.refill(now);
        let covered = self.tokens >= 1.0;
        if covered {
            self.tokens -= 1.0;
        }
        covered
    }

    /// Gives back a retry that was not made.
    pub fn refund(&mut self) {
        self.tokens = (self.tokens + 1.0).min(MOST_SAVED);
    }

    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.updated);
        self.updated = self.updated.max(now);
        // The floor alone does not save up more than a new budget holds.
        if self.tokens < INITIAL {
            let floor = FLOOR_PER_SECOND * elapsed.as_secs_f64();
            self.tokens = (self.tokens + floor).min(INITIAL);
        }
    }
}
