use serde::{Deserialize, Serialize};

use super::EngineReport;
use crate::{
    allowance::ShareReport,
    ids::{DataCentreId, Incarnation, ModelId, Revision, TargetId, VmId},
};

/// Sync request from an entry to the leader.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SyncRequest {
    /// VM of the entry.
    pub vm: VmId,
    /// Data centre of the entry.
    pub data_centre: DataCentreId,
    /// Incarnation of the entry process.
    pub incarnation: Incarnation,
    /// Serial number, which grows with each sync of this incarnation.
    pub serial: u64,
    /// Revision of the configuration that the entry has in force.
    pub revision: Revision,
    /// Version of the residency table that the entry has.
    #[serde(rename = "residency")]
    pub residency_version: u64,
    /// Version of the list of avoided targets that the entry has.
    #[serde(rename = "avoided")]
    #[serde(default)]
    pub avoided_version: u64,
    /// Version of the crash table that the entry has.
    #[serde(rename = "crashes")]
    pub crashes_version: u64,
    /// Version of the suspect parts that the entry has.
    #[serde(default)]
    pub parts_version: u64,
    /// Whether the entry is shutting down and returns its allowance.
    #[serde(rename = "leaving")]
    pub is_shutting_down: bool,
    /// Allowance used and requested by each active team.
    pub shares: Vec<ShareReport>,
    /// Demand per model since the last sync.
    pub demand: Vec<ModelDemand>,
    /// Reports of the engines that this entry polls.
    pub reports: Vec<TargetReport>,
    /// Changes of reachability that the entry observed since the last sync.
    pub observations: Vec<TargetObservation>,
    /// Maximum time in milliseconds for which the leader may delay the reply (long polling).
    pub hold_ms: u64,
}

/// Demand for one model or adapter at one entry.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ModelDemand {
    /// Name of the model or adapter that callers use.
    pub model: ModelId,
    /// Number of requests that arrived.
    pub requests: u32,
    /// Tokens that these requests asked for.
    pub tokens: u64,
    /// Number of requests that wait because no copy is resident.
    pub waiting: u32,
}

/// Report of an engine that an entry polled.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TargetReport {
    /// Target that the report is about.
    pub target: TargetId,
    /// Report that the engine returned.
    pub report: EngineReport,
    /// Age of the report when the sync is sent, in milliseconds.
    pub age_ms: u32,
}

/// Reachability of a target as observed by an entry, apart from the target's reports.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum TargetObservation {
    /// Connections to the target fail.
    Unreachable(TargetId),
    /// The target accepts connections again.
    Reachable(TargetId),
}
