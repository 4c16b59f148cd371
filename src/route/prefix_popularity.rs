use std::collections::HashMap;

/// Number of requests per generation; two generations are kept.
const GENERATION_REQUESTS: u32 = 256;

/// Share of recent requests that begin with each prefix.
///
/// Memory is bounded, because a generation has at most [`GENERATION_REQUESTS`] requests.
#[derive(Debug, Default)]
pub(super) struct PrefixPopularity {
    young: HashMap<u64, u32>,
    young_requests: u32,
    old: HashMap<u64, u32>,
    old_requests: u32,
}

impl PrefixPopularity {
    /// Records a request.
    pub fn record(&mut self, hash: u64) {
        if self.young_requests == GENERATION_REQUESTS {
            self.old = std::mem::take(&mut self.young);
            self.old_requests = std::mem::take(&mut self.young_requests);
        }
        *self.young.entry(hash).or_default() += 1;
        self.young_requests += 1;
    }

    /// Returns the share of the recorded requests that began with this prefix.
    #[allow(clippy::cast_precision_loss)] // Counts are small.
    pub fn share(&self, hash: u64) -> f32 {
        let count = |counts: &HashMap<u64, u32>| counts.get(&hash).copied().unwrap_or(0);
        let matching = count(&self.young) + count(&self.old);
        matching as f32 / (self.young_requests + self.old_requests).max(1) as f32
    }
}
