/// Bounds of one queue.
#[derive(Clone, Copy, Debug)]
pub struct QueueLimits {
    /// Maximum number of waiting items of one team.
    pub max_team_items: usize,
    /// Maximum number of waiting items of all teams.
    pub max_total_items: usize,
    /// Maximum lead over virtual time, in tokens per unit of weight, that a team gets from service
    /// by other queues. It bounds the waiting time of such a team in this queue.
    pub max_lead_tokens: u64,
}

impl Default for QueueLimits {
    fn default() -> Self {
        Self {
            max_team_items: 256,
            max_total_items: 4096,
            max_lead_tokens: 20_000,
        }
    }
}
