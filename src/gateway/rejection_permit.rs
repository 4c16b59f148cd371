use std::time::Instant;

use crate::{
    brittle::REJECTION_TIME,
    entry::ReservedTokens,
    warmup::{MAX_RESERVATION_AGE, REQUEST_TOKENS},
};

/// Permit for a request that a brittle target may turn away.
///
/// It is used up if the target does so, or if it may have done so unseen. Otherwise it is released.
#[derive(Debug)]
pub struct RejectionPermit {
    tokens: Option<ReservedTokens>,
    reserved_at: Instant,
    is_written: bool,
}

impl RejectionPermit {
    /// Creates the permit of a reservation that was made just now.
    pub fn new(tokens: ReservedTokens) -> Self {
        Self {
            tokens: Some(tokens),
            reserved_at: Instant::now(),
            is_written: false,
        }
    }

    /// Records that the request is written now, and returns whether that is allowed. It is not when the permit is too old.
    #[must_use]
    pub fn record_write(&mut self) -> bool {
        self.is_written = self.reserved_at.elapsed() <= MAX_RESERVATION_AGE;
        self.is_written
    }

    /// Releases the permit of a request that was not turned away.
    pub fn release(mut self) {
        self.is_written = false;
    }

    /// Waits for an answer, and releases the permit when the time is over in which the target would have turned the request
    /// away. Slow answers would otherwise bind permits that other requests need.
    pub async fn hold<T>(permit: &mut Option<Self>, answer: impl Future<Output = T>) -> T {
        let mut answer = std::pin::pin!(answer);
        if permit.is_some() {
            let early = tokio::time::timeout(REJECTION_TIME, &mut answer).await;
            if let Ok(output) = early {
                return output;
            }
            permit.take().into_iter().for_each(Self::release);
        }
        answer.await
    }
}

impl Drop for RejectionPermit {
    fn drop(&mut self) {
        match (self.tokens.take(), self.is_written) {
            (Some(tokens), true) => tokens.settle(REQUEST_TOKENS),
            (Some(tokens), false) => tokens.release(),
            (None, _) => {}
        }
    }
}
