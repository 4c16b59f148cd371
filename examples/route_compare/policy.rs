use std::time::Duration;

use compact_str::format_compact;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use waxwinglatch::{
    ids::TargetId,
    region::DataCentreFilter,
    route::{
        ExchangeOutcome, LoadEstimate, LoadReport, PoolId, PrefixBlock, ReplicaSpec, ReplicaTable,
        RouteChoice, RouteRequest, RouteTuning,
    },
};

use crate::engine::{OWN_TOKENS, PREFIX_TOKENS, SLOTS};

#[derive(Clone, Copy, Debug)]
pub enum PolicyKind {
    Random,
    RoundRobin,
    LeastLoaded,
    TwoChoices,
    Built(RouteTuning),
}

impl PolicyKind {
    pub fn name(&self) -> &'static str {
        match self {
            Self::Random => "random",
            Self::RoundRobin => "robin",
            Self::LeastLoaded => "least",
            Self::TwoChoices => "two",
            Self::Built(_) => "built",
        }
    }
}

/// The choice at one entry. The simple policies estimate load as the built one does, by the last
/// report and their own sends since.
pub struct Policy {
    kind: PolicyKind,
    loads: Vec<LoadEstimate>,
    table: ReplicaTable,
    pool: PoolId,
    names: Vec<TargetId>,
    turn: usize,
}

impl Policy {
    pub fn new(kind: PolicyKind, engines: usize, entries: usize, first: usize) -> Self {
        let tuning = if let PolicyKind::Built(tuning) = kind {
            tuning
        } else {
            RouteTuning::default()
        };
        let pool = PoolId::Model("model".into());
        let centres: Vec<_> = (0..4_u64)
            .map(|centre| {
                (
                    format_compact!("dc-{centre}"),
                    Duration::from_micros(3000 * u64::from(centre != first as u64 % 4)),
                )
            })
            .collect();
        let mut table = ReplicaTable::new(tuning, &centres);
        table.set_entry_count(entries);
        let names: Vec<TargetId> = (0..engines)
            .map(|index| format_compact!("engine-{index}"))
            .collect();
        for (index, name) in names.iter().enumerate() {
            table.upsert(&ReplicaSpec {
                target: name.clone(),
                data_centre: format_compact!("dc-{}", index % 4),
                slots: SLOTS,
                pools: vec![(pool.clone(), None)],
            });
        }
        let loads = (0..engines).map(|_| LoadEstimate::default()).collect();
        Self {
            kind,
            loads,
            table,
            pool,
            names,
            turn: first,
        }
    }

    pub fn report(&mut self, engine: usize, running: u32, queued: u32, at: Duration) {
        let report = LoadReport {
            running,
            queued,
            measured_at: at,
        };
        if let PolicyKind::Built(_) = self.kind {
            self.table.apply_report(&self.names[engine], report);
        } else {
            self.loads[engine].apply_report(report);
        }
    }

    pub fn choose(
        &mut self,
        prefix: usize,
        now: Duration,
        rng: &mut ChaCha8Rng,
    ) -> (usize, Option<RouteChoice>) {
        let count = self.names.len();
        let load = |index: &usize| self.loads[*index].expected_requests(1.0);
        let mut choice = None;
        let index = match self.kind {
            PolicyKind::Random => rng.random_range(0..count),
            PolicyKind::RoundRobin => {
                self.turn += 1;
                self.turn % count
            }
            PolicyKind::LeastLoaded => {
                let start = rng.random_range(0..count);
                let all = (0..count).map(|step| (start + step) % count);
                all.min_by(|a, b| load(a).total_cmp(&load(b))).unwrap()
            }
            PolicyKind::TwoChoices => {
                let two = [rng.random_range(0..count), rng.random_range(0..count)];
                *two.iter()
                    .min_by(|a, b| load(a).total_cmp(&load(b)))
                    .unwrap()
            }
            PolicyKind::Built(_) => {
                let blocks = blocks(prefix);
                let request = RouteRequest {
                    pool: &self.pool,
                    version: None,
                    prompt_tokens: PREFIX_TOKENS + OWN_TOKENS,
                    prefix: &blocks,
                    tried: &[],
                    data_centres: &DataCentreFilter::Any,
                    priority: 4,
                    warmth: None,
                };
                let chosen = self.table.choose(&request, now, rng).unwrap();
                let index = self
                    .names
                    .iter()
                    .position(|name| *name == chosen.target)
                    .unwrap();
                self.table.record_prefixes(&chosen.target, &blocks, now);
                self.table.record_send(&chosen, now);
                choice = Some(chosen);
                index
            }
        };
        self.loads[index].record_send(0, now);
        (index, choice)
    }

    pub fn first_byte(
        &mut self,
        choice: &RouteChoice,
        cached_tokens: u32,
        sent_at: Duration,
        now: Duration,
    ) {
        self.table.record_cached_tokens(choice, cached_tokens);
        let first_byte = now.saturating_sub(sent_at);
        self.table
            .record_outcome(choice, ExchangeOutcome::Answered { first_byte }, now);
    }

    pub fn end(&mut self, engine: usize, now: Duration) {
        self.loads[engine].record_end(now);
        self.table.record_end(&self.names[engine], now);
    }

    pub fn evaluate(&mut self, now: Duration) {
        self.table.evaluate_outliers(now);
    }
}

fn blocks(prefix: usize) -> Vec<PrefixBlock> {
    let block = |step: u32| PrefixBlock {
        hash: prefix as u64 * 100 + u64::from(step),
        tokens: PREFIX_TOKENS / 8 * step,
    };
    (1..=8).map(block).collect()
}
