//! An odd entry of the platform's list, from another writer, while a replica is drained.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Finding,
    fleet::{Arrival, Fleet, Platform, Replica, config, publish_first},
    http::{self, Connection},
    record::Record,
};

/// Routes of the configuration.
const ROUTES: [(&str, &str, &str); 2] = [
    ("look", "/look/", "safe"),
    ("reserve", "/reserve/", "unsafe"),
];
/// `DrainMs` of the settings.
const DRAIN: Duration = Duration::from_millis(3_000);
/// Time for which the drained replica stays beyond that.
const LINGER: Duration = Duration::from_millis(8_000);
/// Slack of the check beyond the bound of the rule.
const SLACK: Duration = Duration::from_millis(250);

/// What is odd about the entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Oddity {
    /// Bytes that cannot be read.
    Bytes,
    /// Fields are missing.
    Fields,
}

pub fn run(record: &Record, has_trouble: bool, oddity: Oddity) -> io::Result<Finding> {
    let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
    let replica =
        |number: u8| Replica::start(&format!("i-{number}"), "order-desk", record, &arrivals);
    let replicas = [replica(1)?, replica(2)?, replica(3)?, replica(4)?];
    let platform = Platform::default();
    let sound = |state_of_first: &str, last: usize| -> Vec<Vec<u8>> {
        let entries = replicas[..last].iter().enumerate();
        entries
            .map(|(at, replica)| replica.entry(if at == 0 { state_of_first } else { "ready" }))
            .collect()
    };
    platform.set(sound("ready", 3));
    let list = platform.start(record)?;
    let fleet = Fleet::start(2, list, record)?;
    if !publish_first(&fleet, &config(7, &ROUTES), Duration::from_secs(30)) {
        return Ok(Finding::NotRun(
            "the first configuration was not acknowledged".into(),
        ));
    }
    if !fleet.await_ready(Duration::from_secs(30)) {
        return Ok(Finding::NotRun(
            "the machines of the edge did not become ready".into(),
        ));
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<HashMap<String, Duration>>> = Arc::default();
    let callers: Vec<_> = (0..6)
        .map(|number| {
            let front = fleet.front[number % fleet.front.len()];
            let (record, is_over, sent) = (record.clone(), Arc::clone(&is_over), Arc::clone(&sent));
            thread::spawn(move || call_until(&is_over, number, front, &record, &sent))
        })
        .collect();
    // All machines have been in touch for longer than StableWindowMs.
    thread::sleep(Duration::from_secs(5));
    let odd = |mut entries: Vec<Vec<u8>>| {
        match oddity {
            _ if !has_trouble => {}
            Oddity::Bytes => entries.insert(1, unreadable_entry()),
            Oddity::Fields => entries.push(incomplete_entry(&replicas[0])),
        }
        entries
    };
    platform.set(odd(sound("ready", 3)));
    record.say(&format!(
        "the list has an odd entry of another writer: {has_trouble}"
    ));
    thread::sleep(Duration::from_secs(2));
    platform.set(odd(sound("draining", 4)));
    let shown_at = record.now();
    record.say("the list shows i-1 as draining, and i-4 as ready");
    thread::sleep(DRAIN + LINGER);
    is_over.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.join();
    }
    for name in ["core-1", "core-2", "core-3", "edge-1", "edge-2"] {
        fleet.copy_log(name, record, |line| {
            line.contains("platform's list") || line.contains("target list")
        });
    }
    let arrivals = arrivals.lock().unwrap().clone();
    let sent = sent.lock().unwrap().clone();
    let bound = shown_at + DRAIN + SLACK;
    let is_late = |arrival: &&Arrival| {
        let sent_at = sent.get(&arrival.request).copied().unwrap_or_default();
        arrival.replica == "i-1" && arrival.at > bound && sent_at > bound
    };
    let late = arrivals.iter().filter(is_late).count();
    let before = arrivals
        .iter()
        .filter(|arrival| arrival.at < shown_at)
        .count();
    let new = arrivals
        .iter()
        .filter(|arrival| arrival.replica == "i-4")
        .count();
    record.say(&format!(
        "{} requests ran, {before} of them before the drain; i-4 ran {new}; {late} were sent and reached i-1 \
         more than {:?} after the list showed it as draining",
        arrivals.len(),
        DRAIN + SLACK
    ));
    if before < 50 {
        return Ok(Finding::NotRun(
            "too few requests ran before the drain".into(),
        ));
    }
    Ok(if late > 0 {
        Finding::Broken
    } else {
        Finding::Held
    })
}

/// An entry whose version is not text in any encoding that JSON allows.
fn unreadable_entry() -> Vec<u8> {
    let mut entry =
        b"{\"Service\":\"order-desk\",\"Addr\":\"127.0.0.1:9\",\"Zone\":\"z\",\"Version\":\""
            .to_vec();
    entry.extend_from_slice(&[0xff, 0xfe, 0x9c]);
    entry.extend_from_slice(
        b"\",\"Slots\":6,\"State\":\"ready\",\"ColdLeftMs\":0,\"Models\":[],\"Id\":\"i-odd\"}",
    );
    entry
}

/// An entry without zone, version and what the replica holds, by a writer that knows it as ready.
fn incomplete_entry(replica: &Replica) -> Vec<u8> {
    let (service, address, id) = (&replica.service, replica.address, &replica.id);
    format!("{{\"Service\":\"{service}\",\"Addr\":\"{address}\",\"Slots\":6,\"State\":\"ready\",\"Id\":\"{id}\"}}").into_bytes()
}

/// Sends requests to a machine of the edge on a kept connection, one after the other.
fn call_until(
    is_over: &AtomicBool,
    caller: usize,
    front: SocketAddr,
    record: &Record,
    sent: &Mutex<HashMap<String, Duration>>,
) {
    let mut connection: Option<Connection> = None;
    let mut number = 0_u32;
    while !is_over.load(Ordering::Relaxed) {
        let started = Instant::now();
        number += 1;
        let id = format!("{caller:04x}{number:08x}");
        let (method, path) = if number % 2 == 0 {
            ("GET", "/look/a")
        } else {
            ("POST", "/reserve/a")
        };
        let fields = [
            ("X-Waxwinglatch-Request-Id", id.as_str()),
            ("X-Waxwinglatch-Deadline-Ms", "2500"),
            ("Authorization", "Token key-of-shops"),
        ];
        let bytes = http::request(
            method,
            path,
            "a.example",
            &fields,
            if method == "POST" { b"carton" } else { b"" },
        );
        sent.lock().unwrap().insert(id.clone(), record.now());
        let kept = connection
            .take()
            .map_or_else(|| Connection::connect(front, Duration::from_secs(3)), Ok);
        let answered = kept.and_then(|mut kept| {
            kept.send(&bytes)?;
            let answer = kept.read_message()?;
            Ok((kept, answer))
        });
        match answered {
            Ok((kept, answer)) => {
                record.line(&format!("answer: {id} {}", answer.start));
                connection = Some(kept);
            }
            Err(error) => record.line(&format!("answer: {id} none, {error}")),
        }
        thread::sleep(Duration::from_millis(60).saturating_sub(started.elapsed()));
    }
}
