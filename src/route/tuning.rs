use std::time::Duration;

/// Parameters of target selection. The defaults come from docs/policy.md, section "Routing".
#[derive(Clone, Copy, Debug)]
pub struct RouteTuning {
    /// Number of sampled candidates that are scored, besides the replicas expected to have the
    /// prefix.
    pub sample_size: usize,
    /// Number of scored candidates that are drawn, weighted by cost; the cheapest one is selected.
    pub draws: usize,
    /// Cost difference in milliseconds that reduces the weight of a candidate by a factor of e.
    pub temperature_ms: f32,
    /// Exponent of the weight `entries^exponent` of this entry's sends since a report. The weight
    /// accounts for the sends of other entries that the report does not contain either.
    pub peer_load_exponent: f32,
    /// Half-life of the evidence for a cached prefix.
    pub prefix_half_life: Duration,
    /// Time in milliseconds to process one prompt token that is not cached.
    pub prefill_ms_per_token: f32,
    /// Time in milliseconds that a request occupies a slot.
    pub slot_ms: f32,
    /// Half-life of a difference between reported loads.
    pub load_half_life: Duration,
    /// Minimum number of hash ring targets to which all entries send a prefix without evidence.
    /// Frequent prefixes have more, up to 8.
    pub ring_targets: usize,
    /// Maximum number of prefixes in the index, over all pools.
    pub prefix_capacity: usize,
}

impl Default for RouteTuning {
    fn default() -> Self {
        Self {
            sample_size: 8,
            draws: 2,
            temperature_ms: 40.0,
            peer_load_exponent: 1.0,
            prefix_half_life: Duration::from_secs(300),
            prefill_ms_per_token: 0.1,
            slot_ms: 3000.0,
            load_half_life: Duration::from_secs(1),
            ring_targets: 2,
            prefix_capacity: 32_768,
        }
    }
}
