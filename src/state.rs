//! The replicated state machine: every durable fact of the control daemons.
//!
//! `ControlState::apply` is deterministic, so that each voter that applies the same log holds the
//! same state; see docs/design.md, sections 4 and 5.

mod command;
mod machine;
mod outcome;

pub use command::{ApplyRequest, Command, StampedCommand};
pub use machine::ControlState;
pub use outcome::{ApplyOutcome, Outcome};
