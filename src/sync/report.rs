use serde::{Deserialize, Serialize};

use crate::ids::{FencingNumber, Incarnation, ModelId, VersionId};

/// Status report that an engine returns at `GET /engine/v1/report`; see docs/design.md, section 15.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// Incarnation of the engine process.
    pub incarnation: Incarnation,
    /// Copies that are in memory or being loaded or unloaded.
    pub copies: Vec<ResidentCopy>,
    /// Number of running requests.
    pub running: u32,
    /// Number of requests queued inside the engine.
    pub queued: u32,
    /// Highest fencing number of an order that the engine accepted.
    pub last_fencing: FencingNumber,
    /// Fencing number of the order that the engine is executing.
    #[serde(default)]
    pub in_progress: Option<FencingNumber>,
    /// Whether the engine is about to stop and must receive no new requests.
    #[serde(rename = "leaving")]
    #[serde(default)]
    pub is_shutting_down: bool,
}

/// A copy of a model or adapter that occupies accelerator memory of an engine.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ResidentCopy {
    /// Name of the model or adapter.
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
