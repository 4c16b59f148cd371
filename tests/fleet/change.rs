//! Guards against changes that are missing from the difference shown to operators.

use serde_json::json;
use waxwinglatch::{
    border::FleetConfig,
    fleet::{ChangeKind, changes_between},
};

fn fleet(teams: &[(&str, u64)], loads: f64) -> FleetConfig {
    let team = |(id, burst): &(&str, u64)| json!({ "id": id, "rate_tokens_per_second": 1, "burst_tokens": burst });
    let teams: Vec<_> = teams.iter().map(team).collect();
    serde_json::from_value(json!({
        "teams": teams, "routes": [], "models": [], "targets": [],
        "weight_store": { "loads_per_second": loads, "concurrent_loads": 1 },
    }))
    .expect("the configuration parses")
}

#[test]
fn every_change_is_listed() {
    let old = fleet(&[("a", 1), ("b", 1), ("c", 1)], 1.0);
    let new = fleet(&[("c", 1), ("a", 2), ("d", 1)], 2.0);
    let shown: Vec<String> = changes_between(Some(&old), &new)
        .iter()
        .map(ToString::to_string)
        .collect();
    assert_eq!(
        shown,
        [
            "- teams b",
            "~ teams a\n    burst_tokens: 1 -> 2",
            "+ teams d",
            "~ teams in another order",
            "~ weight_store \n    loads_per_second: 1.0 -> 2.0",
        ]
    );
    assert!(changes_between(Some(&old), &old).is_empty());
    let initial = changes_between(None, &old);
    assert!(
        initial[..3]
            .iter()
            .all(|change| change.kind == ChangeKind::Added)
    );
}
