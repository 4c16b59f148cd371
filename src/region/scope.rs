use super::{DataCentreFilter, RegionLimit, RegionTable};

/// Reason why no target can ever serve a request under the plan and the settings in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ScopeError {
    /// The route and the team allow no common region.
    NoCommonRegion,
    /// The settings name no data centre in an allowed region.
    NoDataCentre,
}

impl ScopeError {
    /// Returns the reason for the log.
    #[must_use]
    pub fn reason(self) -> &'static str {
        match self {
            Self::NoCommonRegion => "the route and the team allow no common region",
            Self::NoDataCentre => "no data centre is in an allowed region",
        }
    }
}

/// Where a request may be served: the regions that its route and its team allow, and the data
/// centres in them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RegionScope {
    /// Regions that are allowed.
    pub limit: RegionLimit,
    /// Data centres in these regions.
    pub data_centres: DataCentreFilter,
}

impl RegionScope {
    /// Returns the scope of a request from the limits of its route and its team.
    ///
    /// # Errors
    /// [`ScopeError`] when no data centre is allowed.
    pub fn new(
        route: &RegionLimit,
        team: Option<&RegionLimit>,
        table: &RegionTable,
    ) -> Result<Self, ScopeError> {
        let limit = team.map_or_else(|| route.clone(), |team| route.intersect(team));
        let data_centres = table.filter(&limit);
        match (&limit, &data_centres) {
            (RegionLimit::Only(regions), _) if regions.is_empty() => {
                Err(ScopeError::NoCommonRegion)
            }
            (_, DataCentreFilter::Only(allowed)) if allowed.is_empty() => {
                Err(ScopeError::NoDataCentre)
            }
            _ => Ok(Self {
                limit,
                data_centres,
            }),
        }
    }
}
