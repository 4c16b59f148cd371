use serde::{Deserialize, Serialize};

use super::DrainView;
use crate::{
    ids::{CommandLevel, DataCentreId, FencingNumber, LogIndex, Revision, TargetId, Term, VmId},
    order::OrderAction,
    sync::ResidentCopy,
};

/// State of the fleet as reported by the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatusView {
    /// Term of the leader that sent the response.
    pub term: Term,
    /// Index of the last log entry that the leader has applied.
    pub applied: LogIndex,
    /// Highest command level that may be proposed.
    pub level: CommandLevel,
    /// Revision in force.
    pub revision: Revision,
    /// Entries that sync with the leader.
    pub entries: Vec<EntryFreshness>,
    /// Engines known to the leader.
    pub engines: Vec<EngineStatus>,
    /// VMs and targets that are out of service.
    pub drains: Vec<DrainView>,
    /// Counts of idempotency key claims.
    pub claims: ClaimsStatus,
    /// Counts of requests that crashed targets.
    pub suspects: SuspectsStatus,
}

/// Whether an entry has the revision in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RevisionStatus {
    /// The entry has the revision in force.
    Current,
    /// The entry has an earlier revision.
    Behind,
}

/// Sync state of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryFreshness {
    /// VM of the entry.
    pub vm: VmId,
    /// Incarnation of the entry process, in hexadecimal digits.
    pub incarnation: String,
    /// Data centre of the entry.
    pub data_centre: DataCentreId,
    /// Revision at its last sync.
    pub revision: Revision,
    /// Whether that is the revision in force.
    pub in_force: RevisionStatus,
    /// Time since its last sync, in milliseconds.
    pub age_ms: u64,
}

/// Memory use and pending orders of an engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// The engine.
    pub target: TargetId,
    /// Incarnation of the engine process, in hexadecimal digits; `null` until its report arrives.
    pub incarnation: Option<String>,
    /// Resident copies that the engine has confirmed.
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
    /// Action that the engine has to carry out.
    pub action: OrderAction,
}

/// Statistics of the claim table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimsStatus {
    /// Claims in the table.
    pub total: usize,
    /// Claims whose request is still running.
    pub open: usize,
    /// Total size of the recorded responses, in bytes.
    pub recorded_bytes: usize,
}

/// Statistics of the crash table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectsStatus {
    /// Requests that crashed a target.
    pub total: usize,
    /// Suspect requests that are blocked from running.
    pub blocked: usize,
}
