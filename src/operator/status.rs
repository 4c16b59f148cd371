use serde::{Deserialize, Serialize};

use super::DrainView;
use crate::{
    ids::{CommandLevel, DataCentreId, FencingNumber, LogIndex, Revision, TargetId, Term, VmId},
    order::OrderAction,
    sync::ResidentCopy,
};

/// State of the fleet, as its leader knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatusView {
    /// Term of the leader that answers.
    pub term: Term,
    /// Last entry of the log that the leader has applied.
    pub applied: LogIndex,
    /// Highest command level that may be proposed.
    pub level: CommandLevel,
    /// Revision in force.
    pub revision: Revision,
    /// Entries that sync with the leader.
    pub entries: Vec<EntryFreshness>,
    /// Engines that reported.
    pub engines: Vec<EngineStatus>,
    /// What is out of service.
    pub drains: Vec<DrainView>,
    /// Claims of idempotency keys.
    pub claims: ClaimsStatus,
    /// Requests that took targets down.
    pub suspects: SuspectsStatus,
}

/// Whether an entry has the revision in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InForce {
    /// It has.
    Current,
    /// It has an earlier one.
    Behind,
}

/// What the leader knows of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryFreshness {
    /// VM of the entry.
    pub vm: VmId,
    /// Life of the entry process, in hexadecimal digits.
    pub incarnation: String,
    /// Data centre of the entry.
    pub data_centre: DataCentreId,
    /// Revision at its last sync.
    pub revision: Revision,
    /// Whether that is the revision in force.
    pub in_force: InForce,
    /// Time since its last sync, in milliseconds.
    pub age_ms: u64,
}

/// Memory of one engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// The engine.
    pub target: TargetId,
    /// Life of the engine process, in hexadecimal digits; `null` when its report is awaited.
    pub incarnation: Option<String>,
    /// Copies that the engine confirmed.
    pub copies: Vec<ResidentCopy>,
    /// Memory reserved on each accelerator, in MiB.
    pub reserved_mib: Vec<u64>,
    /// Memory of each accelerator, in MiB.
    pub memory_mib: u64,
    /// Orders that are not settled.
    pub orders: Vec<OrderStatus>,
}

/// An order that is not settled.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OrderStatus {
    /// Fencing number of the order.
    pub fencing: FencingNumber,
    /// What the engine was ordered to do.
    pub action: OrderAction,
}

/// Numbers of the claim table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimsStatus {
    /// Claims in the table.
    pub total: usize,
    /// Claims whose request runs.
    pub open: usize,
    /// Bytes of recorded responses.
    pub recorded_bytes: usize,
}

/// Numbers of the crash table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectsStatus {
    /// Requests that took a target down.
    pub total: usize,
    /// Those that may not run.
    pub blocked: usize,
}
