//! Guards against a delta that yields a different configuration than the accepted one, on entries
//! and in the configuration history.

use proptest::{collection::vec, prelude::*, sample::Index};
use serde_json::{Value, json};
use waxwinglatch::{border::FleetConfig, fleet::FleetDelta};

/// Builds a configuration from small numbers, so that two random ones often share ids, items and
/// order.
fn configuration(lists: &[Vec<(u8, u8)>; 3], store: u8) -> FleetConfig {
    let list = |list: &Vec<(u8, u8)>, item: fn(u8, u8) -> Value| -> Vec<Value> {
        list.iter().map(|(id, value)| item(*id, *value)).collect()
    };
    let target = |id, value| {
        json!({
            "id": format!("e{id}"), "vm": "v", "data_centre": "d", "kind": "engine",
            "address": "127.0.0.1:9", "slots": value,
        })
    };
    serde_json::from_value(json!({
        "teams": list(&lists[0], |id, value| json!({
            "id": format!("t{id}"), "rate_tokens_per_second": value, "burst_tokens": 1,
        })),
        "models": list(&lists[1], |id, value| json!({
            "id": format!("m{id}"), "version": format!("{value}"), "memory_mib": 1,
        })),
        "targets": list(&lists[2], target),
        "routes": [],
        "weight_store": { "loads_per_second": f64::from(store) / 3.0, "concurrent_loads": 1 },
    }))
    .expect("the configuration parses")
}

fn lists() -> impl Strategy<Value = [Vec<(u8, u8)>; 3]> {
    let list = || vec((0..8_u8, 0..3_u8), 0..8);
    [list(), list(), list()]
}

fn fixed_seed_config() -> ProptestConfig {
    ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(2),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(fixed_seed_config())]

    /// Includes duplicate ids, which validation would reject.
    #[test]
    fn delta_restores_the_new_configuration(
        old in lists(), new in lists(), stores: (u8, u8), rotation: Index,
    ) {
        let mut rotated = old.clone();
        for list in &mut rotated {
            if !list.is_empty() {
                let by = rotation.index(list.len());
                list.rotate_left(by);
            }
        }
        let old = configuration(&old, stores.0);
        for new in [configuration(&new, stores.1), configuration(&rotated, stores.0)] {
            let delta = FleetDelta::between(&old, &new);
            prop_assert_eq!(&delta.apply_to(&old).unwrap(), &new);
            let bytes = rmp_serde::to_vec_named(&delta).unwrap();
            let sent: FleetDelta = rmp_serde::from_slice(&bytes).unwrap();
            prop_assert_eq!(&sent.apply_to(&old).unwrap(), &new);
        }
    }
}

#[test]
fn small_change_of_a_large_configuration_has_a_small_delta() {
    let teams: Vec<_> = (0..200).map(|id| (id, 1)).collect();
    let old = configuration(&[teams.clone(), vec![], vec![]], 1);
    let mut changed = teams;
    changed[100].1 = 2;
    changed.remove(7);
    let new = configuration(&[changed, vec![], vec![]], 1);
    let bytes = rmp_serde::to_vec_named(&FleetDelta::between(&old, &new)).unwrap();
    assert!(bytes.len() < 300, "delta has {} bytes", bytes.len());
}

#[test]
fn delta_of_a_different_base_is_rejected() {
    let old = configuration(&[vec![(1, 1)], vec![], vec![]], 1);
    let new = configuration(&[vec![], vec![], vec![]], 1);
    let delta = FleetDelta::between(&old, &new);
    assert!(delta.apply_to(&new).is_err());
}
