//! A change that is sent while the leading coordinator stops as planned: it is refused, and in force.

use std::{
    io,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use crate::{
    Finding,
    fleet::{Arrival, Fleet, Platform, Replica, SIGTERM, config, operator_attempt, publish_first},
    http,
    record::Record,
};

/// Attempt at which a 4xx that is not final by itself ends a call of the operator.
const LAST_ATTEMPT: usize = 3;
/// Maximum number of attempts of one call.
const MAX_ATTEMPTS: usize = 12;

/// End of an operator's call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallEnd {
    Acknowledged,
    Refused,
    Unclear,
}

pub fn run(record: &Record, has_trouble: bool) -> io::Result<Finding> {
    let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
    let replicas = [
        Replica::start("i-1", "order-desk", record, &arrivals)?,
        Replica::start("i-2", "order-desk", record, &arrivals)?,
    ];
    let platform = Platform::default();
    platform.set(
        replicas
            .iter()
            .map(|replica| replica.entry("ready"))
            .collect(),
    );
    let list = platform.start(record)?;
    let fleet = Fleet::start(2, list, record)?;
    let routes = [
        ("look", "/look/", "safe"),
        ("reserve", "/reserve/", "unsafe"),
    ];
    if !publish_first(&fleet, &config(7, &routes), Duration::from_secs(30)) {
        return Ok(Finding::NotRun(
            "the first configuration was not acknowledged".into(),
        ));
    }
    if !fleet.await_ready(Duration::from_secs(30)) {
        return Ok(Finding::NotRun(
            "the machines of the edge did not become ready".into(),
        ));
    }
    // The core is stable for longer than StableWindowMs.
    thread::sleep(Duration::from_secs(5));
    let Some(leader) = find_leader(&fleet) else {
        return Ok(Finding::NotRun(
            "no daemon reads the configuration back".into(),
        ));
    };
    if has_trouble {
        record.say(&format!("SIGTERM to {}", fleet.coordinators[leader].name));
        fleet.coordinators[leader].signal(SIGTERM);
    }
    thread::sleep(Duration::from_millis(50));
    let changed = [routes[0], routes[1], ("late", "/late/", "safe")];
    let end = publish(&fleet, leader, &config(9, &changed), record);
    record.say(&format!("the call of the operator ended: {end:?}"));
    // The core is stable again, and ConfigApplyMs has passed.
    thread::sleep(Duration::from_secs(7));
    let is_read_back = read_back(&fleet, leader, record);
    let is_obeyed = call_late_route(&fleet, record);
    for name in ["core-1", "core-2", "core-3"] {
        fleet.copy_log(name, record, |line| {
            let wanted = ["operator:", "shutting down", "\"plan: ", "raft: Leader"];
            wanted.iter().any(|part| line.contains(part))
        });
    }
    Ok(match end {
        CallEnd::Refused if is_read_back || is_obeyed => Finding::Broken,
        CallEnd::Acknowledged if !is_read_back => {
            Finding::NotRun("an acknowledged change is not read back".into())
        }
        _ => Finding::Held,
    })
}

/// Sends a change as the operator does: to one daemon after the other, with increasing backoff.
fn publish(fleet: &Fleet, leader: usize, document: &[u8], record: &Record) -> CallEnd {
    let put = |path: &str, host: &str| {
        http::request(
            "PUT",
            path,
            host,
            &[("Content-Type", "application/json")],
            document,
        )
    };
    let daemons = [(leader + 1) % 3, (leader + 2) % 3, leader];
    let mut pause = Duration::from_millis(100);
    for (attempt, daemon) in daemons.into_iter().cycle().take(MAX_ATTEMPTS).enumerate() {
        let answer = operator_attempt(fleet.control[daemon], put);
        record.say(&format!("PUT of version 9: {}", answer.hops.join(", ")));
        match answer.status {
            Some(200) => return CallEnd::Acknowledged,
            Some(400 | 409 | 412 | 413 | 422) => return CallEnd::Refused,
            Some(408 | 429) => {}
            Some(401..=499) if attempt + 1 >= LAST_ATTEMPT => return CallEnd::Refused,
            _ => {}
        }
        thread::sleep(pause);
        pause = (pause * 2).min(Duration::from_secs(1));
    }
    CallEnd::Unclear
}

/// Returns whether a daemon reads version 9 back.
fn read_back(fleet: &Fleet, leader: usize, record: &Record) -> bool {
    let get = |path: &str, host: &str| http::request("GET", path, host, &[], b"");
    let mut is_read_back = false;
    for daemon in [(leader + 1) % 3, (leader + 2) % 3] {
        let answer = operator_attempt(fleet.control[daemon], get);
        let body = answer.answer.map(|answer| answer.body).unwrap_or_default();
        let text = String::from_utf8_lossy(&body);
        record.say(&format!(
            "GET: {}, {}",
            answer.hops.join(", "),
            text.get(..12).unwrap_or_default()
        ));
        is_read_back |= answer.status == Some(200) && text.starts_with("{\"Version\":9,");
    }
    is_read_back
}

/// Returns whether a machine of the edge runs a request on the route that only version 9 has.
fn call_late_route(fleet: &Fleet, record: &Record) -> bool {
    let mut is_obeyed = false;
    for (number, front) in fleet.front.iter().enumerate() {
        let id = format!("late{number:012x}");
        let fields = [
            ("X-Waxwinglatch-Request-Id", id.as_str()),
            ("X-Waxwinglatch-Deadline-Ms", "2500"),
            ("Authorization", "Token key-of-shops"),
        ];
        let request = http::request("GET", "/late/a", "a.example", &fields, b"");
        let answer = http::call(*front, &request, Duration::from_secs(3));
        let status = answer.as_ref().map_or(0, http::Message::status);
        record.say(&format!("GET /late/a at edge-{}: {status}", number + 1));
        is_obeyed |= status == 200;
    }
    is_obeyed
}

/// Returns the coordinator that answers a read itself.
fn find_leader(fleet: &Fleet) -> Option<usize> {
    let get = http::request("GET", "/-/config", "control", &[], b"");
    fleet.control[..3].iter().position(|address| {
        let answer = http::call(*address, &get, Duration::from_secs(1));
        answer.is_ok_and(|answer| answer.status() == 200)
    })
}
