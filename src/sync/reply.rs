use serde::{Deserialize, Serialize};

use crate::{
    allowance::ShareGrant,
    border::FleetConfig,
    ids::{ModelId, Revision, TargetId, TeamId, Term, VersionId},
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
    /// Allowance granted.
    pub grants: Vec<ShareGrant>,
    /// Tokens served to each active team by other entries since the last sync.
    pub served_elsewhere: Vec<(TeamId, u64)>,
    /// Engines whose reports this entry polls.
    pub assigned: Vec<TargetId>,
}

/// Part of a reply that brings the entry's configuration up to date.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ConfigSection {
    /// The entry has the revision in force.
    Current,
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
}

/// One copy that may receive requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResidentModel {
    /// Target that holds the copy.
    pub target: TargetId,
    /// Model or adapter.
    pub model: ModelId,
    /// Version that the copy has.
    pub version: VersionId,
}
