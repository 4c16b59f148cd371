use std::time::Duration;

/// Parameters of the planner. The defaults were chosen with `examples/place_compare.rs`.
#[derive(Clone, Debug)]
pub struct PlacementParams {
    /// Time for which one generated token occupies a slot, in seconds. Equals the latency target
    /// for each token.
    pub seconds_per_token: f64,
    /// Planned utilisation of an engine's slots, as a fraction.
    pub slot_utilisation: f64,
    /// Factor by which the value of a copy must exceed the value of those that it replaces.
    pub hysteresis: f64,
    /// Cost of reading weights from the store, in tokens per second. A copy must add more value
    /// than this to be loaded in place of another.
    pub load_cost: f64,
    /// Minimum time between the load of a copy with demand and its eviction.
    pub min_residency: Duration,
    /// The same for an idle copy and for a forced eviction. It is about the duration of a load, so
    /// that a copy serves at least as long as it took to load.
    pub min_idle_residency: Duration,
    /// Time constant with which the demand estimate rises.
    pub rise_time_constant: Duration,
    /// Time constant with which the demand estimate falls.
    pub fall_time_constant: Duration,
    /// Value of one request that waits for a model without a resident copy, in tokens per second.
    pub waiting_request_value: f64,
    /// Wait after which a model without a resident copy may evict others regardless of their value,
    /// so that every model stays reachable. It leaves half of the default request timeout for the
    /// load.
    pub forced_eviction_delay: Duration,
    /// Maximum number of steps in one plan, so that the plan is carried out before its demand data
    /// are out of date.
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
