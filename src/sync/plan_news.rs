use serde::{Deserialize, Serialize};

use crate::{
    ids::{EntryKey, Revision},
    plan::PlanVersion,
    sync::{EvacuationSection, PlanUpdate, ServingState},
};

/// Datagram by which the leader tells a gateway of a new plan or evacuation between two syncs. It proves nothing
/// about the age of either, since it may be late.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanNews {
    /// The update; [`PlanUpdate::Deferred`] if it does not fit into a datagram, so that the gateway has
    /// to sync. `None` if the gateway has the newest plan.
    pub update: Option<PlanUpdate>,
    /// Newest revision of the evacuated data centres.
    #[serde(default)]
    pub evacuation_revision: Revision,
    /// The evacuated data centres; `None` if the gateway has them or they do not fit into a datagram.
    #[serde(default)]
    pub evacuations: Option<EvacuationSection>,
}

/// Datagram by which a gateway tells the leader that it has a plan in force and evacuations in effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanConfirmation {
    /// Identity of the gateway.
    pub gateway: EntryKey,
    /// Version of the plan.
    pub version: PlanVersion,
    /// Revision of the evacuated data centres.
    #[serde(default)]
    pub evacuation_revision: Revision,
}

impl PlanConfirmation {
    /// Returns what the gateway serves by.
    #[must_use]
    pub fn serving_state(&self) -> ServingState {
        ServingState::new(self.version, self.evacuation_revision)
    }
}
