use serde::{Deserialize, Serialize};

use super::RecordedResponse;
use crate::ids::{Attempt, BodyHash, EntryKey, IdempotencyKey, RouteId, TeamId};

/// Identifies a claim. The idempotency key is the first field, so that claims sort by age: UUIDs of
/// version 7 begin with their creation time.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimKey {
    /// Idempotency key that the caller sent.
    pub key: IdempotencyKey,
    /// Team of the caller.
    pub team: TeamId,
    /// Route of the request.
    pub route: RouteId,
}

/// Identifies one attempt to claim a key. A delayed command with another attempt has no effect.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimTicket {
    /// The claimed key.
    pub key: ClaimKey,
    /// The entry that claims the key.
    pub claimant: EntryKey,
    /// Attempt number, unique within the claimant's incarnation. A retried command repeats it.
    pub attempt: Attempt,
}

/// A command from an entry that claims the right to run a request at most once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// The claim and the attempt.
    pub ticket: ClaimTicket,
    /// Hash of the request, which detects a key that is reused for another request.
    pub body_hash: BodyHash,
}

/// Result of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimOutcome {
    /// The claimant may send the request.
    Granted,
    /// The request already ran, with this response.
    Recorded(RecordedResponse),
    /// The first request is still running.
    InProgress,
    /// It is not known whether the first request ran, or its response was not retained.
    Unknown,
    /// The key was used for another request.
    Reused,
    /// The key is older than the retention.
    Expired,
    /// The key is not a UUID version 7, or its timestamp lies in the future.
    Invalid,
    /// The table is full; the request must not be sent.
    TableFull,
}
