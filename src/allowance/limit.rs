use crate::border::TeamConfig;

/// Limit of one team over the whole fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RateLimit {
    /// Tokens a second that the team may use on average.
    pub rate: u64,
    /// Most tokens that the team may use at once.
    pub burst: u64,
}

impl From<&TeamConfig> for RateLimit {
    fn from(team: &TeamConfig) -> Self {
        Self {
            rate: team.rate_tokens_per_second,
            burst: team.burst_tokens,
        }
    }
}
