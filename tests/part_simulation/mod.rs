//! A fleet of gateways with stepped time before engines that crash, without any network.

// Rates and counts are small.
#![allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss
)]

use std::time::Duration;

use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use smallvec::smallvec;
use waxwinglatch::{
    gateway::{PartWatch, RequestParts},
    ids::Fingerprint,
    state::PartTable,
    sync::{PartKind, PartSection, TargetCrash},
};

/// Length of a step.
const STEP_MS: u64 = 10;
/// Time from the arrival of a request to the begin of its answer, at which a deadly one crashes.
const PREFILL_MS: u64 = 60;
/// Time from a crash until a gateway has probed the target.
const PROBE_MS: u64 = 70;
/// Time that a crashed engine is down.
const DOWN_MS: u64 = 3_000;
/// Time from the begin of an answer in which a break counts as evidence, as in the gateway.
const START_MS: u64 = 500;
/// Number of second parts that sound requests share, the first ones more often.
const SECOND_PARTS: usize = 40;
/// Share of syncs that are lost.
const LOSS: f64 = 0.03;
/// Start of the simulated clock, so that no time is 0.
const EPOCH_MS: u64 = 1_000_000;

/// What is played.
#[derive(Clone, Debug)]
pub struct PartScenario {
    pub gateways: usize,
    pub engines: usize,
    /// Requests per second over all gateways.
    pub rate: f64,
    /// Share of the requests that carry the deadly part, from `deadly_from_ms` on.
    pub deadly_share: f64,
    pub deadly_from_ms: u64,
    /// Whether the deadly part is the first one of its requests.
    pub is_deadly_first: bool,
    /// Whether the deadly requests are all the same one, sent again.
    pub is_same_request: bool,
    /// Crashes per second for other reasons.
    pub other_crashes: f64,
    /// Whether the leader is replaced, and restores the log's state, every five seconds.
    pub changes_leader: bool,
    pub length_ms: u64,
}

impl Default for PartScenario {
    fn default() -> Self {
        Self {
            gateways: 9,
            engines: 12,
            rate: 90.0,
            deadly_share: 0.03,
            deadly_from_ms: 4_000,
            is_deadly_first: false,
            is_same_request: false,
            other_crashes: 0.0,
            changes_leader: false,
            length_ms: 30_000,
        }
    }
}

/// What was seen.
#[derive(Clone, Debug, Default)]
pub struct PartOutcome {
    /// Times at which a deadly request crashed an engine.
    pub deadly_crashes: Vec<u64>,
    /// Times at which deadly requests were sent to engines.
    pub deadly_sent: Vec<u64>,
    /// Times of sound requests with their result: whether they were sent to an engine.
    pub sound: Vec<(u64, bool)>,
}

struct SimulatedRun {
    gateway: usize,
    parts: RequestParts,
    begins_ms: u64,
    ends_ms: u64,
    is_deadly: bool,
}

#[derive(Default)]
struct SimulatedEngine {
    up_from_ms: u64,
    incarnation: u64,
    runs: Vec<SimulatedRun>,
}

struct SimulatedGateway {
    watch: PartWatch,
    syncs_at_ms: u64,
    /// Probes of targets and when they end.
    probes: Vec<(u64, TargetCrash)>,
}

/// The fleet.
pub struct PartSimulation {
    scenario: PartScenario,
    rng: ChaCha8Rng,
    now_ms: u64,
    table: PartTable,
    gateways: Vec<SimulatedGateway>,
    engines: Vec<SimulatedEngine>,
    requests: u64,
    outcome: PartOutcome,
}

fn fingerprint(kind: u64, number: u64) -> Fingerprint {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&kind.to_be_bytes());
    bytes[8..].copy_from_slice(&number.to_be_bytes());
    Fingerprint::new(bytes)
}

impl PartSimulation {
    pub fn new(scenario: PartScenario, seed: u64) -> Self {
        let gateways = (0..scenario.gateways).map(|number| SimulatedGateway {
            watch: PartWatch::new(&format!("edge-{number}").into()),
            syncs_at_ms: EPOCH_MS + 10 * number as u64,
            probes: Vec::new(),
        });
        Self {
            gateways: gateways.collect(),
            engines: (0..scenario.engines)
                .map(|_| SimulatedEngine::default())
                .collect(),
            scenario,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now_ms: EPOCH_MS,
            table: PartTable::default(),
            requests: 0,
            outcome: PartOutcome::default(),
        }
    }

    pub fn run(mut self) -> PartOutcome {
        while self.now_ms < EPOCH_MS + self.scenario.length_ms {
            self.step();
        }
        self.outcome
    }

    fn now(&self) -> Duration {
        Duration::from_millis(self.now_ms)
    }

    fn step(&mut self) {
        let elapsed_ms = self.now_ms - EPOCH_MS;
        if self.scenario.changes_leader && elapsed_ms.is_multiple_of(5_000) {
            let snapshot = rmp_serde::to_vec_named(&self.table).expect("the table can be encoded");
            self.table = rmp_serde::from_slice(&snapshot).expect("the table can be restored");
        }
        let mean = self.scenario.rate * STEP_MS as f64 / 1_000.0;
        let arrivals = mean as u64 + u64::from(self.rng.random_bool(mean.fract()));
        for _ in 0..arrivals {
            self.send();
        }
        if self
            .rng
            .random_bool(self.scenario.other_crashes * STEP_MS as f64 / 1_000.0)
        {
            let engine = self.rng.random_range(0..self.engines.len());
            self.crash(engine);
        }
        for engine in 0..self.engines.len() {
            self.advance_engine(engine);
        }
        for gateway in 0..self.gateways.len() {
            self.advance_gateway(gateway);
        }
        self.now_ms += STEP_MS;
    }

    fn send(&mut self) {
        let elapsed_ms = self.now_ms - EPOCH_MS;
        self.requests += 1;
        let is_deadly = elapsed_ms >= self.scenario.deadly_from_ms
            && self.rng.random_bool(self.scenario.deadly_share);
        // A skewed choice, by which some second parts are rare.
        let skewed = self.rng.random::<f64>().powi(3) * SECOND_PARTS as f64;
        let first = (fingerprint(1, 0), PartKind::Prompt);
        let second = (fingerprint(2, skewed as u64), PartKind::Prompt);
        let deadly = (fingerprint(3, 0), PartKind::Prompt);
        let own = (fingerprint(4, self.requests), PartKind::Request);
        let parts: RequestParts = match is_deadly {
            true if self.scenario.is_same_request => {
                let request = (fingerprint(5, 0), PartKind::Request);
                smallvec![first, (fingerprint(2, 1), PartKind::Prompt), request]
            }
            true if self.scenario.is_deadly_first => smallvec![deadly, second, own],
            true => smallvec![first, second, deadly, own],
            false => smallvec![first, second, own],
        };
        // Callers spread unevenly over gateways.
        let count = self.gateways.len() as f64;
        let gateway = (self.rng.random::<f64>().powf(1.5) * count) as usize;
        let is_blocked = self.gateways[gateway].watch.is_blocked(&parts, self.now());
        let up: Vec<usize> = (0..self.engines.len())
            .filter(|engine| self.engines[*engine].up_from_ms <= self.now_ms)
            .collect();
        let engine = up.choose(&mut self.rng).copied().filter(|_| !is_blocked);
        match is_deadly {
            true if engine.is_some() => self.outcome.deadly_sent.push(elapsed_ms),
            true => {}
            false => self.outcome.sound.push((elapsed_ms, !is_blocked)),
        }
        let Some(engine) = engine else {
            return;
        };
        let begins_ms = self.now_ms + PREFILL_MS;
        let ends_ms = begins_ms + self.rng.random_range(400..3_000);
        self.engines[engine].runs.push(SimulatedRun {
            gateway,
            parts,
            begins_ms,
            ends_ms,
            is_deadly,
        });
    }

    fn advance_engine(&mut self, engine: usize) {
        let (now_ms, now) = (self.now_ms, self.now());
        let begun = |run: &SimulatedRun| run.is_deadly && run.begins_ms <= now_ms;
        if self.engines[engine].runs.iter().any(begun) {
            self.outcome.deadly_crashes.push(now_ms - EPOCH_MS);
            self.crash(engine);
        }
        let gateways = &mut self.gateways;
        self.engines[engine].runs.retain(|run| {
            let is_running = run.ends_ms > now_ms;
            if !is_running {
                let gateway = &mut gateways[run.gateway];
                if gateway.watch.record_complete(&run.parts, now) {
                    gateway.syncs_at_ms = now_ms;
                }
            }
            is_running
        });
    }

    fn crash(&mut self, number: usize) {
        let now_ms = self.now_ms;
        let engine = &mut self.engines[number];
        let name = format!("engine-{number}-{}", engine.incarnation);
        let crash = TargetCrash::new(name.as_str().into(), engine.incarnation);
        engine.incarnation += 1;
        engine.up_from_ms = now_ms + DOWN_MS;
        for run in std::mem::take(&mut engine.runs) {
            let gateway = &mut self.gateways[run.gateway];
            let is_starting = now_ms < run.begins_ms + START_MS;
            if is_starting && gateway.watch.record_break(crash.clone(), &run.parts) {
                gateway.probes.push((now_ms + PROBE_MS, crash.clone()));
            }
        }
    }

    fn advance_gateway(&mut self, number: usize) {
        let (now_ms, now) = (self.now_ms, self.now());
        let gateway = &mut self.gateways[number];
        let mut is_due = gateway.syncs_at_ms <= now_ms;
        gateway.probes.retain(|(at_ms, crash)| {
            if *at_ms <= now_ms {
                is_due |= gateway.watch.finish_probe(&crash.target, true, now);
            }
            *at_ms > now_ms
        });
        if is_due {
            self.sync(number);
        }
    }

    fn sync(&mut self, number: usize) {
        let now = self.now();
        let interval_ms = (10 * self.scenario.gateways as u64).clamp(250, 1_000);
        let gateway = &mut self.gateways[number];
        gateway.syncs_at_ms = self.now_ms + interval_ms;
        let version = gateway.watch.version();
        let report = gateway.watch.take_report(now);
        if self.rng.random_bool(LOSS) {
            gateway.watch.put_back(report);
            return;
        }
        for evidence in &report.crashes {
            self.table
                .report(self.now_ms, &evidence.crash, &evidence.parts);
        }
        self.table.clear(self.now_ms, &report.completed);
        self.table.expire(self.now_ms);
        if self.table.version() != version {
            let section = PartSection {
                version: self.table.version(),
                suspects: self.table.suspects(self.now_ms),
            };
            if gateway.watch.apply_section(&section, now) {
                gateway.syncs_at_ms = self.now_ms + STEP_MS;
            }
        }
    }
}
