use serde::{Deserialize, Serialize};

use crate::{ids::EntryKey, plan::PlanVersion, sync::PlanUpdate};

/// Datagram by which the leader tells a gateway of a new plan between two syncs. It proves nothing about
/// the age of the plan, since it may be late.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanNews {
    /// The update; [`PlanUpdate::Deferred`] if it does not fit into a datagram, so that the gateway has
    /// to sync.
    pub update: PlanUpdate,
}

/// Datagram by which a gateway tells the leader that it has a plan in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanConfirmation {
    /// Identity of the gateway.
    pub gateway: EntryKey,
    /// Version of the plan.
    pub version: PlanVersion,
}
