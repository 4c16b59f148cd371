use serde::{Deserialize, Serialize};

use super::{ClaimOutcome, DrainOutcome};
use crate::ids::Revision;

/// What applying a command led to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The command has no result.
    Done,
    /// Result of an apply request.
    Applied(ApplyOutcome),
    /// Result of a claim.
    Claim(ClaimOutcome),
    /// Result of a crash report.
    Crash(CrashOutcome),
    /// Result of asking for a turn.
    Turn(TurnOutcome),
    /// Result of reserving memory.
    Reserve(ReserveOutcome),
    /// Result of a drain request.
    Drain(DrainOutcome),
}

/// Result of an operator's apply request, kept for resends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ApplyOutcome {
    /// The configuration was accepted as this revision.
    Accepted(Revision),
    /// Another configuration was accepted first; this is the current revision.
    Conflict(Revision),
    /// The request id was used for another change.
    RequestIdReused,
}

/// What is known of a request after a crash report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashOutcome {
    /// Distinct targets that the request took down.
    pub targets: u32,
    /// Whether the request may run again.
    #[serde(rename = "blocked")]
    pub state: BlockState,
}

/// Whether a suspect may run, one at a time, or not at all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BlockState {
    /// It may run when an entry has the turn.
    Suspect,
    /// It may not run.
    Blocked,
}

/// Answer to an entry that asks to run a suspect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TurnOutcome {
    /// The entry may run the request.
    Granted,
    /// Another attempt runs.
    Busy,
    /// The request may not run.
    Blocked,
}

/// Answer to a reservation of memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReserveOutcome {
    /// The order may be sent.
    Granted,
    /// The order could exceed an accelerator's memory, or the configuration lacks the engine.
    NoMemory,
    /// An earlier order must be settled first, or the engine has not reported yet.
    Busy,
    /// The fencing number is not greater than that of an earlier order.
    OldFencing,
}

/// How an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SettleResult {
    /// The engine carried it out.
    Confirmed,
    /// The engine has not carried it out and never will.
    Dropped,
}
