use serde::{Deserialize, Serialize};

use crate::{
    allowance::ShareGrant,
    border::FleetConfig,
    fleet::FleetDelta,
    ids::{Fingerprint, ModelId, Revision, TargetId, TeamId, Term, VersionId},
};

/// The leader's answer to a sync. The age of what it proves counts from the moment the entry asked.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SyncReply {
    /// Serial of the request that this answers.
    pub serial: u64,
    /// Term of the leader that proved its lease just before it answered.
    pub term: Term,
    /// Change of the configuration since the entry's revision.
    pub config: ConfigSection,
    /// Change of the residency table since the entry's version.
    pub residency: ResidencySection,
    /// Targets that get no new requests, apart from missing in the residency table; `None` when the
    /// entry has the current version.
    pub avoided: Option<AvoidedSection>,
    /// Load of targets whose load changed since the last reply.
    pub loads: Vec<TargetLoad>,
    /// Requests that crashed targets, when the entry's version is not the current one.
    pub crashes: Option<CrashSection>,
    /// Allowance granted.
    pub grants: Vec<ShareGrant>,
    /// Cumulative tokens that other entries served to each active team in this term.
    pub served_elsewhere: Vec<(TeamId, u64)>,
    /// Engines whose reports this entry polls.
    pub assigned: Vec<TargetId>,
}

/// Load of a target, as its latest report has it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetLoad {
    /// The target.
    pub target: TargetId,
    /// Requests that ran.
    pub running: u32,
    /// Requests that waited inside the target.
    pub queued: u32,
    /// Age of the report when the reply was written, in milliseconds.
    pub age_ms: u32,
}

/// All targets that get no new requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AvoidedSection {
    /// Version of the list.
    pub version: u64,
    /// The targets.
    pub targets: Vec<TargetId>,
}

/// All requests that crashed targets lately.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CrashSection {
    /// Version of the table.
    pub version: u64,
    /// Requests that only one entry at a time may run.
    pub suspects: Vec<Fingerprint>,
    /// Requests that must not run.
    pub blocked: Vec<Fingerprint>,
}

/// Part of a reply that brings the entry's configuration up to date.
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
        /// What changed.
        delta: Box<FleetDelta>,
    },
    /// The whole configuration of a revision.
    Snapshot(Revision, Box<FleetConfig>),
}

/// Part of a reply that brings the entry's residency table up to date.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ResidencySection {
    /// The entry has the current version.
    Current,
    /// The whole table at a version.
    Snapshot(u64, Vec<ResidentModel>),
    /// The difference between two versions.
    Delta {
        /// Version that the entry has.
        from: u64,
        /// Version after the change.
        to: u64,
        /// Copies that may receive requests now.
        added: Vec<ResidentModel>,
        /// Copies that may no longer receive requests.
        removed: Vec<ResidentModel>,
    },
}

/// One copy that may receive requests.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ResidentModel {
    /// Target that holds the copy.
    pub target: TargetId,
    /// Model or adapter.
    pub model: ModelId,
    /// Version that the copy has.
    pub version: VersionId,
}
