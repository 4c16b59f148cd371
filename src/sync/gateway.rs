use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

use crate::{
    adapter::TargetEntry,
    allowance::{ShareGrant, ShareReport},
    ids::{DataCentreId, EntryKey, ModelId, ServiceId, TargetId, Term},
    plan::PlanVersion,
    sync::LoadTopology,
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
    #[serde(rename = "plan")]
    pub plan_version: PlanVersion,
    /// List of targets that it has, by leader's term and number.
    #[serde(rename = "list")]
    pub list_version: ListVersion,
    /// Shares of teams' allowance.
    pub shares: Vec<ShareReport>,
    /// Where other gateways tell it what they send.
    pub load_address: SocketAddr,
    /// Requests for each model since the last report.
    pub demand: Vec<ModelRequests>,
    /// Targets that accept no connection, or sent nothing to the requests that they run.
    #[serde(rename = "silent")]
    pub unresponsive: Vec<TargetId>,
    /// Models that requests wait for because no target holds them.
    #[serde(rename = "wanted")]
    pub missing_models: Vec<ServedModel>,
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
    /// How many they are.
    pub requests: u32,
    /// Their tokens.
    pub tokens: u64,
}

/// The leader's answer to a gateway.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GatewayReply {
    /// Term of the leader.
    pub term: Term,
    /// What leads to the newest plan, when the gateway has an older one.
    pub plan: Option<PlanUpdate>,
    /// Grants of teams' allowance.
    pub grants: Vec<ShareGrant>,
    /// What the gateway lacks of the list of targets.
    pub targets: Option<TargetList>,
    /// Age of the platform's list behind the targets, in milliseconds; `None` while there is none.
    pub list_age_ms: Option<u64>,
    /// Whom the gateway tells what it sends.
    #[serde(rename = "loads")]
    pub load_topology: LoadTopology,
    /// Time until the gateway is to sync again, in milliseconds, unless it needs something.
    #[serde(rename = "period_ms")]
    pub sync_interval_ms: u64,
    /// System addresses of the coordinators.
    pub coordinators: Vec<SocketAddr>,
}

/// How a gateway gets the newest plan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlanUpdate {
    /// By a change of the plan that it has.
    #[serde(rename = "Change")]
    Delta {
        /// Number of the new plan.
        version: PlanVersion,
        /// Number of the plan that it has.
        base: PlanVersion,
        /// The [change](crate::plan::DocumentDelta), compressed by LZ4 with its size in front.
        #[serde(rename = "packed")]
        compressed: ByteBuf,
    },
    /// As a whole.
    #[serde(rename = "Whole")]
    Full {
        /// Number of the plan.
        version: PlanVersion,
        /// The document, compressed by LZ4 with its size in front.
        #[serde(rename = "packed")]
        compressed: ByteBuf,
    },
    /// With a sync soon after, since others are being sent it.
    #[serde(rename = "Later")]
    Deferred {
        /// Number of the plan.
        version: PlanVersion,
    },
}

/// A plan as it was published.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedPlan {
    /// Number of the plan.
    pub version: PlanVersion,
    /// Document that the adapter decodes.
    pub document: ByteBuf,
}

/// Targets as the leader knows them, or what changed since an earlier list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetList {
    /// Names this state of the list.
    pub version: ListVersion,
    /// The list that this one changes; `None` when it is whole.
    pub base: Option<ListVersion>,
    /// The targets that are new or changed, with what they were ordered to hold.
    pub targets: Vec<TargetEntry>,
    /// Targets that are gone since `base`.
    #[serde(rename = "gone")]
    pub removed: Vec<TargetId>,
}

/// What a gateway asks of the leader over UDP when a request lacks tokens, apart from syncs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// The gateway.
    pub gateway: EntryKey,
    /// Names the question within the gateway's life.
    pub serial: u64,
    /// Shares of the teams that lack tokens.
    pub shares: Vec<ShareReport>,
}

/// The leader's answer. Other coordinators do not answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantReply {
    /// The question.
    pub serial: u64,
    /// Grants of teams' allowance.
    pub grants: Vec<ShareGrant>,
}
