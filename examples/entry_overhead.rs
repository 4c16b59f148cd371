//! Measures what an entry adds to a call: latency against a direct call to the same stand-in,
//! requests per second and core, and memory with many open streams.
//!
//! Build all programs in release mode first and run
//! `cargo run --release --example entry_overhead`; figures are in docs/measurements-entry.md.

#[path = "entry_overhead/setup.rs"]
mod setup;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use reqwest::Client;
use serde_json::{Value, json};
use setup::{KEY, MODEL, SLOW_MODEL, Setup};

/// Pairs of calls in each latency part with small bodies; a quarter of that with large ones.
const LATENCY_CALLS: usize = 4_000;
/// Calls before the first one that counts, which open connections.
const WARM_UP_CALLS: usize = 100;
/// Callers at once in the throughput part.
const THROUGHPUT_CALLERS: usize = 32;
/// Length of the throughput part.
const THROUGHPUT_TIME: Duration = Duration::from_secs(8);
/// Streams open at once in the memory part.
const OPEN_STREAMS: u32 = 1_000;
/// Time for which the streams run before memory is read.
const SETTLE_TIME: Duration = Duration::from_secs(2);

#[tokio::main]
async fn main() {
    let setup = Setup::start().await;
    let client = waxwinglatch::client::http_client().expect("a client can be built");
    latency(&setup, &client).await;
    throughput(&setup).await;
    memory(&setup, &client).await;
}

/// Times direct calls and calls through the entry in turn, so that both meet the same load of the
/// machine, with a large body in each direction.
async fn latency(setup: &Setup, client: &Client) {
    let large = "word ".repeat(8_000);
    let parts = [
        ("small both ways", "one two", 2, LATENCY_CALLS),
        ("40 kB request", large.as_str(), 1, LATENCY_CALLS / 4),
        ("46 kB response", "wordword", 3_500, LATENCY_CALLS / 4),
    ];
    for (name, prompt, tokens, calls) in parts {
        let body = json!({ "model": MODEL, "prompt": prompt, "max_tokens": tokens });
        let mut direct = histogram();
        let mut through = histogram();
        for round in 0..calls + WARM_UP_CALLS {
            let direct_time = timed(client, &setup.engine_url, &body).await;
            let through_time = timed(client, &setup.entry_url, &body).await;
            if round >= WARM_UP_CALLS {
                record(&mut direct, direct_time);
                record(&mut through, through_time);
            }
        }
        print_rows(name, &direct, &through);
    }
}

async fn timed(client: &Client, url: &str, body: &Value) -> Duration {
    let started = Instant::now();
    let call = client.post(format!("{url}/v1/completions"));
    let answer = call.bearer_auth(KEY).json(body).send().await;
    let answer = answer.expect("a reply");
    assert!(answer.status().is_success(), "{:?}", answer.text().await);
    answer.bytes().await.expect("a body");
    started.elapsed()
}

/// Sends calls from many callers and divides their number by the processor time of the entry.
async fn throughput(setup: &Setup) {
    let body = Arc::new(json!({ "model": MODEL, "prompt": "one two", "max_tokens": 2 }));
    let before = setup.entry_cpu_time();
    let started = Instant::now();
    let callers: Vec<_> = (0..THROUGHPUT_CALLERS)
        .map(|_| {
            let client = waxwinglatch::client::http_client().expect("a client can be built");
            let url = setup.entry_url.clone();
            let body = Arc::clone(&body);
            tokio::spawn(async move {
                let mut count = 0_u32;
                while started.elapsed() < THROUGHPUT_TIME {
                    timed(&client, &url, &body).await;
                    count += 1;
                }
                count
            })
        })
        .collect();
    let mut count = 0;
    for caller in callers {
        count += caller.await.expect("no panic");
    }
    let wall = started.elapsed().as_secs_f64();
    let busy = setup.entry_cpu_time().saturating_sub(before).as_secs_f64();
    println!(
        "throughput, {THROUGHPUT_CALLERS} callers: {:.0} requests/s; entry {busy:.2} s of processor \
         time in {wall:.2} s, {:.0} requests/s per core",
        f64::from(count) / wall,
        f64::from(count) / busy
    );
}

/// Opens many streams that go on for long and reads the entry's resident memory.
async fn memory(setup: &Setup, client: &Client) {
    let idle = setup.entry_memory_kib();
    let body =
        json!({ "model": SLOW_MODEL, "prompt": "slow", "max_tokens": 100_000, "stream": true });
    let mut streams = Vec::new();
    for _ in 0..OPEN_STREAMS {
        let call = client.post(format!("{}/v1/completions", setup.entry_url));
        let answer = call.bearer_auth(KEY).json(&body).send().await;
        let answer = answer.expect("a reply");
        assert!(answer.status().is_success(), "{:?}", answer.text().await);
        streams.push(answer);
    }
    tokio::time::sleep(SETTLE_TIME).await;
    let open = setup.entry_memory_kib();
    println!(
        "memory: {idle} KiB resident after the parts above, {open} KiB with {OPEN_STREAMS} open \
         streams, {:.1} KiB per stream",
        (f64::from(open) - f64::from(idle)) / f64::from(OPEN_STREAMS)
    );
    drop(streams);
}

fn histogram() -> Histogram<u64> {
    Histogram::new(3).expect("the precision is usable")
}

fn record(histogram: &mut Histogram<u64>, time: Duration) {
    let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
    histogram.record(micros).expect("the range grows");
}

fn print_rows(name: &str, direct: &Histogram<u64>, through: &Histogram<u64>) {
    for (label, quantile) in [("p50", 0.5), ("p99", 0.99)] {
        let direct = direct.value_at_quantile(quantile);
        let through = through.value_at_quantile(quantile);
        println!(
            "{name}, {label}: direct {direct} us, through the entry {through} us, added {} us",
            through.saturating_sub(direct)
        );
    }
}
