use serde::{Deserialize, Serialize};

use super::RecordedResponse;
use crate::ids::{Attempt, BodyHash, EntryKey, IdempotencyKey, RouteId, TeamId};

/// Names what is claimed. The key comes first, so that a sorted table is in the order of age.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimKey {
    /// Idempotency key that the caller sent.
    pub key: IdempotencyKey,
    /// Team of the caller.
    pub team: TeamId,
    /// Route of the request.
    pub route: RouteId,
}

/// Names one granted attempt of a claim. A late command with an older attempt changes nothing.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimTicket {
    /// What is claimed.
    pub key: ClaimKey,
    /// The entry that claims it.
    pub claimant: EntryKey,
    /// Number of the attempt, unique within the claimant's incarnation and repeated when the
    /// command is sent again.
    pub attempt: Attempt,
}

/// An entry's request to run a request that may run at most once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// What is claimed and by whom.
    pub ticket: ClaimTicket,
    /// Hash of the request; a key must not be used for two requests.
    pub body_hash: BodyHash,
}

/// Answer to a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimOutcome {
    /// The claimant may send the request.
    Granted,
    /// The request ran and this was its response.
    Recorded(RecordedResponse),
    /// The first request still runs.
    InProgress,
    /// Whether the first request ran is not known, or its response was not kept.
    Unknown,
    /// The key was used for another request.
    Reused,
    /// The key is older than the retention.
    Expired,
    /// The key is not a UUID version 7, or its timestamp lies in the future.
    Invalid,
    /// The table is full and the request may not be sent.
    TableFull,
}
