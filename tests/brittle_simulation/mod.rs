//! Single-threaded simulation of gateways that send requests to brittle targets, with loads that are known late, and a
//! leader that grants permits. There is no network.

mod gateway;
mod target;

use std::{collections::BTreeMap, time::Duration};

use gateway::{GatewayNode, WaitingRequest};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use target::{SimulatedTarget, TargetAnswer};
use waxwinglatch::{
    brittle::{REJECTION_TIME, RejectionLimit},
    warmup::REQUEST_TOKENS,
};

const STEP: Duration = Duration::from_millis(1);
/// Time of a message between two processes, in milliseconds.
const MESSAGE_MS: [u64; 2] = [1, 4];
/// Age of the loads of other gateways, in milliseconds, and that of the few that come late.
const LOAD_AGE_MS: [u64; 2] = [8, 55];
const LATE_LOAD_AGE_MS: [u64; 2] = [60, 120];
/// Share of the times at which loads come late.
const LATE_SHARE: f64 = 0.02;
/// Number of steps for which loads are remembered.
const HISTORY: usize = 128;
/// Time for which a request waits for a permit, and the part of it in which the leader may grant it.
const PERMIT_WAIT: Duration = Duration::from_millis(50);
const LEADER_WAIT: Duration = Duration::from_millis(42);

/// Parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct FleetLoad {
    pub gateways: usize,
    /// Gateways that each one believes there are.
    pub known_gateways: usize,
    pub targets: usize,
    pub slots: u32,
    pub service_time: Duration,
    /// Requests that a target may turn away within a second.
    pub limit: u32,
    /// Requests that arrive, as a share of those that all slots together could serve.
    pub demand: f64,
    /// Factor of the demand between the third and the fourth second.
    pub surge: f64,
    pub length: Duration,
}

/// What a run has shown.
#[derive(Clone, Copy, Debug, Default)]
pub struct FleetResult {
    pub falls: usize,
    pub rejections: usize,
    pub requests: usize,
    pub served: usize,
    /// Sum of the times for which served requests had waited.
    pub waited: Duration,
}

impl FleetResult {
    #[allow(clippy::cast_precision_loss)] // Small counts.
    pub fn served_share(&self) -> f64 {
        self.served as f64 / self.requests.max(1) as f64
    }

    /// Returns the mean time for which served requests had waited until they were sent.
    pub fn mean_wait(&self) -> Duration {
        self.waited / u32::try_from(self.served.max(1)).unwrap_or(u32::MAX)
    }
}

enum Event {
    Arrival {
        gateway: usize,
        target: usize,
        request: WaitingRequest,
    },
    Answer {
        gateway: usize,
        target: usize,
        request: WaitingRequest,
        answer: TargetAnswer,
    },
    /// Request for a permit, until when it waits.
    PermitRequest {
        gateway: usize,
        target: usize,
        number: u64,
        until: Duration,
    },
    Permit {
        gateway: usize,
        target: usize,
        number: u64,
    },
    Release {
        target: usize,
    },
}

/// Permits of one target at the leader, in tokens.
struct PermitBucket {
    level: f64,
    waiting: Vec<(usize, u64, Duration)>,
}

pub struct BrittleSimulation {
    load: FleetLoad,
    limit: RejectionLimit,
    rng: ChaCha8Rng,
    now: Duration,
    gateways: Vec<GatewayNode>,
    targets: Vec<SimulatedTarget>,
    buckets: Vec<PermitBucket>,
    events: BTreeMap<(Duration, u64), Event>,
    sequence: u64,
    /// Loads of all gateways together by step and target.
    totals: Vec<Vec<u32>>,
    result: FleetResult,
}

impl BrittleSimulation {
    pub fn new(load: FleetLoad, seed: u64) -> Self {
        let limit = RejectionLimit::new(load.limit);
        let permits = limit.rate_limit();
        let bucket = || PermitBucket {
            level: tokens(permits.burst),
            waiting: Vec::new(),
        };
        Self {
            limit,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Duration::ZERO,
            gateways: (0..load.gateways)
                .map(|_| GatewayNode::new(load.known_gateways, load.targets))
                .collect(),
            targets: (0..load.targets)
                .map(|_| SimulatedTarget::new(load.slots, load.limit))
                .collect(),
            buckets: (0..load.targets).map(|_| bucket()).collect(),
            events: BTreeMap::new(),
            sequence: 0,
            totals: vec![vec![0; load.targets]; HISTORY],
            result: FleetResult::default(),
            load,
        }
    }

    pub fn run(mut self) -> FleetResult {
        for gateway in &mut self.gateways {
            gateway.record_statement(self.limit, self.now);
        }
        while self.now < self.load.length {
            self.now += STEP;
            self.arrive();
            self.deliver();
            for target in 0..self.targets.len() {
                for (gateway, request, answer) in self.targets[target].step(self.now) {
                    self.answer(gateway, target, request, answer);
                }
                self.grant(target);
            }
            self.exchange_loads();
            for gateway in 0..self.gateways.len() {
                self.send_waiting(gateway);
            }
        }
        self.result.falls = self.targets.iter().map(|target| target.falls).sum();
        // What still runs will be served.
        let running = self.targets.iter().map(SimulatedTarget::running);
        self.result.served += running.sum::<usize>();
        self.result
    }

    #[allow(clippy::cast_precision_loss)] // Small counts.
    fn arrive(&mut self) {
        let slots = f64::from(self.load.slots) * self.targets.len() as f64;
        let is_surge = self.now.as_secs() == 3;
        let factor = if is_surge { self.load.surge } else { 1.0 };
        let per_step = STEP.as_secs_f64() / self.load.service_time.as_secs_f64();
        let mut expected = slots * per_step * self.load.demand * factor;
        while expected > 0.0 {
            if self.rng.random_bool(expected.min(1.0)) {
                let gateway = self.rng.random_range(0..self.gateways.len());
                self.result.requests += 1;
                let number = self.result.requests as u64;
                self.gateways[gateway].arrive(number, self.now);
            }
            expected -= 1.0;
        }
    }

    fn schedule(&mut self, event: Event) {
        let [min, max] = MESSAGE_MS;
        let delay = Duration::from_millis(self.rng.random_range(min..max));
        self.sequence += 1;
        self.events.insert((self.now + delay, self.sequence), event);
    }

    fn answer(
        &mut self,
        gateway: usize,
        target: usize,
        request: WaitingRequest,
        answer: TargetAnswer,
    ) {
        self.schedule(Event::Answer {
            gateway,
            target,
            request,
            answer,
        });
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.events.first_entry()
            && entry.key().0 <= self.now
        {
            match entry.remove() {
                Event::Arrival {
                    gateway,
                    target,
                    request,
                } => {
                    let mean = self.load.service_time;
                    let time = mean.mul_f64(self.rng.random_range(0.5..1.5));
                    let refused = self.targets[target].accept(gateway, request, self.now, time);
                    if let Some((request, answer)) = refused {
                        self.answer(gateway, target, request, answer);
                    }
                }
                Event::Answer {
                    gateway,
                    target,
                    request,
                    answer,
                } => self.receive_answer(gateway, target, request, answer),
                Event::PermitRequest {
                    gateway,
                    target,
                    number,
                    until,
                } => self.buckets[target].waiting.push((gateway, number, until)),
                Event::Permit {
                    gateway,
                    target,
                    number,
                } => self.use_permit(gateway, target, number),
                Event::Release { target } => self.buckets[target].level += 1.0,
            }
        }
    }

    fn receive_answer(
        &mut self,
        gateway: usize,
        target: usize,
        request: WaitingRequest,
        answer: TargetAnswer,
    ) {
        let node = &mut self.gateways[gateway];
        node.record_end(target);
        node.record_statement(self.limit, self.now);
        if node.take_permit(request.number) && answer != TargetAnswer::Rejected {
            self.schedule(Event::Release { target });
        }
        let node = &mut self.gateways[gateway];
        match answer {
            TargetAnswer::Served => {
                node.record_served(self.now.saturating_sub(request.sent_at));
                self.result.served += 1;
                self.result.waited += request.sent_at.saturating_sub(request.arrived_at);
            }
            TargetAnswer::Rejected => {
                self.result.rejections += 1;
                node.record_rejection(target, self.limit, self.now);
                node.retry(request, target);
            }
            TargetAnswer::Lost => {}
        }
    }

    /// Grants permits to requests that wait for one.
    fn grant(&mut self, target: usize) {
        let permits = self.limit.rate_limit();
        let now = self.now;
        let bucket = &mut self.buckets[target];
        let refilled = bucket.level + tokens(permits.rate) * STEP.as_secs_f64();
        bucket.level = refilled.min(tokens(permits.burst));
        bucket.waiting.retain(|(_, _, until)| now < *until);
        let mut granted = Vec::new();
        while bucket.level >= 1.0 && !bucket.waiting.is_empty() {
            bucket.level -= 1.0;
            granted.push(bucket.waiting.remove(0));
        }
        for (gateway, number, _) in granted {
            self.schedule(Event::Permit {
                gateway,
                target,
                number,
            });
        }
    }

    fn use_permit(&mut self, gateway: usize, target: usize, number: u64) {
        let slots = self.load.slots;
        let node = &mut self.gateways[gateway];
        match node.admit_with_permit(number, target, slots, self.now) {
            Some(request) => self.send(gateway, target, request),
            None => self.schedule(Event::Release { target }),
        }
    }

    fn send(&mut self, gateway: usize, target: usize, mut request: WaitingRequest) {
        request.sent_at = self.now;
        self.gateways[gateway].record_send(target);
        self.schedule(Event::Arrival {
            gateway,
            target,
            request,
        });
    }

    /// Lets each gateway know the loads of the others as they were some time ago.
    fn exchange_loads(&mut self) {
        let step = usize::try_from(self.now.as_millis()).unwrap();
        let mut total = vec![0; self.targets.len()];
        for gateway in &mut self.gateways {
            gateway.publish(step, self.load.slots, self.now);
            for (sum, load) in total.iter_mut().zip(gateway.published(step)) {
                *sum += load;
            }
        }
        self.totals[step % HISTORY] = total;
        for gateway in &mut self.gateways {
            if !step.is_multiple_of(5) {
                continue;
            }
            let range = if self.rng.random_bool(LATE_SHARE) {
                LATE_LOAD_AGE_MS
            } else {
                LOAD_AGE_MS
            };
            let age = self.rng.random_range(range[0]..range[1]);
            let known = step.saturating_sub(usize::try_from(age).unwrap());
            gateway.learn(&self.totals[known % HISTORY], known);
        }
    }

    fn send_waiting(&mut self, gateway: usize) {
        let (slots, now) = (self.load.slots, self.now);
        let up: Vec<usize> = (0..self.targets.len())
            .filter(|target| self.targets[*target].is_up(now))
            .collect();
        let node = &mut self.gateways[gateway];
        let outcome = node.try_waiting(&up, slots, now, &mut self.rng);
        for (target, request) in outcome.admitted {
            self.send(gateway, target, request);
        }
        for (target, number) in outcome.asking {
            self.schedule(Event::PermitRequest {
                gateway,
                target,
                number,
                until: now + LEADER_WAIT,
            });
        }
        // A permit whose request runs longer than this is released early.
        let early = self.gateways[gateway].take_early_releases(REJECTION_TIME, now);
        for target in early {
            self.schedule(Event::Release { target });
        }
    }
}

#[allow(clippy::cast_precision_loss)] // Small counts.
fn tokens(thousandths: u64) -> f64 {
    thousandths as f64 / REQUEST_TOKENS as f64
}
