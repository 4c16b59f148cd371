use serde::{Deserialize, Serialize};

use crate::{
    code::ResultCode,
    fleet::ConfigIssue,
    ids::{Revision, VmId},
};

/// Response body for a change and for every refused request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdminAnswer {
    /// Number of the result code; 0 if the change was accepted.
    pub code: u16,
    /// Name of the result code.
    pub name: String,
    /// Human-readable description of the outcome.
    pub message: String,
    /// The accepted revision, or the current one after a conflict; 0 when neither applies.
    #[serde(default)]
    pub revision: Revision,
    /// Administration address of the leader, if another daemon leads and its address is known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leader: Option<String>,
    /// Validation errors of a refused configuration.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub issues: Vec<ConfigIssue>,
    /// Consequences of an accepted change that its operator may not expect.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub warnings: Vec<ConfigIssue>,
    /// VMs whose entries have not put the revision in force yet.
    #[serde(rename = "lacking", default, skip_serializing_if = "Vec::is_empty")]
    pub outdated_vms: Vec<VmId>,
}

impl AdminAnswer {
    /// Creates the answer to an accepted change.
    #[must_use]
    pub fn accepted(revision: Revision, message: impl Into<String>) -> Self {
        Self {
            code: 0,
            name: "accepted".to_owned(),
            message: message.into(),
            revision,
            leader: None,
            issues: Vec::new(),
            warnings: Vec::new(),
            outdated_vms: Vec::new(),
        }
    }

    /// Creates the answer to a refused request.
    #[must_use]
    pub fn refused(code: ResultCode, message: impl Into<String>) -> Self {
        Self {
            code: code.number(),
            name: code.name().to_owned(),
            ..Self::accepted(0, message)
        }
    }

    /// Returns the result code, or `None` if the change was accepted.
    #[must_use]
    pub fn result_code(&self) -> Option<ResultCode> {
        let codes = ResultCode::ALL.iter().copied();
        codes.into_iter().find(|code| code.number() == self.code)
    }
}
