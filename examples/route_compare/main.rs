//! Compares routing policies with fake time, lagging load reports and prefix caches.
//!
//! `cargo run --release --example route_compare [tune]`
// Figures for people; times are in order by construction.
#![allow(clippy::cast_precision_loss, clippy::unchecked_time_subtraction)]
#![allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]

mod engine;
mod policy;

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    time::Duration,
};

use engine::{Engine, PREFIX_TOKENS, SLOTS};
use policy::{Policy, PolicyKind};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use waxwinglatch::route::{RouteChoice, RouteTuning};

const ENGINES: usize = 24;
const PREFIXES: usize = 150;
/// Requests a second per engine: about 70% of the slots when most prompts are cached.
const RATE: f64 = 3.6;
const LENGTH: Duration = Duration::from_secs(120);
const WARM: Duration = Duration::from_secs(30);
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Target of the time to the first byte.
const TARGET_MS: f64 = 320.0;

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    FirstByte(usize),
    End(usize),
    Report,
    Evaluate,
}

struct Request {
    entry: usize,
    engine: usize,
    prefix: usize,
    sent_at: Duration,
    cached_tokens: u32,
    choice: Option<RouteChoice>,
}

#[derive(Clone, Copy)]
struct Scenario {
    entries: usize,
    lag: Duration,
    slowdown: f64,
}

struct Figures {
    p50: f64,
    p95: f64,
    attained: f64,
    hits: f64,
    imbalance: f64,
}

struct Fleet {
    engines: Vec<Engine>,
    requests: Vec<Request>,
    events: BinaryHeap<Reverse<(Duration, Event)>>,
}

impl Fleet {
    fn start(&mut self, id: usize, now: Duration) {
        let request = &mut self.requests[id];
        let started = self.engines[request.engine].start(request.prefix, now);
        request.cached_tokens = started.cached_tokens;
        self.events
            .push(Reverse((started.first_byte, Event::FirstByte(id))));
        self.events.push(Reverse((started.end, Event::End(id))));
    }
}

#[allow(clippy::too_many_lines)] // One event loop.
fn run(kind: PolicyKind, scenario: Scenario, seed: u64) -> Figures {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let slowdown = |index| if index == 0 { scenario.slowdown } else { 1.0 };
    let mut fleet = Fleet {
        engines: (0..ENGINES)
            .map(|index| Engine::new(slowdown(index)))
            .collect(),
        requests: Vec::new(),
        events: BinaryHeap::from([
            Reverse((Duration::ZERO, Event::Arrive)),
            Reverse((Duration::ZERO, Event::Report)),
            Reverse((Duration::ZERO, Event::Evaluate)),
        ]),
    };
    let mut policies: Vec<Policy> = (0..scenario.entries)
        .map(|entry| Policy::new(kind, ENGINES, scenario.entries, entry))
        .collect();
    let mut reports: VecDeque<(Duration, Vec<(u32, u32)>)> = VecDeque::new();
    let mut first_bytes = Vec::new();
    let mut cached = 0_u64;
    let mut loads = [0_u64; ENGINES];
    while let Some(Reverse((now, event))) = fleet.events.pop() {
        match event {
            Event::Arrive => {
                let wait = -rng.random_range(f64::MIN_POSITIVE..1.0).ln() / (RATE * ENGINES as f64);
                if now < LENGTH {
                    fleet.events.push(Reverse((
                        now + Duration::from_secs_f64(wait),
                        Event::Arrive,
                    )));
                }
                // Few prefixes are in most prompts.
                let prefix = (rng.random_range(0.0..1.0_f64).powi(3) * PREFIXES as f64) as usize;
                let entry = rng.random_range(0..scenario.entries);
                let policy = &mut policies[entry];
                if scenario.lag.is_zero() {
                    for (index, engine) in fleet.engines.iter().enumerate() {
                        policy.report(index, engine.running, engine.load() - engine.running, now);
                    }
                }
                let (engine, choice) = policy.choose(prefix, now, &mut rng);
                fleet.requests.push(Request {
                    entry,
                    engine,
                    prefix,
                    sent_at: now,
                    cached_tokens: 0,
                    choice,
                });
                let id = fleet.requests.len() - 1;
                if fleet.engines[engine].running < SLOTS {
                    fleet.start(id, now);
                } else {
                    fleet.engines[engine].queue.push_back(id);
                }
            }
            Event::FirstByte(id) => {
                let request = &fleet.requests[id];
                if let Some(choice) = &request.choice {
                    policies[request.entry].first_byte(
                        choice,
                        request.cached_tokens,
                        request.sent_at,
                        now,
                    );
                }
                if request.sent_at > WARM {
                    first_bytes.push((now - request.sent_at).as_secs_f64() * 1000.0);
                    cached += u64::from(request.cached_tokens);
                }
            }
            Event::End(id) => {
                let engine = fleet.requests[id].engine;
                policies[fleet.requests[id].entry].end(engine, now);
                fleet.engines[engine].running -= 1;
                if let Some(next) = fleet.engines[engine].queue.pop_front() {
                    fleet.start(next, now);
                }
            }
            Event::Report => {
                let state = fleet
                    .engines
                    .iter()
                    .map(|engine| (engine.running, engine.load() - engine.running));
                reports.push_back((now, state.collect()));
                while let Some((at, state)) = reports.front()
                    && *at + scenario.lag <= now
                {
                    for policy in &mut policies {
                        for (index, (running, queued)) in state.iter().enumerate() {
                            policy.report(index, *running, *queued, *at);
                        }
                    }
                    reports.pop_front();
                }
                if now > WARM {
                    loads
                        .iter_mut()
                        .zip(&fleet.engines)
                        .for_each(|(sum, engine)| *sum += u64::from(engine.load()));
                }
                if now < LENGTH {
                    fleet
                        .events
                        .push(Reverse((now + REPORT_INTERVAL, Event::Report)));
                }
            }
            Event::Evaluate => {
                for policy in &mut policies {
                    policy.evaluate(now);
                }
                if now < LENGTH {
                    fleet
                        .events
                        .push(Reverse((now + Duration::from_secs(1), Event::Evaluate)));
                }
            }
        }
    }
    first_bytes.sort_by(f64::total_cmp);
    let count = first_bytes.len();
    let others = &loads[1..];
    let mean = others.iter().sum::<u64>() as f64 / others.len() as f64;
    Figures {
        p50: first_bytes[count / 2],
        p95: first_bytes[count * 95 / 100],
        attained: 100.0
            * first_bytes
                .iter()
                .filter(|time| **time <= TARGET_MS)
                .count() as f64
            / count as f64,
        hits: 100.0 * cached as f64 / (count as f64 * f64::from(PREFIX_TOKENS)),
        imbalance: *others.iter().max().unwrap() as f64 / mean,
    }
}

fn scenarios() -> impl Iterator<Item = Scenario> {
    [1, 9, 400].into_iter().flat_map(|entries| {
        [0, 1, 5].into_iter().flat_map(move |lag| {
            [1.0, 4.0].map(|slowdown| Scenario {
                entries,
                lag: Duration::from_secs(lag),
                slowdown,
            })
        })
    })
}

fn compare() {
    println!(
        "{:>7} {:>5} {:>5} {:>7} | {:>8} {:>8} {:>8} {:>7} {:>9}",
        "entries", "lag s", "slow", "policy", "p50 ms", "p95 ms", "within %", "hits %", "imbalance"
    );
    for scenario in scenarios() {
        let built = PolicyKind::Built(RouteTuning::default());
        for kind in [
            PolicyKind::Random,
            PolicyKind::RoundRobin,
            PolicyKind::LeastLoaded,
            PolicyKind::TwoChoices,
            built,
        ] {
            let figures = run(kind, scenario, 1);
            println!(
                "{:>7} {:>5} {:>5} {:>7} | {:>8.0} {:>8.0} {:>8.1} {:>7.1} {:>9.2}",
                scenario.entries,
                scenario.lag.as_secs(),
                scenario.slowdown,
                kind.name(),
                figures.p50,
                figures.p95,
                figures.attained,
                figures.hits,
                figures.imbalance
            );
        }
    }
}

/// Varies one constant at a time and prints the mean over the scenarios.
fn tune() {
    let base = RouteTuning::default();
    let mut variants = vec![("default".to_owned(), base)];
    for sample in [2, 4, 16] {
        variants.push((
            format!("sample {sample}"),
            RouteTuning {
                sample_size: sample,
                ..base
            },
        ));
    }
    for draws in [1, 3] {
        variants.push((format!("draws {draws}"), RouteTuning { draws, ..base }));
    }
    for temperature_ms in [10.0, 20.0, 80.0] {
        variants.push((
            format!("temperature {temperature_ms}"),
            RouteTuning {
                temperature_ms,
                ..base
            },
        ));
    }
    for others_exponent in [0.0, 0.5] {
        variants.push((
            format!("exponent {others_exponent}"),
            RouteTuning {
                peer_load_exponent: others_exponent,
                ..base
            },
        ));
    }
    for homes in [0, 1, 3] {
        variants.push((
            format!("homes {homes}"),
            RouteTuning {
                ring_targets: homes,
                ..base
            },
        ));
    }
    for millis in [300, 500, 2000, 4000] {
        let load_half_life = Duration::from_millis(millis);
        variants.push((
            format!("load half {millis}"),
            RouteTuning {
                load_half_life,
                ..base
            },
        ));
    }
    for seconds in [10, 60] {
        let belief_half_life = Duration::from_secs(seconds);
        variants.push((
            format!("half-life {seconds}"),
            RouteTuning {
                prefix_half_life: belief_half_life,
                ..base
            },
        ));
    }
    for slot_ms in [1000.0, 2000.0, 4000.0] {
        variants.push((format!("slot {slot_ms}"), RouteTuning { slot_ms, ..base }));
    }
    for (name, tuning) in variants {
        let hard = |scenario: &Scenario| scenario.entries > 1 && !scenario.lag.is_zero();
        let all: Vec<Figures> = scenarios()
            .filter(hard)
            .map(|scenario| run(PolicyKind::Built(tuning), scenario, 2))
            .collect();
        let mean =
            |figure: fn(&Figures) -> f64| all.iter().map(figure).sum::<f64>() / all.len() as f64;
        println!(
            "{name:>16} | p50 {:>5.0} p95 {:>6.0} within {:>5.1} hits {:>5.1} imbalance {:>5.2}",
            mean(|f| f.p50),
            mean(|f| f.p95),
            mean(|f| f.attained),
            mean(|f| f.hits),
            mean(|f| f.imbalance)
        );
    }
}

fn main() {
    if std::env::args().any(|argument| argument == "tune") {
        tune();
    } else {
        compare();
    }
}
