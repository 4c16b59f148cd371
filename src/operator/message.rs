use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::{
    border::{FleetConfig, KeyConfig},
    fleet::FleetChange,
    ids::{KeyId, RequestId, Revision, VmId},
    state::{DrainSubject, RevisionRecord},
};

/// A revision and its configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigView {
    /// Number of the revision; 0 before the first one.
    pub revision: Revision,
    /// The configuration; `null` before the first one.
    pub config: Option<FleetConfig>,
}

/// Body of a request to replace the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ApplyBody {
    /// Request id; a retry with the same id returns the outcome of the first request.
    pub request_id: RequestId,
    /// Revision that the change is based on.
    pub expected: Revision,
    /// The complete new configuration. It is kept as a JSON document so that validation can list
    /// all errors.
    pub config: Value,
}

/// Body of a request to add a key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyAddBody {
    /// Request id; a retry with the same id returns the outcome of the first request.
    pub request_id: RequestId,
    /// The key, identified by its hash.
    pub key: KeyConfig,
}

/// Body of a request to revoke a key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyRevokeBody {
    /// Request id; a retry with the same id returns the outcome of the first request.
    pub request_id: RequestId,
    /// Id of the key.
    pub id: KeyId,
}

/// History of revisions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HistoryView {
    /// Retained revisions, latest first.
    pub revisions: Vec<RevisionRecord>,
}

/// Differences between two revisions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DiffView {
    /// Base revision.
    pub from: Revision,
    /// Revision that is compared with the base.
    pub to: Revision,
    /// The differences.
    pub changes: Vec<FleetChange>,
}

/// Whether a revision is in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForceView {
    /// The revision.
    pub revision: Revision,
    /// VMs whose entries may still serve an earlier revision.
    #[serde(rename = "lacking")]
    pub outdated_vms: Vec<VmId>,
}

/// VMs and targets that are out of service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainsView {
    /// All drains.
    pub drains: Vec<DrainView>,
}

/// One drain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainView {
    /// The VM or target that is drained.
    pub subject: DrainSubject,
    /// Start of the drain, in milliseconds since the Unix epoch.
    pub since_ms: u64,
}
