use serde::{Deserialize, Serialize};

use crate::{
    allowance::ShareGrant,
    border::FleetConfig,
    fleet::FleetDelta,
    ids::{Fingerprint, ModelId, Revision, TargetId, TeamId, Term, VersionId},
    sync::PartSection,
};

/// Reply of the leader to a [`SyncRequest`](crate::sync::SyncRequest). The age of its content
/// counts from the moment when the entry sent the request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SyncReply {
    /// Serial number of the request.
    pub serial: u64,
    /// Term of the leader, which confirmed its lease immediately before it replied.
    pub term: Term,
    /// Change of the configuration since the entry's revision.
    pub config: ConfigSection,
    /// Change of the residency table since the entry's version.
    pub residency: ResidencySection,
    /// Targets that receive no new requests even if the residency table lists them; `None` when the
    /// entry has the current version.
    pub avoided: Option<AvoidedSection>,
    /// Loads of the targets whose load changed since the last reply.
    pub loads: Vec<TargetLoad>,
    /// Requests that crashed targets; `None` when the entry has the current version.
    pub crashes: Option<CrashSection>,
    /// Parts that may crash targets; `None` when the entry has the current version.
    #[serde(default)]
    pub parts: Option<PartSection>,
    /// Grants of the teams' allowances.
    pub grants: Vec<ShareGrant>,
    /// Cumulative tokens that other entries served to each active team in this term.
    pub served_elsewhere: Vec<(TeamId, u64)>,
    /// Engines that this entry polls for reports.
    pub assigned: Vec<TargetId>,
}

/// Load of a target according to its latest report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetLoad {
    /// Target that the load is about.
    pub target: TargetId,
    /// Requests that were running.
    pub running: u32,
    /// Requests that were queued inside the target.
    pub queued: u32,
    /// Age of the report when the reply was encoded, in milliseconds.
    pub age_ms: u32,
}

/// All targets that receive no new requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AvoidedSection {
    /// Version of the list of avoided targets.
    pub version: u64,
    /// The avoided targets.
    pub targets: Vec<TargetId>,
}

/// All requests that crashed targets recently.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CrashSection {
    /// Version of the crash table.
    pub version: u64,
    /// Requests that only one entry may run at a time.
    pub suspects: Vec<Fingerprint>,
    /// Requests that must not run.
    pub blocked: Vec<Fingerprint>,
}

/// Section of a reply that updates the entry's configuration.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ConfigSection {
    /// The entry has the revision in force.
    Current,
    /// The difference between two revisions.
    Delta {
        /// Revision that the entry has.
        from: Revision,
        /// Revision after the change.
        to: Revision,
        /// Difference between the two revisions.
        delta: Box<FleetDelta>,
    },
    /// The full configuration of a revision.
    Snapshot(Revision, Box<FleetConfig>),
}

/// Section of a reply that updates the entry's residency table.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ResidencySection {
    /// The entry has the current version.
    Current,
    /// The full table at a version.
    Snapshot(u64, Vec<ResidentModel>),
    /// The difference between two versions.
    Delta {
        /// Version that the entry has.
        from: u64,
        /// Version after the change.
        to: u64,
        /// Copies that may now receive requests.
        added: Vec<ResidentModel>,
        /// Copies that may no longer receive requests.
        removed: Vec<ResidentModel>,
    },
}

/// A copy of a model or adapter that may receive requests.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ResidentModel {
    /// Target that holds the copy.
    pub target: TargetId,
    /// Name of the model or adapter.
    pub model: ModelId,
    /// Version of the copy.
    pub version: VersionId,
}
