use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use hyper::http::request::Parts;
use smallvec::SmallVec;

use crate::{
    adapter::RequestMetadata,
    ids::TeamId,
    plan::{PlanIndex, RoutePlan, TeamPlan},
    route::PrefixBlock,
};

/// Urgency that engines assume when a request states none.
const MOST_RANK: u8 = 9;

/// A caller's request that was read as a whole and matched with the plan.
pub struct GatewayRequest {
    /// Head as the caller sent it.
    pub parts: Parts,
    /// Whole body.
    pub body: Bytes,
    /// What the head says.
    pub facts: RequestMetadata,
    /// Plan that the request was matched with.
    pub plan: Arc<PlanIndex>,
    /// Route that it is on.
    pub route: Arc<RoutePlan>,
    /// Team that it belongs to.
    pub team: Option<Arc<TeamPlan>>,
    /// When it arrived.
    pub arrived: Instant,
    /// When it must be over.
    pub deadline: Instant,
    /// Prefixes of its prompt.
    pub prefix: SmallVec<[PrefixBlock; 4]>,
}

impl GatewayRequest {
    /// Returns the team's name.
    pub fn team_id(&self) -> Option<&TeamId> {
        self.team.as_ref().map(|team| &team.id)
    }

    /// Returns the request's urgency; a team's goes before the route's.
    pub fn rank(&self) -> u8 {
        let team = self.team.as_ref().and_then(|team| team.priority);
        team.unwrap_or(self.route.priority).min(MOST_RANK)
    }

    /// Returns the time that is left.
    pub fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns the tokens that the request counts against its team's limit.
    pub fn cost(&self) -> u64 {
        let plain = self.team.as_ref().map_or(0, |team| team.default_tokens);
        if self.facts.has_token_counts {
            self.facts.prompt_tokens + self.facts.max_output_tokens
        } else {
            plain
        }
    }

    /// Returns the request's name for log lines.
    pub fn name(&self) -> &str {
        self.facts.request_id.as_deref().unwrap_or("-")
    }
}
