use serde::{Deserialize, Serialize};

use super::ServedModel;
use crate::region::RegionLimit;

/// A model that requests wait for because no target that they allow has it loaded.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AwaitedModel {
    /// The model.
    pub model: ServedModel,
    /// Regions in which the requests may be served.
    pub regions: RegionLimit,
}
