//! The replicated state machine: every durable fact of the control daemons.
//!
//! `ControlState::apply` is deterministic, so that each voter that applies the same log holds the
//! same state; see docs/design.md, sections 4 and 5.

mod apply_request;
mod claim;
mod command;
mod drain_request;
mod machine;
mod outcome;
mod recorded_response;

pub use apply_request::ApplyRequest;
pub use claim::{ClaimKey, ClaimOutcome, ClaimRequest, ClaimTicket};
pub use command::{Command, StampedCommand};
pub use drain_request::{DrainOutcome, DrainRequest, DrainState, DrainSubject};
pub use machine::ControlState;
pub use outcome::{
    ApplyOutcome, BlockState, CrashOutcome, Outcome, ReserveOutcome, SettleResult, TurnOutcome,
};
pub use recorded_response::RecordedResponse;
