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
    /// Id under which a resend finds the first outcome.
    pub request_id: RequestId,
    /// Revision that the change starts from.
    pub expected: Revision,
    /// The whole new configuration. It is checked as a document, to list all its errors.
    pub config: Value,
}

/// Body of a request to add a key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyAddBody {
    /// Id under which a resend finds the first outcome.
    pub request_id: RequestId,
    /// The key, by its hash.
    pub key: KeyConfig,
}

/// Body of a request to revoke a key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyRevokeBody {
    /// Id under which a resend finds the first outcome.
    pub request_id: RequestId,
    /// Id of the key.
    pub id: KeyId,
}

/// The latest revisions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HistoryView {
    /// The kept revisions, the latest first.
    pub revisions: Vec<RevisionRecord>,
}

/// Differences between two revisions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DiffView {
    /// The revision that the differences start from.
    pub from: Revision,
    /// The revision that they lead to.
    pub to: Revision,
    /// The differences.
    pub changes: Vec<FleetChange>,
}

/// Whether a revision is in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForceView {
    /// The revision.
    pub revision: Revision,
    /// VMs whose entries may still serve with an earlier one.
    pub lacking: Vec<VmId>,
}

/// What is out of service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainsView {
    /// All drains.
    pub drains: Vec<DrainView>,
}

/// One drain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainView {
    /// VM or target.
    pub subject: DrainSubject,
    /// Time since which it drains, in milliseconds since the Unix epoch.
    pub since_ms: u64,
}
