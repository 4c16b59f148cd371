//! Measures the service of the worst-served team while another floods, with and without charges
//! for service received elsewhere.
//!
//! `cargo run --release --example fair_compare`
// Figures for people.
#![allow(clippy::cast_precision_loss, clippy::cast_possible_truncation)]

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::Duration,
};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use waxwinglatch::{
    fair::{FairQueue, QueueLimits},
    ids::TeamId,
};

/// Tokens a second that each entry can have served.
const CAPACITY: f64 = 2000.0;
const LENGTH: Duration = Duration::from_secs(120);
const SYNC: Duration = Duration::from_millis(400);
/// Items that the flooding team and the team at few entries keep waiting.
const BACKLOG: usize = 20;
const TEAMS: [&str; 3] = ["flood", "few", "light"];
const FLOOD: usize = 0;
const FEW: usize = 1;
const LIGHT: usize = 2;

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Serve(usize),
    Light(usize),
    Sync,
}

#[derive(Clone, Copy)]
struct Item {
    team: usize,
    cost: u64,
    at: Duration,
}

struct Fleet {
    queues: Vec<FairQueue<Item>>,
    waiting: Vec<[usize; 3]>,
    rng: ChaCha8Rng,
}

impl Fleet {
    fn push(&mut self, entry: usize, team: usize, now: Duration) {
        let cost = self.rng.random_range(100..500);
        let item = Item {
            team,
            cost,
            at: now,
        };
        let pushed = self.queues[entry].push(
            &TeamId::from(TEAMS[team]),
            1,
            4,
            cost,
            Duration::MAX,
            now,
            item,
        );
        self.waiting[entry][team] += usize::from(pushed.is_ok());
    }
}

struct Figures {
    few_share: f64,
    light_p95: f64,
    flood_worst: f64,
}

/// `presence` is the number of entries at which the second team has callers.
fn run(entries: usize, presence: usize, is_charged: bool, lead_tokens: u64) -> Figures {
    let limits = QueueLimits {
        max_lead_tokens: lead_tokens,
        ..QueueLimits::default()
    };
    let mut fleet = Fleet {
        queues: (0..entries).map(|_| FairQueue::new(limits)).collect(),
        waiting: vec![[0; 3]; entries],
        rng: ChaCha8Rng::seed_from_u64(1),
    };
    let mut events = BinaryHeap::from([Reverse((SYNC, Event::Sync))]);
    for entry in 0..entries {
        events.push(Reverse((Duration::ZERO, Event::Serve(entry))));
        events.push(Reverse((Duration::ZERO, Event::Light(entry))));
    }
    let mut served = vec![[0_u64; 3]; entries];
    let mut synced = served.clone();
    let mut light_waits = Vec::new();
    let mut flood_worst: f64 = 0.0;
    while let Some(Reverse((now, event))) = events.pop() {
        if now >= LENGTH {
            break;
        }
        match event {
            Event::Serve(entry) => {
                while fleet.waiting[entry][FLOOD] < BACKLOG {
                    fleet.push(entry, FLOOD, now);
                }
                while entry < presence && fleet.waiting[entry][FEW] < BACKLOG {
                    fleet.push(entry, FEW, now);
                }
                let Some(item) = fleet.queues[entry].pop(now) else {
                    continue;
                };
                fleet.waiting[entry][item.team] -= 1;
                served[entry][item.team] += item.cost;
                let wait = now.saturating_sub(item.at).as_secs_f64();
                match item.team {
                    LIGHT => light_waits.push(wait),
                    FLOOD => flood_worst = flood_worst.max(wait),
                    _ => {}
                }
                let busy = Duration::from_secs_f64(item.cost as f64 / CAPACITY);
                events.push(Reverse((now + busy, Event::Serve(entry))));
            }
            Event::Light(entry) => {
                fleet.push(entry, LIGHT, now);
                // A tenth of the capacity.
                let gap = -fleet.rng.random_range(f64::MIN_POSITIVE..1.0).ln() * 3000.0 / CAPACITY;
                events.push(Reverse((
                    now + Duration::from_secs_f64(gap),
                    Event::Light(entry),
                )));
            }
            Event::Sync => {
                if is_charged {
                    charge(&mut fleet.queues, &served, &synced);
                }
                synced.clone_from(&served);
                events.push(Reverse((now + SYNC, Event::Sync)));
            }
        }
    }
    let total: u64 = served.iter().flatten().sum();
    let few: u64 = served.iter().map(|entry| entry[FEW]).sum();
    light_waits.sort_by(f64::total_cmp);
    Figures {
        few_share: few as f64 / total as f64,
        light_p95: light_waits
            .get(light_waits.len() * 95 / 100)
            .copied()
            .unwrap_or(0.0),
        flood_worst,
    }
}

fn charge(queues: &mut [FairQueue<Item>], served: &[[u64; 3]], synced: &[[u64; 3]]) {
    let since = |entry: usize, team: usize| served[entry][team] - synced[entry][team];
    let mut totals = BTreeMap::new();
    for team in 0..TEAMS.len() {
        totals.insert(
            team,
            (0..queues.len())
                .map(|entry| since(entry, team))
                .sum::<u64>(),
        );
    }
    for (entry, queue) in queues.iter_mut().enumerate() {
        let charges: Vec<(TeamId, u32, u64)> = totals
            .iter()
            .map(|(team, total)| (TeamId::from(TEAMS[*team]), 1, total - since(entry, *team)))
            .collect();
        queue.charge_remote_service(&charges);
    }
}

fn main() {
    println!(
        "{:>7} {:>8} {:>8} {:>8} | {:>8} {:>9} {:>9} | {:>9} {:>11}",
        "entries",
        "present",
        "charged",
        "lead",
        "share",
        "entitled",
        "attained",
        "light p95",
        "flood worst"
    );
    for entries in [1, 3, 9, 50, 400] {
        let presence = (entries / 3).max(1);
        // Half of what the light team leaves, but no more than the entries that it is present at.
        let entitled = (0.9 / 2.0_f64).min(0.9 * presence as f64 / entries as f64);
        for (is_charged, lead_tokens) in [(false, 0), (true, 2000), (true, 20_000), (true, 200_000)]
        {
            let figures = run(entries, presence, is_charged, lead_tokens);
            println!(
                "{entries:>7} {presence:>8} {is_charged:>8} {lead_tokens:>8} | {:>8.3} {entitled:>9.3} {:>8.0}% | {:>7.2} s {:>9.1} s",
                figures.few_share,
                100.0 * figures.few_share / entitled,
                figures.light_p95,
                figures.flood_worst
            );
        }
    }
}
