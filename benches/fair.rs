//! Measures the time of queue operations by the number of teams.

use std::{hint::black_box, time::Duration};

use compact_str::format_compact;
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use waxwinglatch::{
    fair::{FairQueue, QueueLimits},
    ids::TeamId,
};

const NOW: Duration = Duration::from_secs(1);
const FAR_DEADLINE: Duration = Duration::from_secs(1_000_000);

fn push_and_pop(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("fair/push_and_pop");
    for teams in [5_usize, 50, 500, 5000] {
        let limits = QueueLimits {
            max_team_items: 100_000,
            max_total_items: 1_000_000,
            max_lead_tokens: 20_000,
        };
        let mut queue = FairQueue::new(limits);
        let names: Vec<TeamId> = (0..teams)
            .map(|index| format_compact!("team-{index}"))
            .collect();
        for item in 0..teams * 4 {
            let _ = queue.push(&names[item % teams], 1, 4, 500, FAR_DEADLINE, NOW, item);
        }
        let mut next = 0;
        group.bench_function(BenchmarkId::new("teams", teams), |bencher| {
            bencher.iter(|| {
                next = (next + 1) % teams;
                let _ = queue.push(&names[next], 1, 4, 500, FAR_DEADLINE, NOW, next);
                black_box(queue.pop(NOW))
            });
        });
    }
    group.finish();
}

fn charge(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("fair/charge_elsewhere");
    for teams in [5_usize, 50, 500, 5000] {
        let mut queue: FairQueue<()> = FairQueue::new(QueueLimits::default());
        let charges: Vec<(TeamId, u32, u64)> = (0..teams)
            .map(|index| (format_compact!("team-{index}"), 1, 1000 + index as u64))
            .collect();
        group.bench_function(BenchmarkId::new("teams", teams), |bencher| {
            bencher.iter(|| queue.charge_remote_service(black_box(&charges)));
        });
    }
    group.finish();
}

criterion_group! {
    name = benches;
    config = Criterion::default().sample_size(20).measurement_time(Duration::from_millis(600)).warm_up_time(Duration::from_millis(200));
    targets = push_and_pop, charge
}
criterion_main!(benches);
