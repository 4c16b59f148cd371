use serde::{Deserialize, Serialize};

use super::{
    ApplyRequest, ClaimRequest, ClaimTicket, DrainRequest, RecordedResponse, SettleResult,
};
use crate::{
    ids::{Attempt, CommandLevel, EntryKey, FencingNumber, Fingerprint, Incarnation, TargetId},
    order::OrderAction,
    sync::{PublishedPlan, ResidentCopy},
};

/// Level from which on voters can apply serving plans.
const PLAN_LEVEL: CommandLevel = 2;

/// A change that is agreed on through the log; the table is in docs/design.md, section 5.
///
/// The variant and field names are part of the log's encoding: a name is never reused with
/// another meaning.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Changes nothing; a new leader proposes it to commit the entries of earlier terms.
    Noop,
    /// Replaces the configuration.
    Apply(Box<ApplyRequest>),
    /// Reserves an idempotency key before the request is sent to a target.
    Claim(ClaimRequest),
    /// Records the response of a claimed request.
    Complete {
        /// The claim that was granted.
        ticket: ClaimTicket,
        /// What the caller received.
        response: RecordedResponse,
    },
    /// Frees a claim of which no byte was sent.
    Release(ClaimTicket),
    /// Ends a claim of which a byte may have been sent and whose response is not known.
    Abandon(ClaimTicket),
    /// Ends all open claims and turns of an entry process that is gone.
    LoseClaimant {
        /// The process that is gone.
        claimant: EntryKey,
    },
    /// Records that a request took a target down.
    ReportCrash {
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
        /// The target that went down.
        target: TargetId,
    },
    /// Asks to run a suspect, which only one entry at a time may do.
    TakeTurn {
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
        /// The entry that asks.
        holder: EntryKey,
        /// Number of the attempt, repeated when the command is sent again.
        attempt: Attempt,
    },
    /// Ends a turn after the request ran.
    EndTurn {
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
        /// The entry that had the turn.
        holder: EntryKey,
        /// Attempt that was granted; an older one must not end a later turn of the same entry.
        attempt: Attempt,
    },
    /// Reserves the accelerator memory of an order before it is sent.
    Reserve {
        /// The engine that is to receive the order.
        target: TargetId,
        /// Fencing number of the order.
        fencing: FencingNumber,
        /// What the engine is to do.
        action: OrderAction,
    },
    /// Ends an order, as the engine's own report tells.
    Settle {
        /// The engine that received the order.
        target: TargetId,
        /// Fencing number of the order.
        fencing: FencingNumber,
        /// Whether the engine carried the order out.
        result: SettleResult,
    },
    /// Replaces the copies that an engine holds by those of its report.
    ConfirmReport {
        /// The engine that reported.
        target: TargetId,
        /// Life of the engine process.
        incarnation: Incarnation,
        /// The report's `last_fencing`; a report older than a settled order is ignored.
        last_fencing: FencingNumber,
        /// Copies that take memory of the engine.
        copies: Vec<ResidentCopy>,
    },
    /// Takes a VM or target out of service, or back into it.
    Drain(DrainRequest),
    /// Puts a serving plan in force if its version is higher than that of the plan in force.
    Publish(PublishedPlan),
    /// Raises the highest command level that may be proposed.
    RaiseLevel {
        /// The new level.
        level: CommandLevel,
    },
}

impl Command {
    /// Returns the level from which on every voter can apply this kind of command.
    #[must_use]
    pub const fn level(&self) -> CommandLevel {
        match self {
            Self::Publish(_) => PLAN_LEVEL,
            _ => 1,
        }
    }
}

/// A command with the time at which the leader proposed it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StampedCommand {
    /// Wall time of the proposing leader in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The change itself.
    pub command: Command,
}
