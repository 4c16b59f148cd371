//! Simulates the admission of requests of three ranks at 59 gateways, without a network, and measures which
//! ranks are served. A wrong order serves the least urgent rank best, since it may wait longest.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use rand::{Rng, SeedableRng, rngs::StdRng};
use rstest::rstest;
use waxwinglatch::admission::{
    AdmissionQueue, RANKS, REVIEW_DELAY, RankCounts, TicketId, WaitingRequest,
};

const GATEWAYS: usize = 59;
const ENGINES: u32 = 112;
const SLOTS: u32 = 12;
/// Time that a request occupies a slot, in milliseconds.
const SLOT_MS: u64 = 2_000;
const STEP_MS: u64 = 2;
/// Interval at which gateways learn each other's loads and waiting requests.
const EXCHANGE_MS: u64 = 20;
/// First-byte targets by rank, in milliseconds, less the expected time to the first byte.
const WAITS_MS: [u64; 3] = [500 - 250, 1_000 - 250, 3_000 - 250];

/// Load of a simulation: arrivals a second over all gateways, by time.
struct Load {
    slots: u32,
    rate: fn(u64) -> f64,
    duration_ms: u64,
}

#[derive(Default)]
struct Gateway {
    queue: Option<AdmissionQueue>,
    waiting: Vec<(TicketId, u8, Times)>,
    others: RankCounts,
    other_rate: f64,
    taken: u32,
}

/// When a request is judged once more, and when it is refused.
#[derive(Clone, Copy)]
struct Times {
    review_at: u64,
    wait_until: u64,
}

/// Requests by rank.
#[derive(Debug, Default)]
struct Figures {
    arrived: [f64; 3],
    served: [f64; 3],
    refused_at_once: f64,
    max_running: u32,
}

impl Figures {
    fn shares(&self) -> [f64; 3] {
        std::array::from_fn(|rank| self.served[rank] / self.arrived[rank])
    }

    fn check(&self) {
        let shares = self.shares();
        let mean = self.served.iter().sum::<f64>() / self.arrived.iter().sum::<f64>();
        println!("shares {shares:?}, mean {mean}, {self:?}");
        for rank in 1..3 {
            assert!(shares[rank] <= shares[rank - 1] + 0.05, "{shares:?}");
        }
        assert!(shares[2] >= mean / 4.0, "{shares:?}, mean {mean}");
    }
}

struct Simulation {
    gateways: Vec<Gateway>,
    running: BinaryHeap<Reverse<u64>>,
    seen_running: u32,
    slots: u32,
    rng: StdRng,
    figures: Figures,
}

fn milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap()
}

fn at(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

impl Simulation {
    fn run(load: &Load, seed: u64) -> Figures {
        let gateways = (0..GATEWAYS).map(|_| Gateway {
            queue: Some(AdmissionQueue::new(at(0))),
            ..Gateway::default()
        });
        let mut simulation = Self {
            gateways: gateways.collect(),
            running: BinaryHeap::new(),
            seen_running: 0,
            slots: load.slots,
            rng: StdRng::seed_from_u64(seed),
            figures: Figures::default(),
        };
        for now in (0..load.duration_ms).step_by(usize::try_from(STEP_MS).unwrap()) {
            simulation.step((load.rate)(now), now);
        }
        simulation.figures
    }

    #[allow(clippy::cast_precision_loss)] // Milliseconds are far below 2^52.
    fn step(&mut self, rate: f64, now: u64) {
        while self.running.peek().is_some_and(|end| end.0 <= now) {
            self.running.pop();
        }
        if now.is_multiple_of(EXCHANGE_MS) {
            self.exchange(now);
        }
        let expected = rate * STEP_MS as f64 / 1000.0;
        let mut arrivals = 0.0;
        while arrivals < expected {
            arrivals += 1.0;
            if arrivals <= expected || self.rng.random::<f64>() < expected.fract() {
                let gateway = self.rng.random_range(0..GATEWAYS);
                let rank = self.rng.random_range(0..3);
                self.arrive(gateway, rank, now);
            }
        }
        let start = self.rng.random_range(0..GATEWAYS);
        for offset in 0..GATEWAYS {
            let gateway = (start + offset) % GATEWAYS;
            self.expire(gateway, now);
            self.give_slots(gateway, now);
        }
        let running = u32::try_from(self.running.len()).unwrap();
        self.figures.max_running = self.figures.max_running.max(running);
    }

    fn exchange(&mut self, now: u64) {
        self.seen_running = u32::try_from(self.running.len()).unwrap();
        let mut reports = Vec::new();
        for gateway in &mut self.gateways {
            gateway.taken = 0;
            let queue = gateway.queue.as_mut().unwrap();
            let rate = queue.slot_rate(at(now)).unwrap_or(0.0);
            reports.push((queue.counts(), rate));
        }
        for (number, gateway) in self.gateways.iter_mut().enumerate() {
            let others = reports.iter().enumerate();
            let others = others.filter(|(other, _)| *other != number);
            gateway.others = [0; RANKS];
            gateway.other_rate = 0.0;
            for (_, (counts, rate)) in others {
                for (sum, count) in gateway.others.iter_mut().zip(counts) {
                    *sum += count;
                }
                gateway.other_rate += rate;
            }
        }
    }

    fn free(&self, gateway: usize) -> u32 {
        let used = self.seen_running + self.gateways[gateway].taken;
        self.slots.saturating_sub(used)
    }

    fn arrive(&mut self, number: usize, rank: usize, now: u64) {
        self.figures.arrived[rank] += 1.0;
        let free = self.free(number);
        let wait_until = now + WAITS_MS[rank];
        let request = WaitingRequest {
            rank: u8::try_from(rank).unwrap(),
            team: "".into(),
            arrived_at: at(now),
            latest_start: at(wait_until),
            wait_until: at(wait_until),
            work: 500,
        };
        let gateway = &mut self.gateways[number];
        let queue = gateway.queue.as_mut().unwrap();
        let rank = request.rank;
        let ticket = queue.push(request, at(now));
        let others = gateway.others;
        if queue.is_futile(ticket, free, &others, at(now)) {
            queue.remove(ticket, at(now));
            self.figures.refused_at_once += 1.0;
            return;
        }
        let review_at = now + milliseconds(REVIEW_DELAY);
        let times = Times {
            review_at,
            wait_until,
        };
        gateway.waiting.push((ticket, rank, times));
    }

    fn expire(&mut self, number: usize, now: u64) {
        let free = self.free(number);
        let gateway = &mut self.gateways[number];
        let queue = gateway.queue.as_mut().unwrap();
        let others = gateway.others;
        gateway.waiting.retain(|(ticket, _, times)| {
            let is_reviewed = (now..now + STEP_MS).contains(&times.review_at);
            let is_futile = is_reviewed && queue.is_futile(*ticket, free, &others, at(now));
            let is_waiting = times.wait_until > now && !is_futile;
            if !is_waiting {
                queue.remove(*ticket, at(now));
            }
            is_waiting
        });
    }

    fn give_slots(&mut self, number: usize, now: u64) {
        let mut turn = self.queue(number).begin_round(at(now));
        while let Some(ticket) = turn {
            let free = self.free(number);
            let draw = self.rng.random();
            let gateway = &mut self.gateways[number];
            let (others, other_rate) = (gateway.others, gateway.other_rate);
            let queue = gateway.queue.as_mut().unwrap();
            if free == 0 || !queue.may_take_slot(ticket, free, &others, other_rate, draw, at(now)) {
                turn = queue.pass_turn(ticket, at(now));
                continue;
            }
            queue.admit(ticket, at(now));
            turn = queue.begin_round(at(now));
            gateway.taken += 1;
            let mut waiting = gateway.waiting.iter();
            let position = waiting.position(|(other, ..)| *other == ticket).unwrap();
            let (_, rank, _) = gateway.waiting.swap_remove(position);
            self.figures.served[usize::from(rank)] += 1.0;
            let slot_ms = self.rng.random_range(SLOT_MS / 2..SLOT_MS * 3 / 2);
            self.running.push(Reverse(now + slot_ms));
        }
    }

    fn queue(&mut self, number: usize) -> &mut AdmissionQueue {
        self.gateways[number].queue.as_mut().unwrap()
    }
}

/// Rate at which the slots of all engines become free.
fn capacity() -> f64 {
    f64::from(ENGINES * SLOTS) * 1000.0 / 2_000.0
}

/// Guards against an order in which a rank is served better than a more urgent one. The load is three ranks
/// at 1.3 times the capacity of 112 engines with 12 slots over 59 gateways.
#[rstest]
fn at_an_overload_the_most_urgent_ranks_are_served(#[values(1, 2, 3)] seed: u64) {
    let load = Load {
        slots: ENGINES * SLOTS,
        rate: |_| 1.3 * capacity(),
        duration_ms: 20_000,
    };
    let figures = Simulation::run(&load, seed);
    figures.check();
    assert!(figures.shares()[0] > 0.95, "{figures:?}");
    // Gateways that learn of a slot at the same moment must not all take it.
    assert!(figures.max_running < ENGINES * SLOTS * 115 / 100);
}

/// Guards against ranks that a burst turns around. The load is half of the capacity with three times the
/// capacity from second 8 to 11.
#[rstest]
fn in_a_burst_the_most_urgent_ranks_are_served(#[values(4, 5)] seed: u64) {
    let load = Load {
        slots: ENGINES * SLOTS,
        rate: |now| match now {
            8_000..11_000 => 3.0 * capacity(),
            _ => 0.5 * capacity(),
        },
        duration_ms: 20_000,
    };
    Simulation::run(&load, seed).check();
}

/// Guards against requests that wait in vain and against a queue that grows without end: at a capacity of
/// zero no rank is served, and after the first second most requests are refused at once.
#[test]
fn without_capacity_requests_are_refused_at_once() {
    let load = Load {
        slots: 0,
        rate: |_| 500.0,
        duration_ms: 10_000,
    };
    let figures = Simulation::run(&load, 6);
    let arrived: f64 = figures.arrived.iter().sum();
    let served: f64 = figures.served.iter().sum();
    assert!(served.abs() < 0.5, "{figures:?}");
    assert!(figures.refused_at_once > arrived * 0.8, "{figures:?}");
}
