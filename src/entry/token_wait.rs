use std::time::{Duration, Instant};

/// How long a request waits for tokens.
#[derive(Clone, Copy, Debug)]
pub struct TokenPatience {
    /// Time until which it waits for a leader that has no tokens for it.
    pub shortage: Instant,
    /// Time until which it waits for an answer of a leader.
    pub answer: Instant,
}

/// Why a request gets no tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenRefusal {
    /// The leader has no tokens for it within its patience.
    OverLimit,
    /// No leader has answered.
    Unanswered,
}

/// What the leader has said about a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestStanding {
    Unanswered,
    /// The leader grants tokens once they are refilled, until the request's patience ends there. The request
    /// waits until such a grant would have arrived.
    Queued {
        until: Duration,
    },
    /// The leader will have tokens only after the request's patience.
    Refused,
}

/// A request that waits for tokens.
#[derive(Clone, Copy, Debug)]
pub(super) struct WaitingRequest {
    pub tokens: u64,
    /// Time until which it waits for a leader that has no tokens for it.
    pub until: Duration,
    /// Time for which it waits then.
    pub patience: Duration,
    pub standing: RequestStanding,
}

impl WaitingRequest {
    /// Returns the time until which tokens would be of use.
    pub fn waits_until(&self, now: Duration) -> Duration {
        match self.standing {
            RequestStanding::Unanswered => self.until.max(now + self.patience),
            RequestStanding::Queued { until } => until,
            RequestStanding::Refused => now,
        }
    }
}
