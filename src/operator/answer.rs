use serde::{Deserialize, Serialize};

use crate::{
    code::ResultCode,
    fleet::ConfigIssue,
    ids::{Revision, VmId},
};

/// Answer to a change, and to every request that is refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdminAnswer {
    /// Number of the result code; 0 when the change was accepted.
    pub code: u16,
    /// Name of the result code.
    pub name: String,
    /// What happened, for people.
    pub message: String,
    /// The accepted revision, or the current one after a conflict; 0 when neither applies.
    #[serde(default)]
    pub revision: Revision,
    /// Administration address of the leader, when another daemon leads and is known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leader: Option<String>,
    /// Why a configuration is refused.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub issues: Vec<ConfigIssue>,
    /// What an accepted change leads to that its operator may not expect.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub warnings: Vec<ConfigIssue>,
    /// VMs whose entries do not have the revision in force.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub lacking: Vec<VmId>,
}

impl AdminAnswer {
    /// Answers an accepted change.
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
            lacking: Vec::new(),
        }
    }

    /// Refuses a request.
    #[must_use]
    pub fn refused(code: ResultCode, message: impl Into<String>) -> Self {
        Self {
            code: code.number(),
            name: code.name().to_owned(),
            ..Self::accepted(0, message)
        }
    }

    /// Returns the result code; `None` when the change was accepted.
    #[must_use]
    pub fn result_code(&self) -> Option<ResultCode> {
        let codes = ResultCode::ALL.iter().copied();
        codes.into_iter().find(|code| code.number() == self.code)
    }
}
