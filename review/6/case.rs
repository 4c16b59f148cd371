//! A machine of the core is removed after its successor has joined, and another one loses its disk; see claim.txt.

#[path = "../kit-2/kit.rs"]
mod kit;

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use kit::{
    Fleet, Handler, LogTarget, Message, Recorder, StandIn, Verdict, client_request, configuration,
    exchange, has_trouble, list_entry, run_case, signed_answer,
};

/// `CatchUpS` of the settings, and the time for which the successor has run when the machine is removed.
const CATCH_UP: Duration = Duration::from_millis(4_000);
const SUCCESSOR_AGE: Duration = Duration::from_millis(7_000);
/// Time from the removal to the loss of a disk.
const LOSS_DELAY: Duration = Duration::from_millis(1_500);
/// Time until the machine that lost its disk is back.
const DOWN_TIME: Duration = Duration::from_millis(1_000);
/// `RecoverS` of the settings, and the time for which the case reads the configuration after it.
const RECOVER_TIME: Duration = Duration::from_secs(12);
const READ_TIME: Duration = Duration::from_secs(20);

fn run(recorder: &Recorder) -> io::Result<Verdict> {
    let entries: Arc<Mutex<Vec<String>>> = Arc::default();
    let listed = Arc::clone(&entries);
    let mut fleet = Fleet::prepare(3, 2, move || {
        let entries = listed.lock().unwrap().join(",");
        format!("{{\"Instances\":[{entries}],\"Next\":null}}").into_bytes()
    })?;
    let served = recorder.clone();
    let handler: Handler = Arc::new(move |request: &Message| {
        let id = request.header("x-waxwinglatch-request-id");
        served.line(format!("server i-0 runs {id}"));
        Some(signed_answer(request, "done"))
    });
    let server = StandIn::start(&fleet.server_ip(0), 0, handler)?;
    entries
        .lock()
        .unwrap()
        .push(list_entry("i-0", server.address, "ready", ""));
    fleet.start(&LogTarget::File)?;
    let limit = Duration::from_secs(20);
    if !fleet.publish(&configuration(7, 2_000), limit) || !fleet.wait_until_ready(limit) {
        recorder.line("the fleet does not serve".to_owned());
        return Ok(Verdict::NotRun);
    }
    thread::sleep(Duration::from_secs(2));
    let successor = fleet.add_core(9)?;
    recorder.line(format!("{successor} starts with an empty disk"));
    let started_at = Instant::now();
    thread::sleep(SUCCESSOR_AGE);
    if !fleet.publish(&configuration(9, 2_000), limit) {
        recorder.line("configuration 9 is not acknowledged".to_owned());
        return Ok(Verdict::NotRun);
    }
    recorder.line("configuration 9 is acknowledged".to_owned());
    let Some(leader) = (1..=3).find(|number| leads(&fleet, &format!("core-z-{number}"))) else {
        recorder.line("no leader is known".to_owned());
        return Ok(Verdict::NotRun);
    };
    let removed = format!("core-z-{leader}");
    fleet.kill(&removed)?;
    fleet.remove_seed(leader - 1);
    recorder.line(format!(
        "{removed} is removed for good; {successor} has run for {:.1} s, CatchUpS is {} s",
        started_at.elapsed().as_secs_f64(),
        CATCH_UP.as_secs()
    ));
    if has_trouble() {
        thread::sleep(LOSS_DELAY);
        let wiped = format!("core-z-{}", leader % 3 + 1);
        fleet.kill(&wiped)?;
        fleet.wipe(&wiped)?;
        recorder.line(format!("{wiped} has lost its disk"));
        thread::sleep(DOWN_TIME);
        fleet.restart(&wiped)?;
        recorder.line(format!("{wiped} is back with an empty disk"));
    }
    let back_at = Instant::now();
    let mut first_read = None;
    while first_read.is_none() && back_at.elapsed() < RECOVER_TIME + READ_TIME {
        let others = (0..4).filter(|core| core + 1 != leader);
        first_read = others
            .filter_map(|core| read_version(&fleet.operator(core), recorder))
            .next()
            .map(|version| (version, back_at.elapsed()));
        call(&fleet, recorder);
        thread::sleep(Duration::from_millis(500));
    }
    match first_read {
        Some((version, after)) => {
            recorder.say(format!(
                "version {version} is read back {:.1} s after all machines are back",
                after.as_secs_f64()
            ));
            let is_sound = version >= 9 && after <= RECOVER_TIME;
            Ok(if is_sound {
                Verdict::Held
            } else {
                Verdict::Broken
            })
        }
        None => {
            recorder.say(format!(
                "no machine reads the configuration back within {} s after all are back",
                (RECOVER_TIME + READ_TIME).as_secs()
            ));
            Ok(Verdict::Broken)
        }
    }
}

/// Returns whether a process leads, by the last role in its log.
fn leads(fleet: &Fleet, name: &str) -> bool {
    let log = fleet.log(name);
    let last = log.lines().rfind(|line| line.contains(" in term "));
    last.is_some_and(|line| line.contains("raft: Leader in term"))
}

/// Reads the configuration as the operator does, and returns its version.
fn read_version(host: &str, recorder: &Recorder) -> Option<u64> {
    let mut host = host.to_owned();
    for _ in 0..3 {
        let address: SocketAddr = host.parse().ok()?;
        let request = format!("GET /-/config HTTP/1.1\r\nHost: {host}\r\n\r\n");
        let answer = exchange(address, request.as_bytes(), Duration::from_secs(1));
        let answer = match answer {
            Ok(answer) => answer,
            Err(error) => {
                recorder.line(format!("operator: read from {host}: {error}"));
                return None;
            }
        };
        recorder.line(format!("operator: read from {host}: {}", answer.status()));
        match answer.status() {
            200 => {
                let text = String::from_utf8_lossy(&answer.body).into_owned();
                let version = text.split("\"Version\":").nth(1)?;
                let digits: String = version.chars().take_while(char::is_ascii_digit).collect();
                return digits.parse().ok();
            }
            307 => host = answer.header("location").split('/').nth(2)?.to_owned(),
            _ => return None,
        }
    }
    None
}

fn call(fleet: &Fleet, recorder: &Recorder) {
    let id = format!("{:016}", recorder.now().to_bits() >> 12);
    let limit = Duration::from_secs(2);
    let request = client_request("POST", "/puxa403/2f", &id, limit, "{}");
    recorder.line(format!("client: sends {id}"));
    let answer = exchange(fleet.front(0), request.as_bytes(), limit);
    let answer = answer.map(|answer| answer.status());
    recorder.line(format!("client: {id} got {answer:?}"));
}

fn main() {
    run_case(6, run);
}
