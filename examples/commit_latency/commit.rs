use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use waxwinglatch::voter::VoterHandle;

use crate::{
    local::{LocalDaemons, claim},
    microseconds, record,
};

/// Time of each measurement, after a warm-up of a quarter of it.
const MEASURED: Duration = Duration::from_secs(4);

/// Prints commit latency and rate by number of voters and proposers.
pub async fn measure() {
    println!("\ncommits of claims through the leader's handle, {MEASURED:?} each");
    println!("| voters | proposers | p50 us | p99 us | commits/s |");
    println!("| --- | --- | --- | --- | --- |");
    for voters in [1, 3, 5] {
        let fleet = LocalDaemons::start(voters);
        for proposers in [1, 16, 128] {
            let leader = fleet.leader().await;
            run(&leader, proposers, MEASURED / 4).await;
            let taken = run(&leader, proposers, MEASURED).await;
            let at = |quantile| taken.value_at_quantile(quantile);
            let rate = taken.len() / MEASURED.as_secs();
            println!(
                "| {voters} | {proposers} | {} | {} | {rate} |",
                at(0.5),
                at(0.99)
            );
        }
        fleet.stop().await;
    }
}

async fn run(leader: &VoterHandle, proposers: usize, time: Duration) -> Histogram<u64> {
    let end = Instant::now() + time;
    let tasks = (0..proposers).map(|_| {
        let leader = leader.clone();
        tokio::spawn(async move {
            let mut taken = microseconds();
            while Instant::now() < end {
                let begun = Instant::now();
                leader.propose(claim()).await.expect("the leader commits");
                record(&mut taken, begun);
            }
            taken
        })
    });
    let mut all = microseconds();
    for taken in futures::future::join_all(tasks).await {
        all.add(taken.expect("no proposer fails"))
            .expect("the ranges agree");
    }
    all
}
