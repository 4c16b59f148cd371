//! Measures the time of target selection by the number of targets, models and entries.

use std::{hint::black_box, time::Duration};

use compact_str::format_compact;
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use waxwinglatch::{
    region::DataCentreFilter,
    route::{
        LoadReport, PoolId, PrefixBlock, ReplicaSpec, ReplicaTable, RetryBudget, RouteRequest,
        RouteTuning,
    },
};

const NOW: Duration = Duration::from_secs(10);

fn pool(model: usize) -> PoolId {
    PoolId::Model(format_compact!("model-{model}"))
}

/// Returns a table in which each target holds the models `models_of(target)`.
fn table(targets: usize, models_of: impl Fn(usize) -> Vec<usize>) -> ReplicaTable {
    let mut table = ReplicaTable::new(RouteTuning::default(), &[]);
    table.set_entry_count(400);
    for index in 0..targets {
        let target = format_compact!("target-{index}");
        table.upsert(&ReplicaSpec {
            target: target.clone(),
            data_centre: "dc-1".into(),
            slots: 16,
            pools: models_of(index)
                .into_iter()
                .map(|model| (pool(model), Some("1".into())))
                .collect(),
        });
        let running = u32::try_from(index * 7 % 20).unwrap_or(0);
        table.apply_report(
            &target,
            LoadReport {
                running,
                queued: 0,
                measured_at: NOW,
            },
        );
    }
    table
}

fn blocks() -> Vec<PrefixBlock> {
    (1..=16_u32)
        .map(|step| PrefixBlock {
            hash: u64::from(step),
            tokens: step * 256,
        })
        .collect()
}

fn bench_choose(
    name: &str,
    sizes: [usize; 4],
    make_table: impl Fn(usize) -> ReplicaTable,
    criterion: &mut Criterion,
) {
    let mut group = criterion.benchmark_group("route/choose");
    let (blocks, pool) = (blocks(), pool(0));
    let version = "1".into();
    let request = RouteRequest {
        pool: &pool,
        version: Some(&version),
        prompt_tokens: 5000,
        prefix: &blocks,
        tried: &[],
        data_centres: &DataCentreFilter::Any,
        priority: 4,
        warmth: None,
    };
    for size in sizes {
        let mut table = make_table(size);
        for holder in 0..3 {
            table.record_prefixes(&format_compact!("target-{holder}"), &blocks, NOW);
        }
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        group.bench_function(BenchmarkId::new(name, size), |bencher| {
            bencher.iter(|| table.choose(black_box(&request), NOW, &mut rng));
        });
    }
    group.finish();
}

fn choose(criterion: &mut Criterion) {
    bench_choose(
        "targets",
        [9, 90, 860, 5000],
        |targets| table(targets, |_| vec![0]),
        criterion,
    );
    // Each of the 860 targets holds two models, or more when there are more than 860 models.
    let models_of = |models: usize| {
        move |target: usize| {
            (0..=models / 860 + 1)
                .map(|step| (target + step * 860) % models)
                .collect()
        }
    };
    bench_choose(
        "models",
        [13, 100, 400, 1600],
        |models| table(860, models_of(models)),
        criterion,
    );
    let entries = |entries: usize| {
        let mut table = table(860, |_| vec![0]);
        table.set_entry_count(entries);
        table
    };
    bench_choose("entries", [1, 9, 100, 400], entries, criterion);
}

fn updates(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("route/evaluate");
    for targets in [9, 90, 860, 5000] {
        let mut table = table(targets, |_| vec![0]);
        group.bench_function(BenchmarkId::new("targets", targets), |bencher| {
            bencher.iter(|| table.evaluate_outliers(NOW));
        });
    }
    group.finish();
    let mut group = criterion.benchmark_group("route/retry");
    for teams in [5_usize, 50, 500, 5000] {
        let mut budget = RetryBudget::new();
        let mut next = 0;
        let names: Vec<_> = (0..teams)
            .map(|index| format_compact!("team-{index}"))
            .collect();
        group.bench_function(BenchmarkId::new("teams", teams), |bencher| {
            bencher.iter(|| {
                next = (next + 1) % teams;
                budget.record_request(&names[next], NOW);
                black_box(budget.try_withdraw(&names[next], NOW))
            });
        });
    }
    group.finish();
}

criterion_group! {
    name = benches;
    config = Criterion::default().sample_size(20).measurement_time(Duration::from_millis(600)).warm_up_time(Duration::from_millis(200));
    targets = choose, updates
}
criterion_main!(benches);
