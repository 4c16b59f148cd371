use serde::{Deserialize, Serialize};

use super::request_table::{ChangeDigest, change_digest};
use crate::{
    border::FleetConfig,
    ids::{RequestId, Revision},
};

/// An operator's request to replace the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ApplyRequest {
    /// Id under which a resend finds the first outcome.
    pub request_id: RequestId,
    /// Revision that the operator's change starts from.
    pub expected: Revision,
    /// The whole new configuration.
    pub config: FleetConfig,
    /// Digest of the operator's own change, when the control daemon derived the configuration from
    /// it, such as for a key. It tells resends apart in place of the configuration, and a conflict
    /// is not recorded, since the daemon derives the configuration anew.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub change: Option<ChangeDigest>,
}

impl ApplyRequest {
    /// Requests a configuration that the operator wrote as a whole.
    #[must_use]
    pub fn new(request_id: RequestId, expected: Revision, config: FleetConfig) -> Self {
        Self {
            request_id,
            expected,
            config,
            change: None,
        }
    }

    pub(super) fn digest(&self) -> ChangeDigest {
        self.change
            .unwrap_or_else(|| change_digest(&(self.expected, &self.config)))
    }
}
