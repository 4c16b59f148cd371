use serde::{Deserialize, Serialize};

use super::request_table::{ChangeDigest, change_digest};
use crate::ids::{RequestId, TargetId, VmId};

/// A VM or target that an operator takes out of service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainSubject {
    /// All targets and daemons on a VM.
    Vm(VmId),
    /// One target.
    Target(TargetId),
}

/// Whether a subject receives new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainState {
    /// Out of service: it receives no new work, and running work completes.
    Draining,
    /// In service: it receives new work.
    Active,
}

/// An operator's request to drain a subject or to end its drain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DrainRequest {
    /// Identifies the request, so that a resend has no further effect.
    pub request_id: RequestId,
    /// The VM or target.
    pub subject: DrainSubject,
    /// Requested state of the subject.
    pub state: DrainState,
}

impl DrainRequest {
    /// Returns the digest by which a resend is recognised.
    #[must_use]
    pub fn digest(&self) -> ChangeDigest {
        change_digest(&(&self.subject, self.state))
    }
}

/// Result of a drain request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DrainOutcome {
    /// The requested state was applied, now or when the request was first received.
    Done,
    /// The request id was used for another change.
    RequestIdReused,
    /// The drain table is full.
    TableFull,
}
