//! The replicated state machine, which holds all durable state of the control daemons.
//!
//! [`ControlState::apply`] is deterministic, so voters that apply the same log hold the same state;
//! see docs/design.md, sections 4 and 5.

mod apply_request;
mod claim;
mod claim_shard;
mod claim_table;
mod command;
mod config_history;
mod crash_table;
mod drain_request;
mod drain_table;
mod evacuation_table;
mod machine;
mod memory_table;
mod outcome;
mod part_batch;
mod part_table;
mod recorded_response;
mod request_table;
mod stream_table;
mod target_memory;

pub use apply_request::ApplyRequest;
pub use claim::{ClaimKey, ClaimOutcome, ClaimRequest, ClaimTicket};
pub use claim_table::{ClaimLimits, ClaimTable};
pub use command::{Command, StampedCommand};
pub use config_history::{ConfigHistory, RevisionRecord};
pub use crash_table::CrashTable;
pub use drain_request::{DrainOutcome, DrainRequest, DrainState, DrainSubject};
pub use drain_table::DrainTable;
pub use evacuation_table::{EvacuationChange, EvacuationOutcome, EvacuationState, EvacuationTable};
pub use machine::ControlState;
pub use memory_table::MemoryTable;
pub use outcome::{
    ApplyOutcome, BlockState, CrashOutcome, Outcome, ReserveOutcome, SettleResult, TurnOutcome,
};
pub use part_batch::PartBatch;
pub use part_table::PartTable;
pub use recorded_response::RecordedResponse;
pub use request_table::{ChangeDigest, RequestLookup, RequestTable, change_digest};
pub use stream_table::{StreamBatch, StreamTable};
pub use target_memory::{TargetMemory, UnsettledOrder};
