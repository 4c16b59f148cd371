use std::time::Duration;

/// Why a gateway answers a request itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalKind {
    /// No route matches.
    NoRoute,
    /// The key is unknown or missing.
    UnknownKey,
    /// The request is not proper.
    Malformed,
    /// The body is too long.
    BodyTooLong,
    /// The team is over its limit; the request has not run.
    OverLimit,
    /// The request cannot be served now; it has not run.
    Unavailable,
    /// A target failed; the request may have run.
    TargetFailed,
    /// The time is over; the request may have run.
    TimedOut,
}

/// An answer that a gateway gives itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RefusalNotice {
    /// Why.
    pub kind: RefusalKind,
    /// Why, for the log.
    pub reason: &'static str,
    /// When the caller should come back.
    pub retry_after: Option<Duration>,
}

impl RefusalNotice {
    /// Returns a refusal without a time to come back.
    #[must_use]
    pub fn new(kind: RefusalKind, reason: &'static str) -> Self {
        Self {
            kind,
            reason,
            retry_after: None,
        }
    }

    /// Sets when the caller should come back.
    #[must_use]
    pub fn with_retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }
}
