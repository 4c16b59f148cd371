/// Bounds of one queue.
#[derive(Clone, Copy, Debug)]
pub struct FairLimits {
    /// Most items that wait for one team.
    pub team_items: usize,
    /// Most items that wait in all.
    pub total_items: usize,
    /// Most tokens per unit of weight by which service received elsewhere puts a team behind the
    /// others at this queue. It bounds how long such a team waits here.
    pub lead_tokens: u64,
}

impl Default for FairLimits {
    fn default() -> Self {
        Self {
            team_items: 256,
            total_items: 4096,
            lead_tokens: 20_000,
        }
    }
}
