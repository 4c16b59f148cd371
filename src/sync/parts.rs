use serde::{Deserialize, Serialize};

use crate::ids::{Fingerprint, TargetId};

/// A crash of a target, identified by the incarnation that it ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TargetCrash {
    /// The target.
    pub target: TargetId,
    /// Start time of the incarnation in milliseconds since the Unix epoch; 0 when it is not listed.
    #[serde(rename = "born_ms")]
    pub started_ms: u64,
}

impl TargetCrash {
    /// Returns the crash of an incarnation of a target.
    #[must_use]
    pub fn new(target: TargetId, started_ms: u64) -> Self {
        Self { target, started_ms }
    }
}

/// What a crash may be due to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum PartKind {
    /// The request as a whole, which a caller may send again.
    Request,
    /// A part of its prompt, which other requests may share.
    Prompt,
}

/// A part of the requests that a crash ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashedPart {
    /// The part.
    pub part: Fingerprint,
    /// Kind of the part.
    pub kind: PartKind,
    /// Number of requests with the part that ran there.
    pub runs: u32,
}

/// Parts of the requests whose answers had just begun, or not begun yet, when a target crashed. The
/// request as a whole counts as one more part.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashEvidence {
    /// The crash.
    pub crash: TargetCrash,
    /// The parts that ran there for the gateway.
    pub parts: Vec<CrashedPart>,
}

/// A part of a request whose answer was complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletedPart {
    /// The part.
    pub part: Fingerprint,
    /// Time since the last such answer, in milliseconds.
    pub age_ms: u64,
}

/// A part that may crash targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectPart {
    /// The part.
    pub part: Fingerprint,
    /// Time until requests with the part must not run, in milliseconds; `None` for a part that may
    /// run, which gateways clear if it completes there.
    pub blocked_in_ms: Option<u64>,
    /// Time until the block ends, in milliseconds.
    pub blocked_for_ms: u64,
}

/// Section of a reply that replaces a gateway's suspect parts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartSection {
    /// Version of the table of parts.
    pub version: u64,
    /// All parts that gateways are told of.
    pub suspects: Vec<SuspectPart>,
}
