//! Tests of the replicated state: a claimed request runs at most once, accelerator memory is never
//! overcommitted, and all voters compute the same state.

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

/// Start of the test clock, 2026-01-01, so that keys with earlier timestamps are possible.
const START_MS: u64 = 1_767_225_600_000;
const HOUR_MS: u64 = 3_600_000;
const DAY_MS: u64 = 24 * HOUR_MS;

/// A control state with a clock that the test advances.
struct TestState {
    state: ControlState,
    at_ms: u64,
}

impl TestState {
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

/// Returns a configuration with a fixed seed, so that each run has the same cases.
/// `PROPTEST_RNG_SEED` and `PROPTEST_CASES` override the seed and the number of cases.
fn seeded_config() -> ProptestConfig {
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

/// Returns a configuration with an engine that checks fencing numbers and one that does not, each
/// with 2 accelerators of 100 MiB.
fn config(teams: &[&str]) -> FleetConfig {
    let teams: Vec<_> = teams
        .iter()
        .map(|id| json!({ "id": id, "rate_tokens_per_second": 1, "burst_tokens": 1 }))
        .collect();
    let engine = |id: &str, checks_fencing: bool| {
        json!({
            "id": id, "vm": "vm-t", "data_centre": "dc-1", "kind": "engine",
            "address": "127.0.0.1:9000", "accelerators": 2, "accelerator_memory_mib": 100,
            "checks_fencing": checks_fencing,
        })
    };
    serde_json::from_value(json!({
        "teams": teams, "routes": [], "models": [],
        "targets": [engine("fenced", true), engine("unfenced", false)],
        "weight_store": { "loads_per_second": 1.0, "concurrent_loads": 1 },
    }))
    .expect("the configuration parses")
}
