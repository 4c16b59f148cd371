use serde::{Deserialize, Serialize};

use super::request_table::{ChangeDigest, change_digest};
use crate::{
    border::FleetConfig,
    ids::{RequestId, Revision},
};

/// An operator's request to replace the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ApplyRequest {
    /// Identifies the request, so that a resend returns the outcome of the first attempt.
    pub request_id: RequestId,
    /// Revision that the change is based on.
    pub expected: Revision,
    /// The complete new configuration.
    pub config: FleetConfig,
    /// Digest of the operator's change, set when the control daemon derived the configuration from
    /// that change, for example when a key is added. Resends are then recognised by this digest
    /// instead of the configuration, and a conflict is not recorded, since the daemon derives the
    /// configuration again from the newer revision.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub change: Option<ChangeDigest>,
}

impl ApplyRequest {
    /// Creates a request for a complete configuration that the operator supplied.
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
