use std::collections::BTreeMap;

use super::{DataCentreFilter, RegionLimit};
use crate::ids::{DataCentreId, RegionId};

/// Regions of data centres, from the settings of the process. A data centre that the table does not
/// name is in no region.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RegionTable {
    regions: BTreeMap<DataCentreId, RegionId>,
}

impl RegionTable {
    /// Returns a table of data centres with their regions.
    ///
    /// Empty names are left out: a target whose data centre could not be read has an empty one, and
    /// must not count as in a region.
    #[must_use]
    pub fn new(regions: impl IntoIterator<Item = (DataCentreId, RegionId)>) -> Self {
        let named = regions
            .into_iter()
            .filter(|(data_centre, region)| !data_centre.is_empty() && !region.is_empty());
        Self {
            regions: named.collect(),
        }
    }

    /// Returns the region of a data centre; `None` if it is in no region.
    #[must_use]
    pub fn region(&self, data_centre: &DataCentreId) -> Option<&RegionId> {
        self.regions.get(data_centre)
    }

    /// Returns the number of data centres in the table.
    #[must_use]
    pub fn len(&self) -> usize {
        self.regions.len()
    }

    /// Returns whether no data centre is in a region.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.regions.is_empty()
    }

    /// Returns the data centres in the regions that a limit allows.
    #[must_use]
    pub fn filter(&self, limit: &RegionLimit) -> DataCentreFilter {
        match limit {
            RegionLimit::Any => DataCentreFilter::Any,
            RegionLimit::Only(allowed) => {
                let regions = self.regions.iter();
                let allowed = regions.filter(|(_, region)| allowed.contains(region));
                DataCentreFilter::Only(allowed.map(|(name, _)| name.clone()).collect())
            }
        }
    }
}
