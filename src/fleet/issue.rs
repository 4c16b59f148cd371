use std::fmt;

use serde::{Deserialize, Serialize};

/// One reason why a configuration is refused.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ConfigIssue {
    /// Path of the offending value, such as `routes[3].service`; `.` is the whole document.
    pub path: String,
    /// What is wrong with the value.
    pub message: String,
}

impl ConfigIssue {
    /// Describes an issue.
    #[must_use]
    pub fn new(path: impl Into<String>, message: impl Into<String>) -> Self {
        Self {
            path: path.into(),
            message: message.into(),
        }
    }
}

impl fmt::Display for ConfigIssue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.message)
    }
}
