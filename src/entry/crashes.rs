use std::collections::HashSet;

use crate::{ids::Fingerprint, sync::CrashSection};

/// Requests that crashed targets, as the leader told last.
#[derive(Clone, Debug, Default)]
pub struct CrashSnapshot {
    /// Version of the table.
    pub version: u64,
    suspects: HashSet<Fingerprint>,
    blocked: HashSet<Fingerprint>,
}

impl CrashSnapshot {
    /// Takes the table of a sync reply.
    #[must_use]
    pub fn new(section: CrashSection) -> Self {
        Self {
            version: section.version,
            suspects: section.suspects.into_iter().collect(),
            blocked: section.blocked.into_iter().collect(),
        }
    }

    /// Tells whether the request needs the leader's permission to run.
    #[must_use]
    pub fn is_suspect(&self, fingerprint: &Fingerprint) -> bool {
        self.suspects.contains(fingerprint)
    }

    /// Tells whether the request must not run.
    #[must_use]
    pub fn is_blocked(&self, fingerprint: &Fingerprint) -> bool {
        self.blocked.contains(fingerprint)
    }
}
