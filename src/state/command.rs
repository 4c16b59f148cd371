use serde::{Deserialize, Serialize};

use super::{
    ApplyRequest, ClaimRequest, ClaimTicket, DrainRequest, EvacuationChange, RecordedResponse,
    SettleResult,
};
use crate::{
    ids::{
        Attempt, CommandLevel, EntryKey, FencingNumber, Fingerprint, Incarnation, SoftwareVersion,
        StreamKey, TargetId,
    },
    order::OrderAction,
    sync::{CompletedPart, CrashEvidence, PublishedPlan, ResidentCopy, VersionObservation},
};

/// Lowest command level at which every voter can apply serving plans.
const PUBLISH_LEVEL: CommandLevel = 2;
/// Lowest command level at which every voter can apply evidence about parts of requests.
const PARTS_LEVEL: CommandLevel = 3;
/// Lowest command level at which every voter can apply versions that began streams.
const STREAMS_LEVEL: CommandLevel = 4;
/// Lowest command level at which every voter can apply evacuations of data centres.
const EVACUATION_LEVEL: CommandLevel = 5;

/// A state change that is replicated through the log; docs/design.md, section 5, lists them all.
///
/// The variant and field names are part of the log's encoding: a name is never reused with
/// another meaning.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Changes nothing; a new leader proposes it to commit the entries of earlier terms.
    Noop,
    /// Replaces the configuration.
    Apply(Box<ApplyRequest>),
    /// Claims an idempotency key before the request is sent to a target.
    Claim(ClaimRequest),
    /// Records the response of a claimed request.
    Complete {
        /// The claim that was granted.
        ticket: ClaimTicket,
        /// The response that the caller received.
        response: RecordedResponse,
    },
    /// Releases a claim whose request was not sent at all.
    Release(ClaimTicket),
    /// Ends a claim whose request may have been sent at least in part and whose response is
    /// unknown.
    Abandon(ClaimTicket),
    /// Ends all open claims and turns of a terminated entry process.
    LoseClaimant {
        /// The terminated process.
        claimant: EntryKey,
    },
    /// Records that a request crashed a target.
    ReportCrash {
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
        /// The target that crashed.
        target: TargetId,
    },
    /// Records parts of requests that ran on a target when it crashed.
    ReportParts(CrashEvidence),
    /// Records parts of requests whose answers were complete.
    ClearParts(Vec<CompletedPart>),
    /// Records which versions of the targets' software the platform lists.
    ObserveVersions(VersionObservation),
    /// Records streams and the version that began them.
    RecordStreams {
        /// The version.
        version: SoftwareVersion,
        /// The streams.
        streams: Vec<StreamKey>,
    },
    /// Requests the exclusive turn to run a suspect; only one entry at a time may have it.
    TakeTurn {
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
        /// The entry that requests the turn.
        holder: EntryKey,
        /// Attempt number. A retried command repeats it.
        attempt: Attempt,
    },
    /// Ends a turn after the request has run.
    EndTurn {
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
        /// The entry that holds the turn.
        holder: EntryKey,
        /// The granted attempt, so that a delayed command does not end a later turn of the same
        /// entry.
        attempt: Attempt,
    },
    /// Reserves the accelerator memory of an order before it is sent.
    Reserve {
        /// The engine that the order is for.
        target: TargetId,
        /// Fencing number of the order.
        fencing: FencingNumber,
        /// The action that the engine is to take.
        action: OrderAction,
    },
    /// Settles an order with the result that the engine's report shows.
    Settle {
        /// The engine that received the order.
        target: TargetId,
        /// Fencing number of the order.
        fencing: FencingNumber,
        /// Whether the engine executed the order.
        result: SettleResult,
    },
    /// Replaces an engine's confirmed copies with those in its report.
    ConfirmReport {
        /// The engine that reported.
        target: TargetId,
        /// Incarnation of the engine process.
        incarnation: Incarnation,
        /// The report's `last_fencing`; a report older than a settled order is ignored.
        last_fencing: FencingNumber,
        /// Copies that occupy memory of the engine.
        copies: Vec<ResidentCopy>,
    },
    /// Takes a VM or target out of service, or back into it.
    Drain(DrainRequest),
    /// Puts a serving plan in force if its version is higher than that of the current plan.
    Publish(PublishedPlan),
    /// Evacuates a data centre or returns it to service.
    Evacuate(EvacuationChange),
    /// Raises the highest command level that may be proposed.
    RaiseLevel {
        /// The new level.
        level: CommandLevel,
    },
}

impl Command {
    /// Returns the lowest command level at which every voter can apply this kind of command.
    #[must_use]
    pub const fn level(&self) -> CommandLevel {
        match self {
            Self::Publish(_) => PUBLISH_LEVEL,
            Self::ReportParts(_) | Self::ClearParts(_) => PARTS_LEVEL,
            Self::ObserveVersions(_) | Self::RecordStreams { .. } => STREAMS_LEVEL,
            Self::Evacuate(_) => EVACUATION_LEVEL,
            _ => 1,
        }
    }
}

/// A command with the time of its proposal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StampedCommand {
    /// Wall time of the proposing leader in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The proposed command.
    pub command: Command,
}
