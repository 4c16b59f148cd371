use std::fmt;

use serde::{Deserialize, Serialize};

use super::{Incarnation, VmId};

/// Identifies one incarnation of an entry process.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EntryKey {
    /// VM of the entry.
    pub vm: VmId,
    /// Incarnation of the entry process.
    pub incarnation: Incarnation,
}

impl fmt::Display for EntryKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{:x}", self.vm, self.incarnation)
    }
}
