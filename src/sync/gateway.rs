use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

use crate::{
    adapter::TargetEntry,
    allowance::{ShareGrant, ShareReport},
    ids::{DataCentreId, EntryKey, ModelId, ServiceId, Term},
    plan::PlanVersion,
};

/// Path of a gateway's sync on the system port.
pub const GATEWAY_SYNC_PATH: &str = "/gateway/v1/sync";

/// What a gateway tells the leading coordinator.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GatewayReport {
    /// The gateway.
    pub gateway: EntryKey,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Plan that it has in force; 0 before the first.
    pub plan: PlanVersion,
    /// List of targets that it has, by leader's term and number.
    pub list: ListVersion,
    /// Shares of teams' allowance.
    pub shares: Vec<ShareReport>,
    /// Where other gateways tell it what they send.
    pub load_address: SocketAddr,
    /// Requests for each model since the last report.
    pub demand: Vec<ModelRequests>,
    /// Models that requests wait for because no target holds them.
    pub wanted: Vec<ServedModel>,
}

/// Names one state of the leader's list of targets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListVersion {
    /// Term of the leader.
    pub term: Term,
    /// Number within the term.
    pub number: u64,
}

/// A model of one service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ServedModel {
    /// The service.
    pub service: ServiceId,
    /// Model, or `model/adapter`.
    pub model: ModelId,
}

/// Requests for one model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelRequests {
    /// The model.
    pub model: ServedModel,
    /// Tokens of the requests.
    pub tokens: u64,
}

/// The leader's answer to a gateway.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GatewayReply {
    /// Term of the leader.
    pub term: Term,
    /// Newest plan, when the gateway has an older one.
    pub plan: Option<PublishedPlan>,
    /// Grants of teams' allowance.
    pub grants: Vec<ShareGrant>,
    /// Targets, when the gateway has another list.
    pub targets: Option<TargetList>,
    /// Age of the platform's list behind the targets, in milliseconds; `None` while there is none.
    pub list_age_ms: Option<u64>,
    /// Where the other gateways are told what this one sends.
    pub peers: Vec<SocketAddr>,
    /// System addresses of the coordinators.
    pub coordinators: Vec<SocketAddr>,
}

/// A plan as it was published.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedPlan {
    /// Number of the plan.
    pub version: PlanVersion,
    /// Document that the adapter decodes.
    pub document: ByteBuf,
}

/// Targets as the leader knows them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetList {
    /// Names this state of the list.
    pub version: ListVersion,
    /// The targets, with what they were ordered to hold.
    pub targets: Vec<TargetEntry>,
}
