use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    adapter::{EngineStatus, TargetEntry},
    ids::{DataCentreId, EntryKey, Revision, ServiceId, TargetId, Term},
    plan::PlanVersion,
    sync::{ListVersion, ModelRequests, ServingState, TargetList},
};

/// Path of a delegate's sync on the system port.
pub const DELEGATE_SYNC_PATH: &str = "/delegate/v1/sync";

/// Report of a coordinator that answers syncs of gateways in the leader's place; see docs/design.md,
/// section 20.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DelegateReport {
    /// Identity of the coordinator's process.
    pub delegate: EntryKey,
    /// System address of the coordinator.
    pub address: SocketAddr,
    /// Newest plan of the coordinator. Each sync that it has answered with an earlier one is in this report
    /// or was in one that the leader has answered.
    pub plan_version: PlanVersion,
    /// Version of the target list that the coordinator has.
    pub list_version: ListVersion,
    /// Number of the roster that the coordinator has; `None` if it needs no new one now.
    pub roster_number: Option<u64>,
    /// Number of gateways of the fleet, as far as the coordinator knows. A leader that has just started has
    /// heard of none.
    pub fleet_size: u32,
    /// Gateways that have synced with the coordinator or confirmed a plan to it.
    pub gateways: Vec<DelegatedGateway>,
    /// Requests per model that they have reported.
    pub demand: Vec<ModelRequests>,
    /// Targets that they have found unresponsive.
    pub unresponsive: Vec<TargetId>,
    /// Results of polls of engines.
    pub polled: Vec<PolledEngine>,
    /// Revision of the evacuated data centres that the coordinator has, to which the same applies as to its plan.
    #[serde(default)]
    pub evacuation_revision: Revision,
}

impl DelegateReport {
    /// Returns the newest state of the coordinator.
    #[must_use]
    pub fn serving_state(&self) -> ServingState {
        ServingState::new(self.plan_version, self.evacuation_revision)
    }
}

/// Result of the poll of an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PolledEngine {
    /// The engine.
    pub target: TargetId,
    /// Status of the engine; `None` if it did not answer.
    pub status: Option<EngineStatus>,
}

/// A gateway that syncs with a delegate.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DelegatedGateway {
    /// Where the gateway is found.
    pub entry: RosterEntry,
    /// Plan that it has in force; 0 before the first one.
    pub plan_version: PlanVersion,
    /// First plan that it was sent since its last report; 0 if it was sent none.
    pub first_plan: PlanVersion,
    /// Revision of the evacuated data centres that it has in effect.
    #[serde(default)]
    pub evacuation_revision: Revision,
    /// Revision that it had in effect or was sent with the first plan.
    #[serde(default)]
    pub first_revision: Revision,
}

impl DelegatedGateway {
    /// Returns what the gateway has reported to serve by.
    #[must_use]
    pub fn serving_state(&self) -> ServingState {
        ServingState::new(self.plan_version, self.evacuation_revision)
    }

    /// Returns what the gateway serves by once it has received its first plan.
    #[must_use]
    pub fn first_state(&self) -> ServingState {
        ServingState::new(self.first_plan, self.first_revision)
    }
}

/// A gateway of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterEntry {
    /// Identity of the gateway.
    pub gateway: EntryKey,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Its UDP address for loads.
    pub load_address: SocketAddr,
    /// Whether it passes requests on because it does not reach targets.
    #[serde(default)]
    pub is_stranded: bool,
}

/// All gateways of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayRoster {
    /// Number of the roster within the term.
    pub number: u64,
    /// The gateways.
    pub gateways: Vec<RosterEntry>,
}

/// Reply of the leader to a [`DelegateReport`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DelegateReply {
    /// Term of the leader.
    pub term: Term,
    /// Whether the coordinator should answer syncs. Otherwise the reply says no more.
    pub is_needed: bool,
    /// Newest plan of the leader, which the coordinator receives by the log.
    pub plan_version: PlanVersion,
    /// Update of the target list; `None` when the coordinator is up to date.
    pub targets: Option<TargetList>,
    /// Age of the platform's list that the target list is based on, in milliseconds; `None` before the first
    /// one was read.
    pub list_age_ms: Option<u64>,
    /// Services whose streams gateways have to report.
    pub recorded_services: Vec<ServiceId>,
    /// Gateways of the fleet, if the coordinator has asked for them and has an earlier roster.
    pub roster: Option<GatewayRoster>,
    /// System addresses of all coordinators that answer syncs in the leader's place.
    pub delegates: Vec<SocketAddr>,
    /// Engines whose status the coordinator is to ask for.
    pub polls: Vec<TargetEntry>,
    /// Newest revision of the evacuated data centres of the leader, which the coordinator receives by the log.
    #[serde(default)]
    pub evacuation_revision: Revision,
}

impl DelegateReply {
    /// Returns the newest state of the leader.
    #[must_use]
    pub fn serving_state(&self) -> ServingState {
        ServingState::new(self.plan_version, self.evacuation_revision)
    }
}
