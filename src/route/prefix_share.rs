use std::collections::HashMap;

/// Requests per generation; two generations are counted.
const GENERATION: u32 = 256;

/// How large a share of the requests begins with which prefix.
///
/// A generation has at most [`GENERATION`] requests, which bounds the memory.
#[derive(Debug, Default)]
pub(super) struct PrefixShare {
    young: HashMap<u64, u32>,
    young_total: u32,
    old: HashMap<u64, u32>,
    old_total: u32,
}

impl PrefixShare {
    /// Counts a request.
    pub fn record(&mut self, hash: u64) {
        if self.young_total == GENERATION {
            self.old = std::mem::take(&mut self.young);
            self.old_total = std::mem::take(&mut self.young_total);
        }
        *self.young.entry(hash).or_default() += 1;
        self.young_total += 1;
    }

    /// Returns the share of the requests counted that began with this prefix.
    #[allow(clippy::cast_precision_loss)] // Counts are small.
    pub fn of(&self, hash: u64) -> f32 {
        let count = |counts: &HashMap<u64, u32>| counts.get(&hash).copied().unwrap_or(0);
        let counted = count(&self.young) + count(&self.old);
        counted as f32 / (self.young_total + self.old_total).max(1) as f32
    }
}
