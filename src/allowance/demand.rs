use std::time::Duration;

/// Time constant of the average, and the time ahead that a share covers. Equal values make the
/// target of a single request 0, so that sparse teams are granted on demand only.
const HORIZON_SECONDS: f64 = 2.0;

/// A share without a request for this long wants nothing.
const IDLE_AFTER: Duration = Duration::from_millis(1500);

/// Recent use of one team's tokens at one entry.
#[derive(Clone, Copy, Debug, Default)]
pub struct DemandRate {
    tokens_per_second: f64,
    last_tokens: f64,
    updated_at: Duration,
}

impl DemandRate {
    /// Counts a request that was admitted.
    #[allow(clippy::cast_precision_loss)] // A rounding error of the estimate is harmless.
    pub fn record(&mut self, tokens: u64, now: Duration) {
        self.tokens_per_second = self.rate_at(now) + tokens as f64 / HORIZON_SECONDS;
        self.last_tokens = tokens as f64;
        self.updated_at = self.updated_at.max(now);
    }

    /// Returns how many tokens the entry should hold in advance.
    ///
    /// The size of one request is subtracted: a team needs about two requests per horizon at this
    /// entry before tokens are held for it, otherwise many entries would strand a small burst.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn target(&self, now: Duration) -> u64 {
        if now.saturating_sub(self.updated_at) >= IDLE_AFTER {
            return 0;
        }
        (self.rate_at(now) * HORIZON_SECONDS - self.last_tokens).max(0.0) as u64
    }

    fn rate_at(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.tokens_per_second * (-elapsed / HORIZON_SECONDS).exp()
    }
}
