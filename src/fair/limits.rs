/// Bounds of one queue.
#[derive(Clone, Copy, Debug)]
pub struct QueueLimits {
    /// Most items that wait for one team.
    pub max_team_items: usize,
    /// Most items that wait in all.
    pub max_total_items: usize,
    /// Most tokens per unit of weight by which service received elsewhere puts a team behind the
    /// others at this queue. It bounds how long such a team waits here.
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
