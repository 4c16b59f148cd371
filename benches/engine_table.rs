//! Measures what the leader spends on engines by the number of models: one round of planning and
//! one publication of the targets.

use std::{hint::black_box, time::Duration};

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use engine_fleet::NOW;
use waxwinglatch::coordinator::TargetHistory;

#[path = "../tests/engine_fleet/mod.rs"]
mod engine_fleet;

fn leader(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("leader");
    for models in [110, 441, 1_600] {
        let mut fleet = engine_fleet::fleet(models);
        let id = BenchmarkId::new("round without placement", models);
        group.bench_function(id, |bencher| {
            bencher
                .iter(|| black_box(fleet.engines.plan_orders(&fleet.plan, &fleet.gateways, NOW)));
        });
        let mut now = NOW;
        let id = BenchmarkId::new("round with placement", models);
        group.bench_function(id, |bencher| {
            bencher.iter(|| {
                now += Duration::from_millis(200);
                black_box(fleet.engines.plan_orders(&fleet.plan, &fleet.gateways, now))
            });
        });
        let mut history = TargetHistory::new();
        let id = BenchmarkId::new("publication of the full list", models);
        group.bench_function(id, |bencher| {
            bencher.iter(|| black_box(history.update(fleet.engines.targets())));
        });
    }
    group.finish();
}

criterion_group! {
    name = benches;
    config = Criterion::default().sample_size(10).measurement_time(Duration::from_secs(1));
    targets = leader
}
criterion_main!(benches);
