use std::time::Duration;

/// Constants of the planner. The defaults were chosen by `examples/place_compare.rs`.
#[derive(Clone, Debug)]
pub struct PlacementParams {
    /// Time that one generated token takes of one slot, in seconds; the latency target.
    pub seconds_per_token: f64,
    /// Share of an engine's slots that a model's copies are planned to fill.
    pub slot_utilisation: f64,
    /// A copy replaces others only if it is worth this many times as much.
    pub hysteresis: f64,
    /// Worth, in tokens a second, that a copy must add to justify reading weights from the store.
    pub load_cost: f64,
    /// Time for which a copy with demand is not replaced after it was loaded.
    pub min_residency: Duration,
    /// The same for a copy without demand, and where a caller's patience is at its end. It is
    /// about the time of a load, so that a copy serves at least as long as it took to load.
    pub min_idle_residency: Duration,
    /// Time constant with which the demand estimate rises.
    pub rise_time_constant: Duration,
    /// Time constant with which the demand estimate falls.
    pub fall_time_constant: Duration,
    /// Worth of one request that waits for a cold model, in tokens a second.
    pub waiting_request_value: f64,
    /// Time after which a cold model that callers wait for gets room whatever it costs, so that
    /// every model stays reachable. It leaves half of the default request timeout for the load.
    pub forced_eviction_delay: Duration,
    /// Steps in one plan, so that a plan is carried out before the demand it saw is history.
    pub max_steps: usize,
}

impl Default for PlacementParams {
    fn default() -> Self {
        Self {
            seconds_per_token: 0.036,
            slot_utilisation: 0.6,
            hysteresis: 2.0,
            load_cost: 5.0,
            min_residency: Duration::from_secs(60),
            min_idle_residency: Duration::from_secs(20),
            rise_time_constant: Duration::from_secs(2),
            fall_time_constant: Duration::from_secs(300),
            waiting_request_value: 5.0,
            forced_eviction_delay: Duration::from_secs(15),
            max_steps: 32,
        }
    }
}
