use serde::{Deserialize, Serialize};

use crate::{
    border::FleetConfig,
    ids::{RequestId, Revision},
};

/// An operator's request to replace the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ApplyRequest {
    /// Id under which a resend finds the first outcome.
    pub request_id: RequestId,
    /// Revision that the operator's change starts from.
    pub expected: Revision,
    /// The whole new configuration.
    pub config: FleetConfig,
}
