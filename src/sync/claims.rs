use serde::{Deserialize, Serialize};

use crate::{
    ids::{Attempt, EntryKey, Fingerprint, TargetId},
    state::{ClaimRequest, ClaimTicket, Outcome, RecordedResponse},
};

/// Path of claim messages on the system port.
pub const CLAIMS_PATH: &str = "/claims/v1";
/// Path of crash messages on the system port.
pub const CRASHES_PATH: &str = "/crashes/v1";

/// What an entry tells the leader about a request that may run at most once. Each message can be
/// sent again after a lost reply.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ClaimMessage {
    /// Reserves an idempotency key.
    Claim(ClaimRequest),
    /// Records the response.
    Complete(ClaimTicket, RecordedResponse),
    /// No byte of the request was sent.
    Release(ClaimTicket),
    /// A byte may have been sent and the response is not known.
    Abandon(ClaimTicket),
}

/// What an entry tells the leader about a request that takes targets down.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CrashMessage {
    /// The target went down while it ran the request.
    Report(Fingerprint, TargetId),
    /// The entry asks to run a suspect.
    TakeTurn(Fingerprint, EntryKey, Attempt),
    /// The suspect ran to its end.
    EndTurn(Fingerprint, EntryKey, Attempt),
}

/// Reply to a claim or crash message, sent after the command was committed and applied.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommandReply {
    /// What applying the command led to.
    pub outcome: Outcome,
}
