//! Guards against accepting configurations that cannot be served.

use rstest::rstest;
use serde_json::{Value, json};
use waxwinglatch::fleet::{MAX_CONFIG_BYTES, check_document, parse_config};

fn base_document() -> Value {
    let engine = |number: u16| {
        json!({
            "id": format!("engine-{number}"), "vm": format!("vm-{number}"), "data_centre": "dc-1",
            "kind": "engine", "address": format!("127.0.0.1:{}", 9000 + number),
            "accelerators": 2, "accelerator_memory_mib": 100,
        })
    };
    json!({
        "teams": [
            { "id": "a", "rate_tokens_per_second": 100, "burst_tokens": 1000 },
            { "id": "b", "rate_tokens_per_second": 100, "burst_tokens": 1000 },
        ],
        "keys": [
            { "id": "a-1", "team": "a", "hash": "0".repeat(64) },
            { "id": "b-1", "team": "b", "hash": "1".repeat(64) },
        ],
        "routes": [
            { "id": "models", "path_prefix": "/v1", "kind": "model" },
            { "id": "stock", "path_prefix": "/stock", "kind": "service", "service": "stock" },
        ],
        "models": [
            { "id": "m", "version": "1", "memory_mib": 50, "residency": "pinned" },
            { "id": "n", "version": "1", "memory_mib": 40, "span": 2 },
        ],
        "adapters": [{ "id": "m-x", "model": "m", "version": "1", "memory_mib": 5 }],
        "targets": [
            engine(1), engine(2),
            { "id": "stock-1", "vm": "vm-3", "data_centre": "dc-1", "kind": "service",
              "service": "stock", "address": "127.0.0.1:9100" },
        ],
        "weight_store": { "loads_per_second": 1.5, "concurrent_loads": 10 },
    })
}

fn validation_issues(document: &Value) -> Vec<String> {
    match check_document(document) {
        Ok(_) => Vec::new(),
        Err(issues) => issues.iter().map(ToString::to_string).collect(),
    }
}

#[test]
fn base_configuration_is_accepted() {
    assert_eq!(validation_issues(&base_document()), Vec::<String>::new());
}

#[rstest]
#[case("/teams/1/id", json!("a"), "teams[1].id: 'a' is already the id of teams[0]")]
#[case("/models/1/id", json!("m-x"), "adapters[0].id: 'm-x' is also the id of a model")]
#[case("/routes/0/id", json!("x".repeat(65)), "routes[0].id: must have at most 64 characters")]
#[case("/routes/0/id", json!(""), "routes[0].id: must not be empty")]
#[case("/targets/2/vm", json!("a b"), "targets[2].vm: has the character ' '")]
#[case("/teams/0/burst_tokens", json!(255), "teams[0].burst_tokens: must be at least 256, which one request for model")]
#[case("/teams/0/burst_tokens", json!(-1), "teams[0].burst_tokens: must be a whole number from 0, not another number")]
#[case("/teams/0/weight", json!(0), "teams[0].weight: must be from 1 to 1000")]
#[case("/teams/0/weight", json!(4_294_967_296_u64), "teams[0].weight: must be at most 4294967295")]
#[case("/teams/0/wieght", json!(1), "teams[0].wieght: is not a known field")]
#[case("/keys/0/team", json!("c"), "keys[0].team: there is no team 'c'")]
#[case("/keys/0/hash", json!("0".repeat(63)), "keys[0].hash: must be 64 hexadecimal digits")]
#[case("/keys/0/hash", json!("1".repeat(64)), "keys[1].hash: is already the hash of keys[0]")]
#[case("/keys/0/priority", json!(10), "keys[0].priority: must be from 0 to 9")]
#[case("/routes/1/path_prefix", json!("/v1/"), "routes[1].path_prefix: is also the prefix of routes[0]")]
#[case("/routes/1/path_prefix", json!("stock"), "routes[1].path_prefix: must start with '/'")]
#[case("/routes/1/path_prefix", json!("/a//b"), "routes[1].path_prefix: must not have an empty, '.' or '..' segment")]
#[case("/routes/1/path_prefix", json!("/a/../b"), "routes[1].path_prefix: must not have an empty, '.' or '..' segment")]
#[case("/routes/1/path_prefix", json!("/a?b"), "routes[1].path_prefix: must have only letters")]
#[case("/routes/1/path_prefix", json!("/metrics/x"), "routes[1].path_prefix: '/metrics' is answered by the entry daemon")]
#[case("/routes/1/service", json!("shop"), "routes[1].service: no target belongs to service 'shop'")]
#[case(
    "/routes/1/service",
    Value::Null,
    "routes[1].service: must be a string, not null"
)]
#[case("/routes/0/service", json!("stock"), "routes[0].service: must be absent for kind 'model'")]
#[case("/routes/0/kind", json!("shop"), "routes[0].kind: must be one of model, service")]
#[case("/routes/1/request_tokens", json!(1001), "teams[0].burst_tokens: must be at least 1001, which one request to route 'stock' takes")]
#[case("/routes/1/timeout_ms", json!(0), "routes[1].timeout_ms: must be from 1 to 3600000")]
#[case("/routes/1/key_header", json!("Host"), "routes[1].key_header: 'Host' cannot carry a key")]
#[case("/routes/1/key_cookie", json!("a=b"), "routes[1].key_cookie: must have 1 to 64")]
#[case("/models/0/memory_mib", json!(101), "models[0].memory_mib: no engine in service has 1 accelerators in a row with 101 MiB")]
#[case("/models/1/span", json!(3), "models[1].memory_mib: no engine in service has 3 accelerators in a row")]
#[case("/models/0/min_copies", json!(3), "models[0].min_copies: only 2 engines in service can hold a copy")]
#[case("/adapters/0/memory_mib", json!(51), "adapters[0].memory_mib: no engine in service has room for it beside 'm'")]
#[case("/adapters/0/model", json!("x"), "adapters[0].model: there is no model 'x'")]
#[case("/targets/0/address", json!("localhost:9001"), "targets[0].address: must be an IP address and port")]
#[case("/targets/0/address", json!("127.0.0.1:0"), "targets[0].address: must have a port other than 0")]
#[case("/targets/0/address", json!("0.0.0.0:9001"), "targets[0].address: must be the address of one machine")]
#[case("/targets/0/address", json!("127.0.0.1:9002"), "targets[1].address: is also the address of targets[0]")]
#[case("/targets/0/accelerators", json!(0), "targets[0].accelerators: must be from 1 to 1024")]
#[case("/targets/2/service", json!(7), "targets[2].service: must be a string, not another number")]
#[case("/targets/2/accelerators", json!(1), "targets[2].accelerators: must be 0 or absent")]
#[case("/weight_store/loads_per_second", json!(0.0), "weight_store.loads_per_second: must be greater than 0")]
#[case("/weight_store/concurrent_loads", json!(0), "weight_store.concurrent_loads: must be from 1 to 100000")]
#[case("/weight_store", json!([]), "weight_store: must be an object, not an array")]
fn invalid_value_is_reported_with_its_path(
    #[case] pointer: &str,
    #[case] value: Value,
    #[case] expected: &str,
) {
    let mut document = base_document();
    let (parent, field) = pointer.rsplit_once('/').unwrap();
    document.pointer_mut(parent).unwrap()[field] = value;
    let found = validation_issues(&document);
    assert!(
        found.iter().any(|issue| issue.starts_with(expected)),
        "{found:#?}"
    );
}

#[test]
fn all_errors_are_reported() {
    let mut document = base_document();
    document["teams"][0]
        .as_object_mut()
        .unwrap()
        .remove("burst_tokens");
    document["teams"][1]["burst"] = json!(1);
    document["targets"][0]["slots"] = json!("many");
    document["extra"] = json!(1);
    let expected = [
        "extra: is not a known field",
        "targets[0].slots: must be a whole number from 0, not a string",
        "teams[0].burst_tokens: is missing",
        "teams[1].burst: is not a known field",
    ];
    let mut found = validation_issues(&document);
    found.sort();
    assert_eq!(found, expected);
    let mut document = base_document();
    document["keys"][0]["team"] = json!("c");
    document["routes"][1]["service"] = json!("shop");
    document["targets"][1]["address"] = json!("nowhere");
    assert_eq!(validation_issues(&document).len(), 3);
}

/// The base configuration has two engines, each with two accelerators of 100 MiB.
#[rstest]
#[case::all_fit(&[(100, 1, 2), (100, 1, 2)], 0, Ok(()))]
#[case::one_too_many(&[(100, 1, 2), (100, 1, 2), (1, 1, 1)], 0, Err(()))]
#[case::span_is_fragmented(&[(60, 1, 2), (60, 1, 2), (50, 2, 1)], 0, Err(()))]
#[case::packs_only_in_order(&[(60, 2, 1), (40, 1, 1), (40, 1, 1), (100, 1, 1), (100, 1, 1)], 0, Ok(()))]
#[case::no_room_for_on_demand(&[(80, 2, 2)], 30, Err(()))]
#[case::room_for_on_demand(&[(80, 2, 2)], 20, Ok(()))]
fn pinned_models_must_fit_together(
    #[case] pinned: &[(u64, u32, u32)],
    #[case] on_demand_mib: u64,
    #[case] expected: Result<(), ()>,
) {
    let mut document = base_document();
    let mut models: Vec<Value> = pinned
        .iter()
        .enumerate()
        .map(|(index, (memory, span, copies))| {
            json!({
                "id": format!("p{index}"), "version": "1", "memory_mib": memory, "span": span,
                "min_copies": copies, "residency": "pinned",
            })
        })
        .collect();
    if on_demand_mib > 0 {
        models.push(json!({ "id": "d", "version": "1", "memory_mib": on_demand_mib }));
    }
    document["models"] = json!(models);
    document["adapters"] = json!([]);
    let found = validation_issues(&document);
    let fits = if found.is_empty() { Ok(()) } else { Err(()) };
    assert_eq!(fits, expected, "{found:#?}");
}

#[test]
fn draining_target_provides_no_capacity() {
    let mut document = base_document();
    document["targets"][0]["draining"] = json!(true);
    assert_eq!(validation_issues(&document), Vec::<String>::new());
    document["targets"][1]["draining"] = json!(true);
    assert_eq!(validation_issues(&document).len(), 2);
}

#[test]
fn oversized_and_malformed_documents_are_rejected() {
    let mut document = base_document();
    document["keys"][0]["id"] = json!("k".repeat(MAX_CONFIG_BYTES));
    let found = validation_issues(&document);
    assert!(found[0].ends_with("of which 4194304 are allowed") && found.len() == 1);
    let found = parse_config(b"{ \"teams\": [").unwrap_err();
    assert!(found[0].to_string().starts_with(".: is not JSON"));
    assert_eq!(
        validation_issues(&json!([])),
        [".: must be an object, not an array"]
    );
}

#[test]
fn design_scale_configuration_is_validated_within_5_seconds() {
    let started = std::time::Instant::now();
    let mut document = base_document();
    let models: Vec<_> = (0..1600)
        .map(|id| json!({ "id": format!("m{id}"), "version": "1", "memory_mib": 10_000 + id * 30 }))
        .collect();
    let targets: Vec<_> = (0..860)
        .map(|id| json!({
            "id": format!("e{id}"), "vm": format!("v{id}"), "data_centre": "dc-1", "kind": "engine",
            "address": format!("10.0.{}.{}:9000", id / 250, id % 250 + 1), "accelerators": 8,
            "accelerator_memory_mib": 81_920,
        }))
        .collect();
    document["models"] = json!(models);
    document["adapters"] = json!([]);
    document["routes"].as_array_mut().unwrap().pop();
    document["targets"] = json!(targets);
    assert_eq!(validation_issues(&document), Vec::<String>::new());
    let elapsed = started.elapsed();
    assert!(elapsed.as_secs() < 5, "validation took {elapsed:?}");
}
