//! Measures the time of allowance operations by the number of teams and entries.

use std::{hint::black_box, time::Duration};

use compact_str::format_compact;
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use waxwinglatch::{
    allowance::{AllowanceLedger, AllowanceShare, RateLimit, ReservationOutcome, ShareReport},
    ids::{EntryKey, TeamId},
};

const LIMIT: RateLimit = RateLimit {
    rate: 1_000_000_000,
    burst: 1_000_000_000_000,
};
const START: Duration = Duration::from_secs(10);

fn team(index: usize) -> TeamId {
    format_compact!("team-{index}")
}

fn entry(index: usize) -> EntryKey {
    EntryKey {
        vm: format_compact!("vm-{index}"),
        incarnation: 1,
    }
}

fn ledger(teams: usize) -> AllowanceLedger {
    let mut ledger = AllowanceLedger::new(1, Duration::ZERO);
    for index in 0..teams {
        ledger.set_limit(&team(index), LIMIT, START);
    }
    ledger
}

fn admission(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("allowance/admission");
    for teams in [5, 50, 500, 5000] {
        let mut share = AllowanceShare::new();
        let mut ledger = ledger(teams);
        for index in 0..teams {
            share.set_waiting(&team(index), 1_000_000, 1_000_000);
        }
        let grants = ledger.answer_reports(&entry(0), &share.make_reports(START), START);
        share.apply_grants(&grants, START);
        let names: Vec<TeamId> = (0..teams).map(team).collect();
        let mut next = 0;
        group.bench_function(BenchmarkId::new("teams", teams), |bencher| {
            bencher.iter(|| {
                next = (next + 1) % teams;
                let granted = share.reserve(&names[next], 500, START);
                if let ReservationOutcome::Granted(id) = granted {
                    share.settle(id, 0);
                }
                black_box(granted)
            });
        });
    }
    group.finish();
}

fn exchange(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("allowance/exchange");
    for entries in [9, 50, 400, 1600] {
        let mut ledger = ledger(1);
        let mut reports: Vec<ShareReport> = Vec::new();
        for index in 0..entries {
            let mut share = AllowanceShare::new();
            share.set_waiting(&team(0), 1000, 1000);
            let grants = ledger.answer_reports(&entry(index), &share.make_reports(START), START);
            share.apply_grants(&grants, START);
            reports.extend(share.make_reports(START));
        }
        let keys: Vec<EntryKey> = (0..entries).map(entry).collect();
        let mut next = 0;
        group.bench_function(BenchmarkId::new("entries", entries), |bencher| {
            bencher.iter(|| {
                next = (next + 1) % entries;
                ledger.answer_reports(&keys[next], black_box(&reports[next..=next]), START)
            });
        });
    }
    group.finish();
}

criterion_group! {
    name = benches;
    config = Criterion::default().sample_size(20).measurement_time(Duration::from_millis(600)).warm_up_time(Duration::from_millis(200));
    targets = admission, exchange
}
criterion_main!(benches);
