use serde::{Deserialize, Serialize};

use crate::{
    ids::{Attempt, EntryKey, Fingerprint, TargetId},
    state::{ClaimRequest, ClaimTicket, Outcome, RecordedResponse},
    sync::{CompletedPart, CrashEvidence},
};

/// Path of claim messages on the system port.
pub const CLAIMS_PATH: &str = "/claims/v1";
/// Path of crash messages on the system port.
pub const CRASHES_PATH: &str = "/crashes/v1";

/// Message from an entry to the leader about a request that may run at most once. It can be sent
/// again if the reply is lost.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ClaimMessage {
    /// Reserves an idempotency key.
    Claim(ClaimRequest),
    /// Records the response of a completed request.
    Complete(ClaimTicket, RecordedResponse),
    /// Releases the key because no byte of the request was sent to a target.
    Release(ClaimTicket),
    /// Gives up a request with an unknown outcome: at least one byte may have been sent, and the
    /// response is not known.
    Abandon(ClaimTicket),
}

/// Message from an entry to the leader about a request that crashes targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CrashMessage {
    /// Reports that the target crashed while it ran the request.
    Report(Fingerprint, TargetId),
    /// Reports parts of requests that ran on a target when it crashed. The leader adds the target's
    /// incarnation.
    ReportParts(CrashEvidence),
    /// Reports parts of requests whose answers were complete.
    ClearParts(Vec<CompletedPart>),
    /// Asks for the exclusive right to run a request that is suspected of crashing targets.
    TakeTurn(Fingerprint, EntryKey, Attempt),
    /// Returns the exclusive right after the suspected request has ended.
    EndTurn(Fingerprint, EntryKey, Attempt),
}

/// Reply to a claim or crash message, sent after its command was committed and applied.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommandReply {
    /// Result of applying the command.
    pub outcome: Outcome,
}
