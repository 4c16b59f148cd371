use std::time::Duration;

/// Time constant of the average, and the time for which a share covers the expected demand. Because
/// the two are equal, a single request yields a target of 0 and sparse teams get tokens on demand
/// only.
const HORIZON_SECONDS: f64 = 2.0;

/// Time without a request after which the target is 0.
const IDLE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Recent rate at which one team's tokens are used at one entry.
#[derive(Clone, Copy, Debug, Default)]
pub struct DemandRate {
    tokens_per_second: f64,
    last_tokens: f64,
    updated_at: Duration,
}

impl DemandRate {
    /// Records an admitted request.
    #[allow(clippy::cast_precision_loss)] // Rounding does not matter in an estimate.
    pub fn record(&mut self, tokens: u64, now: Duration) {
        self.tokens_per_second = self.rate_at(now) + tokens as f64 / HORIZON_SECONDS;
        self.last_tokens = tokens as f64;
        self.updated_at = self.updated_at.max(now);
    }

    /// Returns the number of tokens that the entry should hold in advance.
    ///
    /// The size of the last request is subtracted, so that tokens are only held for a team with
    /// about two or more requests per horizon at this entry. Otherwise, many entries would hold
    /// idle parts of a small burst.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn target_tokens(&self, now: Duration) -> u64 {
        if now.saturating_sub(self.updated_at) >= IDLE_TIMEOUT {
            return 0;
        }
        (self.rate_at(now) * HORIZON_SECONDS - self.last_tokens).max(0.0) as u64
    }

    fn rate_at(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.tokens_per_second * (-elapsed / HORIZON_SECONDS).exp()
    }
}
