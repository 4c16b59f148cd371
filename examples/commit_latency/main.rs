//! Measures the replicated log: commit latency and rate against the disk's own sync cost, the gap
//! after the leader's death, restart time against log length, and memory per entry.
//!
//! `cargo run --release --example commit_latency -- [disk|commit|failover|restart]...`; without
//! arguments it runs all parts. Data folders are made in the system's temporary folder.

mod commit;
mod failover;
mod local;
mod restart;

use std::{fs::File, io::Write, time::Instant};

use hdrhistogram::Histogram;
use tempfile::TempDir;

/// Appends and syncs of the disk measurement.
const DISK_ROUNDS: usize = 1_000;
/// Bytes of one append, about those of a journal record with a claim.
const RECORD_BYTES: usize = 256;

#[tokio::main]
async fn main() {
    spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
    let parts: Vec<String> = std::env::args().skip(1).collect();
    let wanted = |part: &str| parts.is_empty() || parts.iter().any(|named| named == part);
    if wanted("disk") || wanted("commit") {
        measure_disk();
    }
    if wanted("commit") {
        commit::measure().await;
        measure_disk();
    }
    if wanted("failover") {
        failover::measure().await;
    }
    if wanted("restart") {
        restart::measure().await;
    }
}

/// Prints the cost of an append and a sync without anything else.
fn measure_disk() {
    let folder = TempDir::new().expect("a temporary folder can be made");
    let mut file = File::create(folder.path().join("probe")).expect("the file can be made");
    let mut taken = microseconds();
    for _ in 0..DISK_ROUNDS {
        let begun = Instant::now();
        file.write_all(&[7; RECORD_BYTES])
            .expect("the disk has room");
        file.sync_data().expect("the disk works");
        record(&mut taken, begun);
    }
    println!(
        "disk: append of {RECORD_BYTES} bytes and sync, {}",
        quantiles(&taken)
    );
}

/// A histogram of times up to a minute, in microseconds.
fn microseconds() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("the bounds are supported")
}

fn record(taken: &mut Histogram<u64>, begun: Instant) {
    let micros = u64::try_from(begun.elapsed().as_micros()).unwrap_or(u64::MAX);
    taken.saturating_record(micros);
}

fn quantiles(taken: &Histogram<u64>) -> String {
    let at = |quantile| taken.value_at_quantile(quantile);
    format!("p50 {} us, p99 {} us", at(0.5), at(0.99))
}
