use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    ids::{DataCentreId, Revision},
    sync::EvacuationSection,
};

/// Maximum number of data centres in service whose last revision is kept. Operators may name any data centre, so
/// the records of those in service must be bounded.
const MAX_RETURNED: usize = 64;

/// Whether the targets of a data centre get requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EvacuationState {
    /// No further requests are sent to the targets of the data centre.
    Evacuated,
    /// The data centre is in service.
    InService,
}

/// An operator's order to evacuate a data centre or to return it to service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EvacuationChange {
    /// The data centre, which need not have targets yet.
    pub data_centre: DataCentreId,
    /// The requested state.
    pub state: EvacuationState,
    /// Revision of the last change of this data centre that the proposer read. The change has no effect if there was
    /// a later one, so that a delayed order does not undo one that was acknowledged after it.
    pub expected: Revision,
}

/// Result of an [`EvacuationChange`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum EvacuationOutcome {
    /// The data centre is in the requested state since this revision, by this change or an earlier one.
    Done(Revision),
    /// A later order has put the data centre in the other state.
    Overtaken,
}

/// Data centres that operators have evacuated; see docs/design/evacuation.md.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EvacuationTable {
    revision: Revision,
    data_centres: BTreeMap<DataCentreId, EvacuationRecord>,
    /// Highest revision of a data centre in service whose record was dropped. It stands for the last change of all
    /// data centres without a record.
    dropped_revision: Revision,
}

/// Last change of one data centre.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct EvacuationRecord {
    state: EvacuationState,
    revision: Revision,
}

impl EvacuationTable {
    /// Applies a change unless a later one of the same data centre was applied before.
    pub fn apply(&mut self, change: &EvacuationChange) -> EvacuationOutcome {
        let known = self.record(&change.data_centre);
        if known.state == change.state {
            return EvacuationOutcome::Done(known.revision);
        }
        if known.revision != change.expected {
            return EvacuationOutcome::Overtaken;
        }
        self.revision += 1;
        let record = EvacuationRecord {
            state: change.state,
            revision: self.revision,
        };
        self.data_centres.insert(change.data_centre.clone(), record);
        self.drop_oldest();
        EvacuationOutcome::Done(self.revision)
    }

    /// Returns the number of the last change; 0 before the first one.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the state of a data centre and the revision of its last change.
    #[must_use]
    pub fn state(&self, data_centre: &str) -> (EvacuationState, Revision) {
        let record = self.record(data_centre);
        (record.state, record.revision)
    }

    /// Returns the evacuated data centres for a receiver that has those of an earlier revision; `None` when it is up
    /// to date.
    #[must_use]
    pub fn section_since(&self, held: Revision) -> Option<EvacuationSection> {
        (held < self.revision).then(|| EvacuationSection {
            revision: self.revision,
            data_centres: self.evacuated().cloned().collect(),
        })
    }

    /// Returns the evacuated data centres.
    pub fn evacuated(&self) -> impl Iterator<Item = &DataCentreId> {
        let records = self.data_centres.iter();
        records
            .filter(|(_, record)| record.state == EvacuationState::Evacuated)
            .map(|(data_centre, _)| data_centre)
    }

    fn record(&self, data_centre: &str) -> EvacuationRecord {
        let known = self.data_centres.get(data_centre).copied();
        known.unwrap_or(EvacuationRecord {
            state: EvacuationState::InService,
            revision: self.dropped_revision,
        })
    }

    /// Drops the oldest record of a data centre in service if there are too many.
    fn drop_oldest(&mut self) {
        let records = self.data_centres.iter();
        let returned = records.filter(|(_, record)| record.state == EvacuationState::InService);
        if returned.clone().count() <= MAX_RETURNED {
            return;
        }
        let oldest = returned.min_by_key(|(_, record)| record.revision);
        let oldest = oldest.map(|(data_centre, record)| (data_centre.clone(), record.revision));
        if let Some((data_centre, revision)) = oldest {
            self.data_centres.remove(&data_centre);
            self.dropped_revision = self.dropped_revision.max(revision);
        }
    }
}
