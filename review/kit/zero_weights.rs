//! A configuration that is invalid, as the weights of a route add up to 0, is sent.

use std::{
    io,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use crate::{
    Finding,
    fleet::{Arrival, Fleet, Platform, Replica, config, operator_attempt, publish_first},
    http,
    record::Record,
};

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
    thread::sleep(Duration::from_secs(4));
    let mut document = String::from_utf8_lossy(&config(9, &routes)).into_owned();
    if has_trouble {
        let split =
            "\"Service\":\"order-desk\",\"Split\":[{\"Service\":\"order-desk\",\"Weight\":0}]";
        document = document.replacen("\"Service\":\"order-desk\"", split, 1);
    }
    record.line(&format!("document: {document}"));
    let put = |path: &str, host: &str| {
        let fields = [("Content-Type", "application/json")];
        http::request("PUT", path, host, &fields, document.as_bytes())
    };
    let mut status = None;
    for daemon in &fleet.control[..3] {
        let answer = operator_attempt(*daemon, put);
        record.say(&format!("PUT of version 9: {}", answer.hops.join(", ")));
        status = answer.status;
        if status.is_some_and(|status| status < 500) {
            break;
        }
    }
    thread::sleep(Duration::from_secs(3));
    let get = |path: &str, host: &str| http::request("GET", path, host, &[], b"");
    let answer = operator_attempt(fleet.control[0], get);
    let body = answer.answer.map(|answer| answer.body).unwrap_or_default();
    let is_read_back = body.starts_with(b"{\"Version\":9,");
    record.say(&format!(
        "GET: {}, version 9 is in force: {is_read_back}",
        answer.hops.join(", ")
    ));
    let mut served = 0;
    for number in 0..10 {
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
        served += usize::from(status == 200);
    }
    record.say(&format!("{served} of 10 requests on the route are served"));
    Ok(match status {
        Some(200) if has_trouble => Finding::Broken,
        Some(200) if served < 10 => Finding::NotRun("a sound configuration is not served".into()),
        Some(200 | 400..=499) => Finding::Held,
        _ => Finding::NotRun("the operator got no clear answer".into()),
    })
}
