//! A configuration that no longer lists a model which the replicas still hold.

use std::{io, thread, time::Duration};

use crate::{
    Finding,
    engine::{Engine, EngineSetup, Weights},
    fleet::{Fleet, Platform, operator_attempt, publish_first},
    http,
    record::Record,
};

const SERVICE: &str = "darija-drafter";
const MODELS: [(&str, f64); 3] = [("m-a", 72_700.0), ("m-b", 72_700.0), ("m-c", 72_700.0)];
/// `WeightsMb` of a replica.
const CAPACITY_MB: f64 = 200_000.0;
const LOAD_TIME: Duration = Duration::from_secs(2);

pub fn run(record: &Record, has_trouble: bool) -> io::Result<Finding> {
    let weights: Weights = MODELS.into_iter().collect();
    let engine = |id, models: &[&'static str]| {
        let setup = EngineSetup {
            id,
            service: SERVICE,
            weights: weights.clone(),
            capacity_mb: CAPACITY_MB,
            load_time: LOAD_TIME,
        };
        Engine::start(setup, models, record)
    };
    let engines = [
        engine("i-1", &["m-a", "m-b"])?,
        engine("i-2", &["m-a", "m-b"])?,
    ];
    let platform = Platform::default();
    platform.set(engines.iter().map(Engine::entry).collect());
    let list = platform.start(record)?;
    let fleet = Fleet::start(2, list, record)?;
    if !publish_first(&fleet, &document(7, &MODELS), Duration::from_secs(30)) {
        return Ok(Finding::NotRun(
            "the first configuration was not acknowledged".into(),
        ));
    }
    if !fleet.await_ready(Duration::from_secs(30)) {
        return Ok(Finding::NotRun(
            "the machines of the edge did not become ready".into(),
        ));
    }
    let mut calls = 0;
    let before = call(&fleet, record, "m-b", 20, &mut calls);
    if before < 15 {
        return Ok(Finding::NotRun(format!(
            "only {before} of 20 requests were served at first"
        )));
    }
    thread::sleep(Duration::from_secs(4));
    // Without the disruption, the change leaves the models as they are.
    let models = if has_trouble {
        &MODELS[1..]
    } else {
        &MODELS[..]
    };
    let changed = document(9, models);
    let put = |path: &str, host: &str| {
        http::request(
            "PUT",
            path,
            host,
            &[("Content-Type", "application/json")],
            &changed,
        )
    };
    let answer = operator_attempt(fleet.control[0], put);
    record.say(&format!(
        "PUT of version 9 with {} models: {}",
        models.len(),
        answer.hops.join(", ")
    ));
    if answer.status != Some(200) {
        return Ok(Finding::NotRun("the change was not acknowledged".into()));
    }
    let after = call(&fleet, record, "m-c", 60, &mut calls);
    let still = call(&fleet, record, "m-b", 20, &mut calls);
    thread::sleep(Duration::from_secs(2));
    record.say(&format!(
        "served: {after} of 60 requests for m-c, {still} of 20 for m-b"
    ));
    let overloads: Vec<String> = engines.iter().flat_map(Engine::overloads).collect();
    for engine in &engines {
        record.say(&format!("{} holds {:?}", engine.setup.id, engine.models()));
    }
    Ok(if overloads.is_empty() {
        Finding::Held
    } else {
        Finding::Broken
    })
}

/// Sends requests for a model to the machines of the edge in turn, and returns how many were served.
fn call(fleet: &Fleet, record: &Record, model: &str, count: usize, calls: &mut usize) -> usize {
    let mut served = 0;
    for _ in 0..count {
        *calls += 1;
        let id = format!("{:016x}", *calls);
        let fields = [
            ("X-Waxwinglatch-Request-Id", id.as_str()),
            ("X-Waxwinglatch-Deadline-Ms", "8000"),
            ("X-Waxwinglatch-Model", model),
            ("X-Waxwinglatch-Token-Usage", "646,69"),
            ("X-Waxwinglatch-Prompt-Prefix", "5c1e07a2:155,91bd3f06:491"),
            ("Authorization", "Token key-of-shops"),
        ];
        let request = http::request("POST", "/draft/a", "a.example", &fields, b"prompt");
        let front = fleet.front[*calls % fleet.front.len()];
        let answer = http::call(front, &request, Duration::from_secs(9));
        let status = answer.as_ref().map_or(0, http::Message::status);
        record.line(&format!("answer: {id} for {model}: {status}"));
        served += usize::from(status == 200);
        thread::sleep(Duration::from_millis(100));
    }
    served
}

fn document(version: u64, models: &[(&str, f64)]) -> Vec<u8> {
    let models = models.iter().map(|(name, weights)| {
        format!(
            "{{\"Name\":\"{name}\",\"WeightsMb\":{weights:.1},\"LoadS\":{:.1},\"Adapters\":0,\"AdapterMb\":66.0,\
             \"WarmS\":0.6,\"DiskS\":1.7}}",
            LOAD_TIME.as_secs_f64()
        )
    });
    format!(
        "{{\"Version\":{version},\"Routes\":[{{\"Name\":\"draft\",\"Host\":\"a.example\",\
         \"PathPrefix\":\"/draft/\",\"Kind\":\"stream\",\"TimeoutMs\":8000,\"TargetLatencyMs\":600,\
         \"Priority\":0,\"Service\":\"{SERVICE}\",\"Attempts\":1,\"Public\":false,\"Sticky\":true,\
         \"Resumable\":false,\"GapTargetMs\":250}}],\"Services\":[{{\"Name\":\"{SERVICE}\",\
         \"HealthPath\":\"/health\",\"MaxConns\":370,\"Protocol\":\"h1\",\"Tls\":false,\"Engine\":{{\
         \"Slots\":8,\"KvCapacity\":100000,\"WeightsMb\":{CAPACITY_MB:.1},\"AdapterSlots\":8,\
         \"LoadsPerS\":1.5,\"HostMb\":140000.0,\"DiskMb\":400000.0,\"Models\":[{}]}}}}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\
         \"IdleTimeoutMs\":15000}},\"Tenants\":[{{\"Name\":\"shops\",\"ApiKeys\":[\"key-of-shops\"],\
         \"Priority\":1,\"Unit\":\"tokens\",\"PlainTokens\":200,\"RatePerS\":500000,\"Burst\":500000}}]}}",
        models.collect::<Vec<_>>().join(",")
    )
    .into_bytes()
}
