use serde::{Deserialize, Serialize};

use super::EngineReport;
use crate::{
    allowance::ShareReport,
    ids::{DataCentreId, Incarnation, ModelId, Revision, TargetId, VmId},
};

/// What an entry tells and asks in one sync.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SyncRequest {
    /// VM of the entry.
    pub vm: VmId,
    /// Data centre of the entry.
    pub data_centre: DataCentreId,
    /// Life of the entry process.
    pub incarnation: Incarnation,
    /// Grows with each sync of this incarnation.
    pub serial: u64,
    /// Configuration that the entry has in force.
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
    /// Whether the entry is shutting down and hands back its allowance.
    #[serde(rename = "leaving")]
    pub is_shutting_down: bool,
    /// Allowance used and wanted, for teams with activity.
    pub shares: Vec<ShareReport>,
    /// Demand per model since the last sync.
    pub demand: Vec<ModelDemand>,
    /// Reports of the engines that this entry polls.
    pub reports: Vec<TargetReport>,
    /// What the entry saw of targets since the last sync.
    pub observations: Vec<TargetObservation>,
    /// Longest time that the leader may hold the reply, in milliseconds.
    pub hold_ms: u64,
}

/// Demand for one model or adapter at one entry.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ModelDemand {
    /// Model or adapter, as callers address it.
    pub model: ModelId,
    /// Requests that arrived.
    pub requests: u32,
    /// Tokens that they asked for.
    pub tokens: u64,
    /// Requests that wait because no copy is resident.
    pub waiting: u32,
}

/// Report of an engine, as an entry polled it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TargetReport {
    /// Target that the report is about.
    pub target: TargetId,
    /// The engine's own report.
    pub report: EngineReport,
    /// Time between the poll and the sync that carries the report, in milliseconds.
    pub age_ms: u32,
}

/// What an entry saw of a target besides its reports.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum TargetObservation {
    /// Connections to the target fail.
    Unreachable(TargetId),
    /// The target takes connections again.
    Reachable(TargetId),
}
