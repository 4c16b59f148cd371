//! The leading machine of the core is lost and replaced, and once its successor has had its time another one loses
//! its disk.

use std::{
    io,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    Finding,
    fleet::{Arrival, Fleet, Platform, Replica, config, operator_attempt, publish_first},
    http,
    record::Record,
};

/// Time from the loss of a machine to the start of the one that replaces it.
const REPLACEMENT_TIME: Duration = Duration::from_secs(1);
/// `CatchUpS`, from the start of the new machine, and a margin.
const CATCH_UP: Duration = Duration::from_millis(4_000 + 100);
/// Time for which the machine that loses its disk is down.
const DOWN_TIME: Duration = Duration::from_secs(1);
/// Time for which the operator tries to read the configuration back; `RecoverS` is 12 s.
const READ_TIME: Duration = Duration::from_secs(40);

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
    let mut fleet = Fleet::start(2, list, record)?;
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
    // The core is stable for longer than StableWindowMs, and all machines have had CatchUpS.
    thread::sleep(Duration::from_secs(6));
    let document = config(9, &routes);
    let put = |path: &str, host: &str| {
        http::request(
            "PUT",
            path,
            host,
            &[("Content-Type", "application/json")],
            &document,
        )
    };
    let answer = operator_attempt(fleet.control[0], put);
    record.say(&format!("PUT of version 9: {}", answer.hops.join(", ")));
    if answer.status != Some(200) {
        return Ok(Finding::NotRun("the change was not acknowledged".into()));
    }
    let Some(leader) = find_leader(&fleet) else {
        return Ok(Finding::NotRun(
            "no daemon reads the configuration back".into(),
        ));
    };
    let others: Vec<usize> = (0..3).filter(|number| *number != leader).collect();
    let mut daemons = vec![0, 1, 2];
    let mut dark = Vec::new();
    if has_trouble {
        fleet.kill_coordinator(leader)?;
        dark = fleet.darken(leader)?;
        record.say(&format!(
            "{} is lost for good",
            fleet.coordinators[leader].name
        ));
        thread::sleep(REPLACEMENT_TIME);
        let new = fleet.add_coordinator(&[0, 1, 2])?;
        let started = Instant::now();
        record.say(&format!(
            "{} starts with an empty disk",
            fleet.coordinators[new].name
        ));
        thread::sleep(CATCH_UP.saturating_sub(started.elapsed()));
        let second = others[1];
        fleet.kill_coordinator(second)?;
        record.say(&format!(
            "{} loses its disk, {:.2} s after the start of {}",
            fleet.coordinators[second].name,
            started.elapsed().as_secs_f64(),
            fleet.coordinators[new].name
        ));
        thread::sleep(DOWN_TIME);
        daemons = vec![others[0], second, new];
        fleet.restart_without_disk(second, &daemons)?;
        record.say(&format!(
            "{} is back with an empty disk",
            fleet.coordinators[second].name
        ));
    }
    let read = read_back(&fleet, &daemons, record);
    record.say(&format!("the configuration is read back: {read:?}"));
    let served = call(&fleet, record);
    drop(dark);
    record.say(&format!("{served} of 10 requests are served then"));
    for name in ["core-1", "core-2", "core-3", "core-4"] {
        fleet.copy_log(name, record, |line| {
            line.contains("raft: ") && !line.contains("reachable")
        });
    }
    Ok(match read {
        Some(9) => Finding::Held,
        _ => Finding::Broken,
    })
}

/// Reads the configuration back at any daemon, for as long as none answers. Returns its version.
fn read_back(fleet: &Fleet, daemons: &[usize], record: &Record) -> Option<u64> {
    let get = |path: &str, host: &str| http::request("GET", path, host, &[], b"");
    let end = Instant::now() + READ_TIME;
    while Instant::now() < end {
        for daemon in daemons {
            let answer = operator_attempt(fleet.control[*daemon], get);
            record.line(&format!("GET: {}", answer.hops.join(", ")));
            if answer.status == Some(200) {
                let body = answer.answer.map(|answer| answer.body).unwrap_or_default();
                let text = String::from_utf8_lossy(&body).into_owned();
                let version = text.strip_prefix("{\"Version\":")?.split(',').next()?;
                return version.parse().ok();
            }
        }
        thread::sleep(Duration::from_millis(500));
    }
    None
}

/// Returns how many of ten requests are served.
fn call(fleet: &Fleet, record: &Record) -> usize {
    let statuses = (0..10).map(|number| {
        let id = format!("look{number:012x}");
        let fields = [
            ("X-Waxwinglatch-Request-Id", id.as_str()),
            ("X-Waxwinglatch-Deadline-Ms", "2500"),
            ("Authorization", "Token key-of-shops"),
        ];
        let request = http::request("GET", "/look/a", "a.example", &fields, b"");
        let answer = http::call(fleet.front[number % 2], &request, Duration::from_secs(3));
        let status = answer.as_ref().map_or(0, http::Message::status);
        record.line(&format!("GET /look/a: {status}"));
        status
    });
    statuses.filter(|status| *status == 200).count()
}

/// Returns the coordinator that answers a read itself.
fn find_leader(fleet: &Fleet) -> Option<usize> {
    let get = http::request("GET", "/-/config", "control", &[], b"");
    fleet.control[..3].iter().position(|address| {
        let answer = http::call(*address, &get, Duration::from_secs(1));
        answer.is_ok_and(|answer| answer.status() == 200)
    })
}
