use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

use crate::{
    adapter::TargetEntry,
    allowance::{ShareGrant, ShareReport},
    error::Result,
    ids::{DataCentreId, EntryKey, ModelId, Revision, ServiceId, TargetId, Term},
    plan::PlanVersion,
    region::RegionLimit,
    sync::{
        self, AwaitedModel, CompletedPart, CrashEvidence, EvacuationSection, LoadTopology,
        Neighbour, PartSection, ServingState, StreamAnswer, StreamQuery, StreamStart, TargetHash,
        target_hash,
    },
};

/// Number of a sync, which grows with each one of a gateway's process; 0 at gateways of earlier releases.
pub type SyncSerial = u64;

/// Path of a gateway's sync on the system port.
pub const GATEWAY_SYNC_PATH: &str = "/gateway/v1/sync";

/// Sync request from a gateway to the leading coordinator.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GatewayReport {
    /// Identity of the gateway.
    pub gateway: EntryKey,
    /// Data centre of the gateway.
    pub data_centre: DataCentreId,
    /// Version of the plan that the gateway has in force; 0 before the first plan.
    #[serde(rename = "plan")]
    pub plan_version: PlanVersion,
    /// Revision of the evacuated data centres that the gateway has in effect.
    #[serde(default)]
    pub evacuation_revision: Revision,
    /// Version of the target list that the gateway has.
    #[serde(rename = "list")]
    pub list_version: ListVersion,
    /// Digest of the gateway's target list, if the leader may not know its version; else empty.
    #[serde(default)]
    pub list_digest: Vec<TargetDigest>,
    /// The gateway's shares of the teams' allowances.
    pub shares: Vec<ShareReport>,
    /// UDP address that receives [load messages](crate::sync::LoadMessage) from other gateways.
    pub load_address: SocketAddr,
    /// UDP address that receives [news of plans](crate::sync::PlanNews); `None` if there is none.
    #[serde(default)]
    pub news_address: Option<SocketAddr>,
    /// Requests per model since the last report.
    pub demand: Vec<ModelRequests>,
    /// Targets that refuse connections or have sent nothing for the requests that they run.
    #[serde(rename = "silent")]
    pub unresponsive: Vec<TargetId>,
    /// Crashes of targets that ran requests of the gateway.
    #[serde(default)]
    pub crashes: Vec<CrashEvidence>,
    /// Suspect parts of requests whose answers were complete.
    #[serde(default)]
    pub completed_parts: Vec<CompletedPart>,
    /// Version of the suspect parts that the gateway has.
    #[serde(default)]
    pub parts_version: u64,
    /// Streams that the leader has to record.
    #[serde(default)]
    pub streams: Vec<StreamStart>,
    /// Streams that callers take up.
    #[serde(default)]
    pub stream_queries: Vec<StreamQuery>,
    /// Models that requests wait for because no target has them loaded.
    #[serde(rename = "wanted")]
    pub missing_models: Vec<ServedModel>,
    /// Models that requests with allowed regions wait for, with these regions.
    #[serde(default)]
    pub missing_regional_models: Vec<AwaitedModel>,
    /// Whether the gateway passes requests on because it does not reach targets.
    #[serde(default)]
    pub is_stranded: bool,
    /// Number of this sync. The gateway sends the next one once it has the reply or has given it up.
    #[serde(default)]
    pub serial: SyncSerial,
}

/// Version of the leader's target list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListVersion {
    /// Term of the leader.
    pub term: Term,
    /// Number of the version within the term.
    pub number: u64,
}

/// Hash of a target's id and of its entry in the list. A leader that does not know the version of a
/// gateway's list, such as a new one, finds the entries that differ by their digests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetDigest {
    /// Hash of the target's id.
    pub target: TargetHash,
    /// Hash of the entry.
    pub entry: u64,
}

impl TargetDigest {
    /// Returns the digest of an entry.
    ///
    /// # Errors
    /// [`Error::Decode`](crate::error::Error::Decode) when the entry cannot be encoded.
    pub fn new(entry: &TargetEntry) -> Result<Self> {
        let bytes = sync::encode_compact(entry)?;
        let hash = blake3::hash(&bytes);
        let mut prefix = [0; 8];
        prefix.copy_from_slice(&hash.as_bytes()[..8]);
        Ok(Self {
            target: target_hash(&entry.id),
            entry: u64::from_le_bytes(prefix),
        })
    }
}

/// A model or adapter of one service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ServedModel {
    /// Service that serves the model.
    pub service: ServiceId,
    /// Name of the model, or `model/adapter`.
    pub model: ModelId,
}

/// Requests for one model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelRequests {
    /// Model that the requests address.
    pub model: ServedModel,
    /// Number of requests.
    pub requests: u32,
    /// Total tokens of the requests.
    pub tokens: u64,
}

/// Reply of the leading coordinator to a [`GatewayReport`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GatewayReply {
    /// Term of the leader.
    pub term: Term,
    /// Update to the newest plan; `None` when the gateway has it already.
    pub plan: Option<PlanUpdate>,
    /// The evacuated data centres; `None` when the gateway has them already.
    #[serde(default)]
    pub evacuations: Option<EvacuationSection>,
    /// Grants of the teams' allowances.
    pub grants: Vec<ShareGrant>,
    /// Update of the target list; `None` when the gateway is up to date.
    pub targets: Option<TargetList>,
    /// Age of the platform's list that the target list is based on, in milliseconds; `None` before
    /// the first one was read.
    pub list_age_ms: Option<u64>,
    /// Number of gateways that sync with the leader.
    #[serde(default)]
    pub gateways: u32,
    /// Whether the evidence about parts in the report is recorded; otherwise it must be repeated.
    #[serde(default)]
    pub are_parts_recorded: bool,
    /// Parts that may crash targets; `None` when the gateway has them already.
    #[serde(default)]
    pub parts: Option<PartSection>,
    /// Services whose streams have to be reported, as they have more than one version.
    #[serde(default)]
    pub recorded_services: Vec<ServiceId>,
    /// Whether the streams in the report are recorded; otherwise they must be repeated.
    #[serde(default)]
    pub are_streams_recorded: bool,
    /// Answers to the questions about streams.
    #[serde(default)]
    pub stream_answers: Vec<StreamAnswer>,
    /// Gateways that this gateway exchanges loads with.
    #[serde(rename = "loads")]
    pub load_topology: LoadTopology,
    /// Interval until the next sync in milliseconds; a gateway that needs something syncs earlier.
    #[serde(rename = "period_ms")]
    pub sync_interval_ms: u64,
    /// System addresses of the coordinators.
    pub coordinators: Vec<SocketAddr>,
    /// Age of the proof that the plan is the newest one, in milliseconds; 0 in a reply of the leader.
    #[serde(default)]
    pub proof_age_ms: u64,
    /// System address of the leader; `None` in its own reply, or if a delegate does not know it.
    #[serde(default)]
    pub leader: Option<SocketAddr>,
    /// System addresses of the coordinators that answer syncs in the leader's place.
    #[serde(default)]
    pub delegates: Vec<SocketAddr>,
    /// Gateways that this gateway may pass requests to; empty if none is known.
    #[serde(default)]
    pub neighbours: Vec<Neighbour>,
}

impl GatewayReport {
    /// Returns what the gateway serves by.
    #[must_use]
    pub fn serving_state(&self) -> ServingState {
        ServingState::new(self.plan_version, self.evacuation_revision)
    }

    /// Returns the number of the sync; `None` if the gateway is of an earlier release.
    #[must_use]
    pub fn known_serial(&self) -> Option<SyncSerial> {
        Some(self.serial).filter(|serial| *serial > 0)
    }

    /// Returns whether the report has something that only the leader can record or answer.
    #[must_use]
    pub fn needs_leader(&self) -> bool {
        !(self.crashes.is_empty()
            && self.completed_parts.is_empty()
            && self.streams.is_empty()
            && self.stream_queries.is_empty()
            && self.missing_models.is_empty()
            && self.missing_regional_models.is_empty())
    }

    /// Returns the models that requests wait for, each with the regions that the requests allow.
    pub fn awaited_models(&self) -> impl Iterator<Item = AwaitedModel> {
        let unlimited = self.missing_models.iter().map(|model| AwaitedModel {
            model: model.clone(),
            regions: RegionLimit::Any,
        });
        unlimited.chain(self.missing_regional_models.iter().cloned())
    }
}

/// Update of a gateway's plan to the newest one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlanUpdate {
    /// A change of the plan that the gateway has.
    #[serde(rename = "Change")]
    Delta {
        /// Version of the new plan.
        version: PlanVersion,
        /// Version of the plan that the change applies to.
        base: PlanVersion,
        /// [`DocumentDelta`](crate::plan::DocumentDelta) in LZ4 with the uncompressed size prepended.
        #[serde(rename = "packed")]
        compressed: ByteBuf,
    },
    /// The full plan.
    #[serde(rename = "Whole")]
    Full {
        /// Version of the new plan.
        version: PlanVersion,
        /// Plan document in LZ4 with the uncompressed size prepended.
        #[serde(rename = "packed")]
        compressed: ByteBuf,
    },
    /// A newer plan exists and follows with a later sync, because it is being sent to other
    /// gateways now.
    #[serde(rename = "Later")]
    Deferred {
        /// Version of the new plan.
        version: PlanVersion,
    },
}

impl PlanUpdate {
    /// Returns the version of the new plan.
    #[must_use]
    pub fn version(&self) -> PlanVersion {
        match self {
            Self::Delta { version, .. }
            | Self::Full { version, .. }
            | Self::Deferred { version } => *version,
        }
    }

    /// Returns the kind of the update for log lines.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::Delta { .. } => "delta",
            Self::Full { .. } => "full",
            Self::Deferred { .. } => "postponed",
        }
    }

    /// Returns the size of what is sent, in bytes.
    #[must_use]
    pub fn compressed_len(&self) -> usize {
        match self {
            Self::Delta { compressed, .. } | Self::Full { compressed, .. } => compressed.len(),
            Self::Deferred { .. } => 0,
        }
    }
}

/// A plan as an operator published it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedPlan {
    /// Version of the plan.
    pub version: PlanVersion,
    /// Plan document, which the adapter decodes.
    pub document: ByteBuf,
}

/// The leader's target list, either in full or as a change of an earlier version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetList {
    /// Version of the list after the change.
    pub version: ListVersion,
    /// Version that the change applies to; `None` for a full list.
    pub base: Option<ListVersion>,
    /// New and changed targets, with the models that they were ordered to hold.
    pub targets: Vec<TargetEntry>,
    /// Targets that were removed since `base`.
    #[serde(rename = "gone")]
    pub removed: Vec<TargetId>,
    /// Targets of the gateway's digest that the leader does not know.
    #[serde(default)]
    pub unknown: Vec<TargetHash>,
}

/// Request for tokens that a gateway sends to the leader over UDP, between syncs, when the tokens
/// granted to a team do not cover a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// Identity of the gateway.
    pub gateway: EntryKey,
    /// Serial number, unique within the gateway's incarnation.
    pub serial: u64,
    /// Shares of the teams that need more tokens.
    pub shares: Vec<ShareReport>,
    /// Whether the request only reports used tokens, so that no reply is expected.
    pub is_usage_only: bool,
}

/// Reply of the leader to a [`GrantRequest`]. Coordinators that do not lead send none.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantReply {
    /// Serial number of the request.
    pub serial: u64,
    /// Grants of the teams' allowances.
    pub grants: Vec<ShareGrant>,
}
