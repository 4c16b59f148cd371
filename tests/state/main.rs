//! Guards the replicated state: at most one run per claim, memory never overcommitted, and the
//! same result on every voter.

mod claims;
mod configs;
mod crashes;
mod determinism;
mod memory;

use proptest::test_runner::{Config as ProptestConfig, RngSeed};
use serde_json::json;
use waxwinglatch::{
    border::FleetConfig,
    ids::EntryKey,
    state::{Command, ControlState, Outcome, StampedCommand},
};

/// 2026-01-01, so that ages can be counted back from it.
const START_MS: u64 = 1_767_225_600_000;
const HOUR_MS: u64 = 3_600_000;
const DAY_MS: u64 = 24 * HOUR_MS;

/// A state with a clock that the test moves.
struct TimedState {
    state: ControlState,
    at_ms: u64,
}

impl TimedState {
    fn new() -> Self {
        Self {
            state: ControlState::default(),
            at_ms: START_MS,
        }
    }

    fn apply(&mut self, command: Command) -> Outcome {
        let stamped = StampedCommand {
            at_ms: self.at_ms,
            command,
        };
        self.state.apply(self.state.applied() + 1, &stamped)
    }
}

/// Repeats the same cases in each run; `PROPTEST_RNG_SEED` and `PROPTEST_CASES` choose others.
fn seeded() -> ProptestConfig {
    let config = ProptestConfig {
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    match config.rng_seed {
        RngSeed::Random => ProptestConfig {
            rng_seed: RngSeed::Fixed(1),
            ..config
        },
        RngSeed::Fixed(_) => config,
    }
}

fn entry(number: u64) -> EntryKey {
    EntryKey {
        vm: format!("vm-{number}").into(),
        incarnation: number,
    }
}

/// A configuration with one engine of each kind, with 2 accelerators of 100 MiB.
fn config(teams: &[&str]) -> FleetConfig {
    let teams: Vec<_> = teams
        .iter()
        .map(|id| json!({ "id": id, "rate_tokens_per_second": 1, "burst_tokens": 1 }))
        .collect();
    let engine = |id: &str, checks: bool| {
        json!({
            "id": id, "vm": "vm-t", "data_centre": "dc-1", "kind": "engine",
            "address": "127.0.0.1:9000", "accelerators": 2, "accelerator_memory_mib": 100,
            "checks_fencing": checks,
        })
    };
    serde_json::from_value(json!({
        "teams": teams, "routes": [], "models": [],
        "targets": [engine("checking", true), engine("trusting", false)],
        "weight_store": { "loads_per_second": 1.0, "concurrent_loads": 1 },
    }))
    .expect("the configuration parses")
}
