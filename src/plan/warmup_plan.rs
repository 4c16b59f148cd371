use std::time::Duration;

/// What a target of a service can handle before it is warm.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmupPlan {
    /// Time for which a target stays cold after its start.
    pub cold_time: Duration,
    /// Requests per second that a cold target can handle.
    pub requests_per_second: f64,
}
