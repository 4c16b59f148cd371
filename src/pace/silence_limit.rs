use std::time::Duration;

/// Time without a byte after which a target is silent at the usual pace. Engines send several events
/// within this time, and plain services answer sooner.
const MIN_LIMIT: Duration = Duration::from_millis(700);
/// Upper limit, whatever the load and the pace: requests at a lost target must not wait any longer.
const MAX_LIMIT: Duration = Duration::from_secs(3);

/// Work of a target that states its pace, which explains how long it may send nothing.
#[derive(Clone, Copy, Debug)]
pub struct TargetWork {
    /// Factor on the usual time of work.
    pub factor: f32,
    /// Requests at the target divided by its slots.
    pub occupancy: f32,
    /// Time to process the prompts that it has not read, at the usual pace.
    pub prefill_ms: f32,
}

impl TargetWork {
    /// Returns the time without a byte after which the target is silent.
    #[must_use]
    pub fn silence_limit(&self) -> Duration {
        // Requests beyond the slots take turns, so that the gaps grow with them.
        let event_ms = MIN_LIMIT.as_secs_f32() * 1000.0 * self.occupancy.max(1.0);
        let limit_ms = (event_ms + self.prefill_ms) * self.factor;
        let limit = Duration::try_from_secs_f32(limit_ms / 1000.0).unwrap_or(MAX_LIMIT);
        limit.clamp(MIN_LIMIT, MAX_LIMIT)
    }
}
