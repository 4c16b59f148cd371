use std::path::PathBuf;

use serde::{Deserialize, Serialize};

/// Where the platform's list of VMs is read from, as `{"file": PATH}` or `{"url": URL}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum PlatformSource {
    /// A file that the platform rewrites.
    File(PathBuf),
    /// An HTTP address.
    Url(String),
}
