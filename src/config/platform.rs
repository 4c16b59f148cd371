use std::path::PathBuf;

use serde::{Deserialize, Serialize};

/// Source of the platform's list of VMs, written as `{"file": PATH}` or `{"url": URL}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum PlatformSource {
    /// Path of a file that the platform updates.
    File(PathBuf),
    /// HTTP URL of the list.
    Url(String),
}
