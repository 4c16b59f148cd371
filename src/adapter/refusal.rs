use std::time::Duration;

/// Reason why a gateway responds to a request itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalKind {
    /// No route matches the request.
    NoRoute,
    /// The key is unknown or missing.
    UnknownKey,
    /// The request is malformed.
    Malformed,
    /// The body exceeds the maximum length.
    BodyTooLong,
    /// The team is over its limit; the request has not run.
    OverLimit,
    /// No target can serve the request at the moment; the request has not run.
    Unavailable,
    /// This gateway reaches no target that can serve the request; the request has not run.
    Unreachable,
    /// A target failed; the request may have run.
    TargetFailed,
    /// The deadline expired; the request may have run.
    TimedOut,
}

/// A response that a gateway itself gives to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RefusalNotice {
    /// Kind of the refusal, which determines the response's status.
    pub kind: RefusalKind,
    /// Reason as written to the log.
    pub reason: &'static str,
    /// Delay after which the caller should retry.
    pub retry_after: Option<Duration>,
}

impl RefusalKind {
    /// Returns whether a refusal for lack of a target promises that the request has not run.
    #[must_use]
    pub fn is_unserved(self) -> bool {
        matches!(self, Self::Unavailable | Self::Unreachable)
    }
}

impl RefusalNotice {
    /// Returns a refusal without a retry delay.
    #[must_use]
    pub fn new(kind: RefusalKind, reason: &'static str) -> Self {
        Self {
            kind,
            reason,
            retry_after: None,
        }
    }

    /// Sets the delay after which the caller should retry.
    #[must_use]
    pub fn with_retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }
}
