use std::fmt;

use serde::{Deserialize, Serialize};

/// Validation error in a configuration.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ConfigIssue {
    /// Path of the invalid value, such as `routes[3].service`; `.` stands for the whole document.
    pub path: String,
    /// Reason why the value is invalid.
    pub message: String,
}

impl ConfigIssue {
    /// Creates an issue for the value at `path`.
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
