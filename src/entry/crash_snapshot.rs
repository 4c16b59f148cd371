use std::collections::HashSet;

use crate::{ids::Fingerprint, sync::CrashSection};

/// Requests that crashed targets, as of the last sync reply.
#[derive(Clone, Debug, Default)]
pub struct CrashSnapshot {
    /// Version of the leader's table.
    pub version: u64,
    suspects: HashSet<Fingerprint>,
    blocked: HashSet<Fingerprint>,
}

impl CrashSnapshot {
    /// Builds the snapshot from a section of a sync reply.
    #[must_use]
    pub fn new(section: CrashSection) -> Self {
        Self {
            version: section.version,
            suspects: section.suspects.into_iter().collect(),
            blocked: section.blocked.into_iter().collect(),
        }
    }

    /// Returns whether the request needs a permit from the leader to run.
    #[must_use]
    pub fn is_suspect(&self, fingerprint: &Fingerprint) -> bool {
        self.suspects.contains(fingerprint)
    }

    /// Returns whether the request must not run.
    #[must_use]
    pub fn is_blocked(&self, fingerprint: &Fingerprint) -> bool {
        self.blocked.contains(fingerprint)
    }
}
