use serde::{Deserialize, Serialize};

use crate::ids::TeamId;

/// Counters of the tokens that were granted to waiting requests, which are a part of the share's. They are
/// cumulative over its epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareCounters {
    /// Tokens granted, as known to the entry.
    pub granted: u64,
    /// Tokens used, or expired at the entry.
    pub used: u64,
    /// Tokens returned to the leader.
    pub returned: u64,
}

/// An entry's report about its share of one team's allowance. Counters are cumulative over the
/// share's epoch, so that lost, late, reordered and duplicate messages are harmless.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareReport {
    /// Team that the share belongs to.
    pub team: TeamId,
    /// Epoch that the counters belong to; 0 before the first grant.
    pub epoch: u64,
    /// Tokens granted in this epoch, as known to the entry.
    pub granted: u64,
    /// Tokens used.
    pub used: u64,
    /// Tokens returned to the leader.
    pub returned: u64,
    /// Tokens requested in addition to those that the entry holds, including `urgent`.
    #[serde(rename = "wanted")]
    pub requested: u64,
    /// Tokens that the request that has waited longest is missing; 0 when no request is waiting.
    #[serde(default)]
    pub urgent: u64,
    /// Time for which that request still waits, in milliseconds; `None` when it is not known.
    #[serde(default)]
    pub waits_ms: Option<u32>,
    /// Number of the request that has waited longest, unique within the entry's incarnation; 0 if none waits.
    #[serde(default)]
    pub request: u64,
    /// Part of the counters that concerns tokens granted to waiting requests.
    #[serde(default)]
    pub urgent_counters: ShareCounters,
}

/// The leader's grant to one entry for one team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareGrant {
    /// Team that the grant belongs to.
    pub team: TeamId,
    /// Epoch that `granted` belongs to. The upper 24 bits are the leader's term. A higher epoch
    /// invalidates all tokens of earlier epochs.
    pub epoch: u64,
    /// Total number of tokens granted in this epoch.
    pub granted: u64,
    /// Idle tokens that the leader recalls for requests waiting at other entries.
    #[serde(default)]
    pub recall: u64,
    /// Part of `granted` that was granted to waiting requests.
    #[serde(default)]
    pub urgent_granted: u64,
    /// Number of these tokens that can be used of those that the report was not aware of.
    #[serde(default)]
    pub urgent_valid: u64,
    /// Time from the arrival of the report to this grant, in milliseconds. The validity of the urgent
    /// tokens begins that much later than the report was made.
    #[serde(default)]
    pub held_ms: u32,
    /// What the leader has no tokens for; `None` if it has, or cannot tell yet.
    #[serde(default)]
    pub shortage: Option<ShareShortage>,
}

impl ShareGrant {
    /// Returns a grant without tokens, which invalidates those of earlier epochs.
    #[must_use]
    pub fn empty(team: &TeamId, epoch: u64) -> Self {
        Self {
            team: team.clone(),
            epoch,
            granted: 0,
            recall: 0,
            urgent_granted: 0,
            urgent_valid: 0,
            held_ms: 0,
            shortage: None,
        }
    }
}

/// A waiting request that the leader has no tokens for at the moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareShortage {
    /// Number of the request, as reported.
    pub request: u64,
    /// Time until the tokens for it are refilled, after those for the requests before it, in milliseconds.
    pub wait_ms: u32,
    /// Whether that is longer than the request waits, so that it is not kept in the leader's queue.
    pub is_refused: bool,
}
