use serde::{Deserialize, Serialize};

use crate::ids::TeamId;

/// What an entry reports of its share of one team's allowance. Counters are cumulative over the
/// share's epoch, so that lost, late, reordered and repeated messages do no harm.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareReport {
    /// Team that the share belongs to.
    pub team: TeamId,
    /// Epoch that the counters belong to; 0 before the first grant.
    pub epoch: u64,
    /// Tokens granted that the entry has seen.
    pub granted: u64,
    /// Tokens used for good.
    pub used: u64,
    /// Tokens handed back.
    pub returned: u64,
    /// Tokens that the entry wants beyond what it holds, `urgent` included.
    #[serde(rename = "wanted")]
    pub requested: u64,
    /// Tokens beyond what the entry holds that the request waiting longest needs to start; 0 when
    /// none waits.
    #[serde(default)]
    pub urgent: u64,
}

/// The leader's grant to one entry for one team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareGrant {
    /// Team that the grant belongs to.
    pub team: TeamId,
    /// Epoch that `granted` counts in. The leader's term is in the upper 24 bits. A greater epoch
    /// voids everything that the entry held in earlier ones.
    pub epoch: u64,
    /// Tokens granted in this epoch in all.
    pub granted: u64,
    /// Idle tokens that the leader asks back for requests waiting at other entries.
    #[serde(default)]
    pub recall: u64,
}
