use std::{collections::VecDeque, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{
    border::FleetConfig,
    fleet::FleetDelta,
    ids::{RequestId, Revision, TargetId},
};

/// Maximum number of retained revisions.
const MAX_REVISIONS: usize = 256;
/// Maximum total encoded size of the deltas between retained revisions, in bytes.
const MAX_DELTA_BYTES: usize = 8 * 1024 * 1024;

/// The configuration in force and its latest predecessors, which are stored as reverse deltas.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigHistory {
    current: Option<Arc<FleetConfig>>,
    revision: Revision,
    past: VecDeque<PastRevision>,
    delta_bytes: usize,
}

/// Time and request id with which a revision was accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevisionRecord {
    /// Number of the revision.
    pub revision: Revision,
    /// Time of acceptance in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Request id of the change.
    pub request_id: RequestId,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct PastRevision {
    #[serde(rename = "note")]
    record: RevisionRecord,
    /// Delta to the previous revision; `None` for the first configuration.
    #[serde(rename = "back")]
    reverse_delta: Option<Arc<FleetDelta>>,
    bytes: usize,
}

impl ConfigHistory {
    /// Puts a new configuration in force and returns its revision number.
    pub(super) fn accept(
        &mut self,
        now_ms: u64,
        request_id: &RequestId,
        config: &Arc<FleetConfig>,
    ) -> Revision {
        let old = self.current.replace(Arc::clone(config));
        let reverse_delta = old.map(|old| Arc::new(FleetDelta::between(config, &old)));
        let encoded = reverse_delta
            .as_ref()
            .and_then(|delta| rmp_serde::to_vec(delta).ok());
        let bytes = encoded.map_or(0, |encoded| encoded.len());
        self.revision += 1;
        let record = RevisionRecord {
            revision: self.revision,
            at_ms: now_ms,
            request_id: request_id.clone(),
        };
        self.past.push_back(PastRevision {
            record,
            reverse_delta,
            bytes,
        });
        self.delta_bytes += bytes;
        while self.past.len() > MAX_REVISIONS
            || (self.delta_bytes > MAX_DELTA_BYTES && self.past.len() > 1)
        {
            let dropped = self.past.pop_front();
            self.delta_bytes -= dropped.map_or(0, |past| past.bytes);
        }
        self.revision
    }

    /// Returns the revision in force; 0 before the first one.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn current(&self) -> Option<&Arc<FleetConfig>> {
        self.current.as_ref()
    }

    /// Returns whether the configuration in force has this target.
    #[must_use]
    pub fn has_target(&self, id: &TargetId) -> bool {
        let config = self.current.as_ref();
        config.is_some_and(|config| config.targets.iter().any(|target| target.id == *id))
    }

    /// Returns the configuration of a retained revision.
    #[must_use]
    pub fn at(&self, revision: Revision) -> Option<Arc<FleetConfig>> {
        if !self.revisions().any(|record| record.revision == revision) {
            return None;
        }
        let mut config = Arc::clone(self.current.as_ref()?);
        for past in self.past.iter().rev() {
            if past.record.revision == revision {
                break;
            }
            config = Arc::new(past.reverse_delta.as_ref()?.apply_to(&config).ok()?);
        }
        Some(config)
    }

    /// Returns the retained revisions, oldest first.
    #[must_use]
    pub fn revisions(&self) -> impl DoubleEndedIterator<Item = &RevisionRecord> {
        self.past.iter().map(|past| &past.record)
    }

    /// Returns the delta from a retained revision to the one in force.
    #[must_use]
    pub fn delta_since(&self, base: Revision) -> Option<FleetDelta> {
        let base = self.at(base)?;
        Some(FleetDelta::between(&base, self.current.as_ref()?))
    }
}
