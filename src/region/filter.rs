use smallvec::SmallVec;

use crate::ids::DataCentreId;

/// Data centres whose targets may serve a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum DataCentreFilter {
    /// All data centres, including those in no region.
    #[default]
    Any,
    /// These data centres only.
    Only(SmallVec<[DataCentreId; 4]>),
}

impl DataCentreFilter {
    /// Returns whether a data centre passes the filter.
    #[must_use]
    pub fn allows(&self, data_centre: &DataCentreId) -> bool {
        match self {
            Self::Any => true,
            Self::Only(allowed) => allowed.contains(data_centre),
        }
    }
}
