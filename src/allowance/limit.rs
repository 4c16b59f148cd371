use crate::border::TeamConfig;

/// Fleet-wide rate limit of one team.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RateLimit {
    /// Average rate in tokens per second.
    pub rate: u64,
    /// Maximum number of tokens that the team may use at once.
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
