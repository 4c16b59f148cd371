//! Allowed regions of requests; see docs/design/regions.md.

use spdlog::prelude::*;

use super::{
    config::GatewayConfig,
    proxy::{GatewayProxy, unavailable},
    request::GatewayRequest,
    targets::TargetTable,
};
use crate::{
    adapter::{RefusalNotice, RequestMetadata},
    ids::TargetId,
    plan::{RoutePlan, TeamPlan},
    region::{DataCentreFilter, RegionLimit, RegionScope},
    sync::AwaitedModel,
};

/// Logs the regions in the settings of a gateway, if there are any.
pub(super) fn log_regions(config: &GatewayConfig) {
    let listed = config.regions.region(&config.data_centre);
    match (&config.region, listed) {
        (None, None) if config.regions.is_empty() => {}
        (Some(region), Some(listed)) if region != listed => {
            warn!("gateway: the settings name two regions for this data centre, the table applies", kv: {
                data_centre = config.data_centre.as_str(),
                region = region.as_str(),
                listed = listed.as_str(),
            });
        }
        (region, listed) => info!("gateway: regions", kv: {
            region = region.as_ref().or(listed).map_or("-", |region| region.as_str()),
            data_centres = config.regions.len(),
        }),
    }
}

impl GatewayProxy {
    /// Returns where a request may be served.
    ///
    /// # Errors
    /// A refusal if no data centre is allowed.
    pub(super) fn region_scope(
        &self,
        metadata: &RequestMetadata,
        route: &RoutePlan,
        team: Option<&TeamPlan>,
    ) -> Result<RegionScope, RefusalNotice> {
        let team_limit = team.map(|team| &team.allowed_regions);
        let scope = RegionScope::new(&route.allowed_regions, team_limit, &self.regions);
        scope.map_err(|error| {
            info!("gateway: no allowed region", kv: {
                request = metadata.request_id.as_deref().unwrap_or("-"),
                route = route.id.as_str(),
                route_regions = route.allowed_regions.to_string().as_str(),
                team = team.map_or("-", |team| team.id.as_str()),
                team_regions = team_limit.map_or_else(|| "any".to_owned(), RegionLimit::to_string).as_str(),
                reason = error.reason(),
            });
            unavailable(error.reason())
        })
    }
}

impl GatewayRequest {
    /// Logs a model that the request waits for if only some regions are allowed.
    pub(super) fn log_regional_model(&self, awaited: &AwaitedModel) {
        if awaited.regions.is_limited() {
            info!("gateway: requests a model in allowed regions", kv: {
                request = self.log_id(),
                model = awaited.model.model.as_str(),
                regions = awaited.regions.to_string().as_str(),
            });
        }
    }

    /// Returns why no target can take the request: `reason`, unless only targets in its allowed
    /// regions were considered.
    pub(super) fn no_target_reason(&self, reason: &'static str) -> &'static str {
        if self.scope.limit.is_limited() {
            "no target in an allowed region can take the request"
        } else {
            reason
        }
    }
}

impl TargetTable {
    /// Returns whether one of the targets is in a data centre that passes a filter.
    pub(super) fn is_any_in(&self, targets: &[TargetId], filter: &DataCentreFilter) -> bool {
        let state = self.state();
        let mut entries = targets.iter().filter_map(|id| state.entries.get(id));
        entries.any(|entry| filter.allows(&entry.data_centre))
    }
}
