use std::time::Duration;

use crate::ids::TargetId;

/// The target chosen for a request, with the estimates that the choice was based on.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteChoice {
    /// Target that receives the request.
    pub target: TargetId,
    /// Expected time to the first byte in milliseconds, without the part that is equal for all
    /// candidates.
    pub cost_ms: f32,
    /// Expected time to the first byte in milliseconds at a target of normal speed, without the
    /// network distance.
    pub baseline_ms: f32,
    /// Estimated number of requests that the target runs or queues.
    pub load: f32,
    /// Prompt tokens that are expected to be in the target's cache.
    pub cached_tokens: u32,
    /// Prompt tokens that the target is expected to process.
    pub prefill_tokens: u32,
    /// Evidence for the cached tokens: their number and the time at which they were in the cache.
    pub evidence: Option<(u32, Duration)>,
    /// Prefix tokens that other entries may have brought into the target's cache, when there is no
    /// evidence and the hash ring assigns the prefix to the target.
    pub ring_tokens: Option<u32>,
}
