use serde::{Deserialize, Serialize};

use crate::ids::TeamId;

/// What an entry reports of its share of one team's allowance. Counters are cumulative over the
/// entry's incarnation, so that lost, late and repeated messages do no harm.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareReport {
    /// Team that the share belongs to.
    pub team: TeamId,
    /// Tokens granted that the entry has seen.
    pub granted: u64,
    /// Tokens used for good.
    pub used: u64,
    /// Tokens handed back.
    pub returned: u64,
    /// Tokens that the entry wants beyond what it holds.
    pub wanted: u64,
}

/// The leader's grant to one entry for one team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareGrant {
    /// Team that the grant belongs to.
    pub team: TeamId,
    /// Tokens granted to this incarnation of the entry in all.
    pub granted: u64,
}
