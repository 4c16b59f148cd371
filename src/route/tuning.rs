use std::time::Duration;

/// Constants of the choice. The defaults come from docs/policy.md, section "Routing".
#[derive(Clone, Copy, Debug)]
pub struct RouteTuning {
    /// Candidates that are scored, besides those believed to have the prefix.
    pub sample_size: usize,
    /// Candidates drawn from these, weighted by score; the better one wins.
    pub draws: usize,
    /// Cost difference at which the weight of a candidate falls by e, in milliseconds.
    pub temperature_ms: f32,
    /// A send of this entry since a report counts `entries^exponent` times, for the sends of
    /// others that the report does not contain either.
    pub peer_load_exponent: f32,
    /// Time after which a belief about a cached prefix counts half.
    pub prefix_half_life: Duration,
    /// Time to process one prompt token that is not cached, in milliseconds.
    pub prefill_ms_per_token: f32,
    /// Time that a request occupies a slot, in milliseconds.
    pub slot_ms: f32,
    /// Time after which a difference between reported loads counts half.
    pub load_half_life: Duration,
    /// Targets to which all entries send a prefix that they have no evidence for, however rare the
    /// prefix is; frequent ones have more, up to 8.
    pub ring_targets: usize,
    /// Prefixes remembered over all pools.
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
