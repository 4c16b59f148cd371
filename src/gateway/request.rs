use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use hyper::http::request::Parts;
use smallvec::SmallVec;

use super::part_watch::RequestParts;
use crate::{
    adapter::{PromptPart, RequestMetadata},
    ids::{Fingerprint, ServiceId, SoftwareVersion, TeamId},
    plan::{PlanIndex, RoutePlan, TeamPlan},
    region::RegionScope,
    route::PrefixBlock,
    sync::PartKind,
};

/// Rank of the least urgent requests. Engines assume it when a request states none.
const MAX_RANK: u8 = 9;

/// A caller's request, read in full and matched with the plan.
pub struct GatewayRequest {
    /// Head of the request as the caller sent it.
    pub parts: Parts,
    /// Complete body.
    pub body: Bytes,
    /// Metadata that the adapter parsed from the head.
    pub metadata: RequestMetadata,
    /// Plan that the request was matched with.
    pub plan: Arc<PlanIndex>,
    /// Time since the plan was last proved to be the newest one, when the request was matched.
    pub proof_age: Option<Duration>,
    /// Route that matches the request.
    pub route: Arc<RoutePlan>,
    /// Team that the request belongs to; `None` on a route that is open to anyone.
    pub team: Option<Arc<TeamPlan>>,
    /// When the head of the request arrived.
    pub arrived_at: Instant,
    /// When the answer must be complete.
    pub deadline: Instant,
    /// Prefixes of the prompt, shortest first.
    pub prefix_blocks: SmallVec<[PrefixBlock; 4]>,
    /// Service and version that began the stream that the request takes up.
    pub origin: Option<(ServiceId, SoftwareVersion)>,
    /// Where the request may be served.
    pub scope: RegionScope,
}

impl GatewayRequest {
    /// Returns the id of the team that the request belongs to.
    pub fn team_id(&self) -> Option<&TeamId> {
        self.team.as_ref().map(|team| &team.id)
    }

    /// Returns the urgency of the request, 0 for the most urgent: the priority of its team if set,
    /// otherwise that of its route.
    pub fn rank(&self) -> u8 {
        let team = self.team.as_ref().and_then(|team| team.priority);
        team.unwrap_or(self.route.priority).min(MAX_RANK)
    }

    /// Returns the time left until the deadline.
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns the tokens that the request counts against the limit of its team.
    pub fn token_cost(&self) -> u64 {
        let default_tokens = self.team.as_ref().map_or(0, |team| team.default_tokens);
        if self.metadata.has_token_counts {
            self.metadata.prompt_tokens + self.metadata.max_output_tokens
        } else {
            default_tokens
        }
    }

    /// Returns the parts of the prompt that other requests may share: all but the last, which belongs
    /// to the request or its session.
    pub fn shared_parts(&self) -> &[PromptPart] {
        let parts = self.metadata.parts.as_slice();
        parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Returns what a crash of a target that runs the request may be due to: its shared parts and the
    /// request as a whole. Another service may run the same without a crash.
    pub fn crash_parts(&self, service: &ServiceId) -> RequestParts {
        let mut request = PartHasher::new(service, PartKind::Request);
        request.update(self.parts.method.as_str().as_bytes());
        request.update(self.parts.uri.to_string().as_bytes());
        request.update(self.team_id().map_or("", |team| team).as_bytes());
        request.update(
            self.metadata
                .model
                .as_deref()
                .unwrap_or_default()
                .as_bytes(),
        );
        for part in &self.metadata.parts {
            request.update(&part.hash.to_le_bytes());
        }
        request.update(&self.body);
        let parts = self.shared_parts().iter().map(|part| {
            let mut hasher = PartHasher::new(service, PartKind::Prompt);
            hasher.update(&part.hash.to_le_bytes());
            hasher.finish()
        });
        parts.chain(std::iter::once(request.finish())).collect()
    }

    /// Returns whether the caller takes up a stream that broke off.
    pub fn is_resuming(&self) -> bool {
        let metadata = &self.metadata;
        self.route.kind.is_stream()
            && (metadata.last_event_id.is_some() || metadata.first_attempt.is_some())
    }

    /// Returns the request id for log lines, `-` when the caller sent none.
    pub fn log_id(&self) -> &str {
        self.metadata.request_id.as_deref().unwrap_or("-")
    }
}

/// Hasher of what a crash may be due to.
struct PartHasher {
    kind: PartKind,
    hasher: blake3::Hasher,
}

impl PartHasher {
    fn new(service: &ServiceId, kind: PartKind) -> Self {
        let mut hasher = Self {
            kind,
            hasher: blake3::Hasher::new(),
        };
        hasher.update(service.as_bytes());
        hasher
    }

    fn update(&mut self, field: &[u8]) {
        self.hasher.update(&(field.len() as u64).to_le_bytes());
        self.hasher.update(field);
    }

    fn finish(self) -> (Fingerprint, PartKind) {
        let mut fingerprint = [0; 16];
        fingerprint.copy_from_slice(&self.hasher.finalize().as_bytes()[..16]);
        (Fingerprint::new(fingerprint), self.kind)
    }
}
