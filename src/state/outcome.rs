use serde::{Deserialize, Serialize};

use super::{ClaimOutcome, DrainOutcome, EvacuationOutcome};
use crate::ids::Revision;

/// Result of applying a command.
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
    /// Result of a request for a turn.
    Turn(TurnOutcome),
    /// Result of a memory reservation.
    Reserve(ReserveOutcome),
    /// Result of a drain request.
    Drain(DrainOutcome),
    /// Result of an evacuation change.
    Evacuate(EvacuationOutcome),
}

/// Result of an operator's apply request, recorded for resends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ApplyOutcome {
    /// The configuration was accepted with this revision number.
    Accepted(Revision),
    /// The request is based on another revision than the current one, which is given here.
    Conflict(Revision),
    /// The request id was used for another change.
    RequestIdReused,
}

/// State of a suspect after a crash report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashOutcome {
    /// Number of distinct targets that the request crashed.
    pub targets: u32,
    /// Whether the request may be run again.
    #[serde(rename = "blocked")]
    pub state: BlockState,
}

/// Whether a suspect may be run with a turn or not at all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BlockState {
    /// Only the entry that holds the turn may run the request.
    Suspect,
    /// The request must not be run.
    Blocked,
}

/// Result of a request for the turn to run a suspect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TurnOutcome {
    /// The entry may run the request.
    Granted,
    /// Another attempt holds the turn, or this attempt has already ended its turn.
    Busy,
    /// The request is blocked.
    Blocked,
}

/// Result of a memory reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReserveOutcome {
    /// The order may be sent.
    Granted,
    /// The order could exceed an accelerator's memory, or the engine is not in the configuration.
    NoMemory,
    /// An earlier order must be settled first, or the engine has not reported yet.
    Busy,
    /// The fencing number is not greater than that of an earlier order.
    OldFencing,
}

/// How an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SettleResult {
    /// The engine executed the order.
    Confirmed,
    /// The engine has not executed the order and will not execute it.
    Dropped,
}
