use std::time::Duration;

/// Limits on the size and duration of what callers send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request's head in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request's body in bytes.
    pub max_body_bytes: usize,
    /// Maximum time to receive the head of a request.
    pub header_timeout: Duration,
    /// Maximum time for which a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Returns the limits that apply before the first plan, while every request is refused anyway.
    fn default() -> Self {
        Self {
            max_header_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
