use std::time::Duration;

/// Constants of the planner. The defaults were chosen by `examples/place_compare.rs`.
#[derive(Clone, Debug)]
pub struct PlacementRules {
    /// Time that one generated token takes of one slot, in seconds; the latency target.
    pub seconds_per_token: f64,
    /// Share of an engine's slots that a model's copies are planned to fill.
    pub slot_utilisation: f64,
    /// A copy replaces others only if it is worth this many times as much.
    pub hysteresis: f64,
    /// Worth, in tokens a second, that a copy must add to justify reading weights from the store.
    pub move_cost: f64,
    /// Time for which a copy is not replaced after it was loaded.
    pub min_residency: Duration,
    /// Time constant with which the demand estimate rises.
    pub rise: Duration,
    /// Time constant with which the demand estimate falls.
    pub fall: Duration,
    /// Worth of one request that waits for a cold model, in tokens a second.
    pub waiting_worth: f64,
    /// Steps in one plan, so that a plan is carried out before the demand it saw is history.
    pub max_steps: usize,
}

impl Default for PlacementRules {
    fn default() -> Self {
        Self {
            seconds_per_token: 0.036,
            slot_utilisation: 0.6,
            hysteresis: 1.5,
            move_cost: 5.0,
            min_residency: Duration::from_secs(20),
            rise: Duration::from_secs(2),
            fall: Duration::from_secs(300),
            waiting_worth: 100.0,
            max_steps: 32,
        }
    }
}
