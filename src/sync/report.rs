use serde::{Deserialize, Serialize};

use crate::ids::{FencingNumber, Incarnation, ModelId, VersionId};

/// Report of an engine at `GET /engine/v1/report`; see docs/design.md, section 15.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// Life of the engine process.
    pub incarnation: Incarnation,
    /// Copies in memory or being loaded or unloaded.
    pub copies: Vec<ResidentCopy>,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait inside the engine.
    pub queued: u32,
    /// Greatest fencing number of an order that the engine accepted.
    pub last_fencing: FencingNumber,
    /// Fencing number of an order that the engine is carrying out.
    #[serde(default)]
    pub in_progress: Option<FencingNumber>,
    /// Whether the engine is about to stop and wants no new work.
    #[serde(rename = "leaving")]
    #[serde(default)]
    pub is_shutting_down: bool,
}

/// One copy of a model or adapter that takes accelerator memory of an engine.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ResidentCopy {
    /// Model or adapter.
    pub model: ModelId,
    /// Version of the model or adapter.
    pub version: VersionId,
    /// Index of the first accelerator that the copy spans.
    pub first_accelerator: u32,
    /// Number of accelerators that the copy spans.
    pub span: u32,
    /// Memory on each of these accelerators, in MiB.
    pub memory_mib: u64,
    /// Whether the copy can serve requests.
    #[serde(rename = "ready")]
    pub is_ready: bool,
}
