use std::time::Duration;

use compact_str::CompactString;
use smallvec::SmallVec;

use crate::ids::{RouteId, ServiceId};

/// What may be repeated on a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// Requests may run more than once.
    Idempotent,
    /// A request runs at most once.
    Once,
    /// A stream of events that runs at most once.
    Stream,
    /// A stream that may go on at another target after the last event.
    ResumableStream,
}

impl RouteKind {
    /// Tells whether a request that may have run can be sent again.
    #[must_use]
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Tells whether the answer is a stream of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// Part of a route's requests that goes to one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceShare {
    /// The service.
    pub service: ServiceId,
    /// Its weight among the route's services.
    pub weight: u32,
}

/// One route: requests to a host whose path begins with a prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoutePlan {
    /// Name of the route.
    pub id: RouteId,
    /// Host in lower case.
    pub host: CompactString,
    /// Path prefix, with a slash at both ends.
    pub prefix: CompactString,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a request may take.
    pub timeout: Duration,
    /// Time within which the first byte of an answer is due.
    pub first_byte_target: Duration,
    /// Longest pause between two events of a stream that is still on time.
    pub event_gap_target: Option<Duration>,
    /// Urgency; 0 is the most urgent.
    pub priority: u8,
    /// Services that run the requests.
    pub shares: SmallVec<[ServiceShare; 2]>,
    /// Targets that one request may be sent to.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub is_public: bool,
}

impl RoutePlan {
    /// Returns the service for a request, given a number drawn uniformly from all of `u32`.
    #[must_use]
    pub fn service(&self, draw: u32) -> Option<&ServiceId> {
        let total: u64 = self
            .shares
            .iter()
            .map(|share| u64::from(share.weight))
            .sum();
        if total == 0 {
            return None;
        }
        let mut left = u64::from(draw) * total / (u64::from(u32::MAX) + 1);
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if left < weight {
                return Some(&share.service);
            }
            left -= weight;
        }
        None
    }
}
