use std::time::Duration;

use crate::ids::TargetId;

/// The target chosen for a request, with the figures for its log line.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteChoice {
    /// Target to send to.
    pub target: TargetId,
    /// Expected time to the first byte in milliseconds, up to what all candidates share.
    pub cost_ms: f32,
    /// The same if the target has the speed of the others in its pool.
    pub baseline_ms: f32,
    /// Requests that the target is believed to run or queue.
    pub load: f32,
    /// Prompt tokens expected to be cached there.
    pub cached_tokens: u32,
    /// Prompt tokens expected to be processed there.
    pub prefill_tokens: u32,
    /// Evidence for the cached ones: tokens and the moment at which they were in the cache.
    pub evidence: Option<(u32, Duration)>,
    /// Prefix tokens that other entries may have brought there, when there is no evidence.
    pub ring_tokens: Option<u32>,
}
