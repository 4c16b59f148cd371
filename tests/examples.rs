//! Guards against Python examples and a Python library that no longer match the schema.

use std::{
    io::Write,
    process::{Command, Output, Stdio},
};

use rstest::rstest;
use waxwinglatch::{border::TargetKind, fleet::parse_config};

fn python(arguments: &[&str], input: &str) -> Output {
    let mut child = Command::new("python3")
        .args(arguments)
        .env("PYTHONDONTWRITEBYTECODE", "1")
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("python3 is present");
    let mut stdin = child.stdin.take().expect("the input is piped");
    stdin
        .write_all(input.as_bytes())
        .expect("the script reads its input");
    drop(stdin);
    child.wait_with_output().expect("the script ends")
}

#[rstest]
#[case::atlas("examples/atlas.py", [3, 12, 3, 20, 60, 5])]
#[case::brattvold("examples/brattvold.py", [4, 9, 4, 13, 55, 5])]
fn an_example_has_the_size_of_its_deployment(#[case] path: &str, #[case] expected: [usize; 6]) {
    let output = python(&[path], "");
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{errors}");
    let config = parse_config(&output.stdout).expect("the validator accepts the example");
    let count = |kind| {
        config
            .targets
            .iter()
            .filter(|target| target.kind == kind)
            .count()
    };
    let mut centres: Vec<_> = config
        .targets
        .iter()
        .map(|target| &target.data_centre)
        .collect();
    centres.sort_unstable();
    centres.dedup();
    let sizes = [
        centres.len(),
        count(TargetKind::Engine),
        count(TargetKind::Service),
        config.models.len(),
        config.adapters.len(),
        config.teams.len(),
    ];
    assert_eq!(sizes, expected);
}

const FAULTY: &str = r#"
import sys
sys.path.insert(0, "operator")
from waxwing_config import Fleet
fleet = Fleet(loads_per_second=0, concurrent_loads=1)
fleet.team("a b", rate=1, burst=10)
fleet.team("c", rate=1, burst=1000)
fleet.key("k", team="x", hash="00")
fleet.route("r", "/s", kind="service", service="none")
fleet.route("q", "/s/", kind="model", access="shut")
fleet.model("m", version="1", memory_mib=200)
fleet.adapter("m", model="n", version="1", memory_mib=True)
fleet.engine("e", vm="v", data_centre="d", address="host:1", accelerators=1, accelerator_memory_mib=100)
if sys.argv[1:] == ["raw"]:
    import json
    print(json.dumps(fleet._config))
else:
    sys.argv[1:] = []
    fleet.main()
"#;

/// Every path that the library names is also named by the validator, so that it refuses nothing
/// that the fleet would accept.
#[test]
fn the_library_lists_all_errors_and_agrees_with_the_validator() {
    let output = python(&["-"], FAULTY);
    assert_eq!(output.status.code(), Some(3));
    assert!(
        output.stdout.is_empty(),
        "a faulty configuration is not printed"
    );
    let errors = String::from_utf8_lossy(&output.stderr).into_owned();
    let paths: Vec<&str> = errors
        .lines()
        .skip(1)
        .filter_map(|line| line.split_once(": "))
        .map(|(path, _)| path)
        .collect();
    let expected = [
        "teams[0].id",
        "weight_store.loads_per_second",
        "teams[0].burst_tokens",
        "keys[0].team",
        "keys[0].hash",
        "routes[0].service",
        "routes[1].access",
        "routes[1].path_prefix",
        "models[0].memory_mib",
        "adapters[0].memory_mib",
        "adapters[0].model",
        "adapters[0].id",
        "targets[0].address",
    ];
    for path in expected {
        assert!(paths.contains(&path), "{path} is missing in {errors}");
    }
    let raw = python(&["-", "raw"], FAULTY).stdout;
    let mut document: serde_json::Value =
        serde_json::from_slice(&raw).expect("the raw form is JSON");
    let mut found = parse_config(&raw).unwrap_err();
    // Wrong types hide the other rules, and errors of ids hide those of room.
    document["routes"][1]
        .as_object_mut()
        .unwrap()
        .remove("access");
    document["adapters"][0]["memory_mib"] = serde_json::json!(1);
    found.extend(parse_config(document.to_string().as_bytes()).unwrap_err());
    let fixed = document
        .to_string()
        .replace("a b", "a")
        .replace("host:1", "127.0.0.1:1");
    found.extend(parse_config(fixed.as_bytes()).unwrap_err());
    for path in expected
        .iter()
        .filter(|path| **path != "models[0].memory_mib")
    {
        assert!(
            found.iter().any(|issue| issue.path == *path),
            "the validator accepts {path}"
        );
    }
}

#[test]
fn keys_of_the_configuration_in_force_can_be_kept() {
    let folder = tempfile::tempdir().expect("a temporary folder can be made");
    let path = folder.path().join("current.json");
    let key = serde_json::json!({ "id": "k", "team": "shop", "hash": "0".repeat(64) });
    std::fs::write(&path, serde_json::json!({ "keys": [key] }).to_string())
        .expect("it is writable");
    let output = python(
        &["examples/brattvold.py", "--keys", path.to_str().unwrap()],
        "",
    );
    let config = parse_config(&output.stdout).expect("the validator accepts the example");
    assert_eq!(config.keys.len(), 1);
}
