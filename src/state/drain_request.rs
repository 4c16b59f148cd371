use serde::{Deserialize, Serialize};

use crate::ids::{RequestId, TargetId, VmId};

/// What an operator takes out of service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainSubject {
    /// Every target and daemon on a VM.
    Vm(VmId),
    /// One target.
    Target(TargetId),
}

/// Whether a subject receives new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainState {
    /// No new work; running work completes.
    Draining,
    /// In service.
    Active,
}

/// An operator's request to drain a subject or to end its drain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DrainRequest {
    /// Id under which a resend changes nothing.
    pub request_id: RequestId,
    /// VM or target.
    pub subject: DrainSubject,
    /// State that the subject is to have.
    pub state: DrainState,
}

/// Answer to a drain request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DrainOutcome {
    /// The subject has the state, or had it when the request was first sent.
    Done,
    /// The request id was used for another change.
    RequestIdReused,
    /// The table of drains is full.
    TableFull,
}
