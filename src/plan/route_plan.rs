use std::time::Duration;

use compact_str::CompactString;
use smallvec::SmallVec;

use crate::{
    ids::{RouteId, ServiceId},
    region::RegionLimit,
};

/// Kind of a route, which determines whether its requests may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// Requests may run more than once.
    Idempotent,
    /// A request runs at most once.
    Once,
    /// A request runs at most once and its response is a stream of events.
    Stream,
    /// A response is a stream of events that another target may continue after the last event.
    ResumableStream,
}

impl RouteKind {
    /// Returns whether a request that may have run can be sent again.
    #[must_use]
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Returns whether the response is a stream of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// Share of a route's requests that goes to one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceShare {
    /// Service that receives the requests.
    pub service: ServiceId,
    /// Weight of the service relative to the route's other services.
    pub weight: u32,
}

/// One route, which matches requests to a host whose path starts with a prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoutePlan {
    /// Name of the route.
    pub id: RouteId,
    /// Host name in lower case.
    pub host: CompactString,
    /// Path prefix, which starts and ends with a slash.
    pub prefix: CompactString,
    /// Kind of the route.
    pub kind: RouteKind,
    /// Maximum duration of a request.
    pub timeout: Duration,
    /// Target latency of the first byte of a response.
    pub first_byte_target: Duration,
    /// Target for the maximum interval between two events of a stream.
    pub event_gap_target: Option<Duration>,
    /// Priority of the requests; 0 is the most urgent.
    pub priority: u8,
    /// Services that run the requests.
    pub shares: SmallVec<[ServiceShare; 2]>,
    /// Maximum number of targets that one request is sent to.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub is_public: bool,
    /// Regions whose targets may run the requests.
    pub allowed_regions: RegionLimit,
}

impl RoutePlan {
    /// Returns the service for a request, given a random number that is uniform over all of `u32`.
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
        let mut offset = u64::from(draw) * total / (u64::from(u32::MAX) + 1);
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if offset < weight {
                return Some(&share.service);
            }
            offset -= weight;
        }
        None
    }
}
