use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use compact_str::CompactString;
use hyper::http::request::Parts;
use smallvec::SmallVec;

use crate::{
    adapter::{PromptPart, RequestMetadata},
    ids::TeamId,
    plan::{PlanIndex, RoutePlan, TeamPlan},
    route::PrefixBlock,
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

    /// Returns the names of the shared parts for log lines.
    pub fn shared_part_names(&self) -> CompactString {
        let names = self.shared_parts().iter();
        let names: Vec<_> = names.map(|part| format!("{:x}", part.hash)).collect();
        names.join(",").into()
    }

    /// Returns the request id for log lines, `-` when the caller sent none.
    pub fn log_id(&self) -> &str {
        self.metadata.request_id.as_deref().unwrap_or("-")
    }
}
