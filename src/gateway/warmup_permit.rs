use std::time::Instant;

use crate::{
    entry::ReservedTokens,
    warmup::{MAX_RESERVATION_AGE, REQUEST_TOKENS},
};

/// Reservation of one request at a cold target. It is released when it is dropped unused.
#[derive(Debug)]
pub struct WarmupPermit {
    tokens: Option<ReservedTokens>,
    reserved_at: Instant,
}

impl WarmupPermit {
    /// Creates the permit of a reservation that was made just now.
    pub fn new(tokens: ReservedTokens) -> Self {
        Self {
            tokens: Some(tokens),
            reserved_at: Instant::now(),
        }
    }

    /// Uses the reservation for a request that is written now, and returns whether that is allowed. It is
    /// not when the reservation is too old.
    #[must_use]
    pub fn try_use(mut self) -> bool {
        let is_fresh = self.reserved_at.elapsed() <= MAX_RESERVATION_AGE;
        match self.tokens.take_if(|_| is_fresh) {
            Some(tokens) => {
                tokens.settle(REQUEST_TOKENS);
                true
            }
            None => false,
        }
    }
}

impl Drop for WarmupPermit {
    fn drop(&mut self) {
        if let Some(tokens) = self.tokens.take() {
            tokens.release();
        }
    }
}
