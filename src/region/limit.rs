use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ids::RegionId;

/// Regions that a route or a team allows, or that both of them allow.
///
/// A plan without a list sets no limit, whereas two lists without a common region allow none. The
/// two cases are variants so that an empty list is never taken for the absence of a limit.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RegionLimit {
    /// There is no limit.
    #[default]
    Any,
    /// Only these regions are allowed, in ascending order; none if the list is empty.
    Only(Vec<RegionId>),
}

impl RegionLimit {
    /// Returns the limit that a list of a plan sets; an empty list sets none.
    #[must_use]
    pub fn new(mut regions: Vec<RegionId>) -> Self {
        if regions.is_empty() {
            return Self::Any;
        }
        regions.sort_unstable();
        regions.dedup();
        Self::Only(regions)
    }

    /// Returns the limit that allows what both limits allow.
    #[must_use]
    pub fn intersect(&self, other: &Self) -> Self {
        match (self, other) {
            (Self::Any, limit) | (limit, Self::Any) => limit.clone(),
            (Self::Only(own), Self::Only(others)) => {
                let common = own.iter().filter(|region| others.contains(region));
                Self::Only(common.cloned().collect())
            }
        }
    }

    /// Returns whether there is a limit.
    #[must_use]
    pub fn is_limited(&self) -> bool {
        *self != Self::Any
    }
}

impl fmt::Display for RegionLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Any => f.write_str("any"),
            Self::Only(regions) => f.write_str(&regions.join(" ")),
        }
    }
}
