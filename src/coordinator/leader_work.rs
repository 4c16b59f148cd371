use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant},
};

use spdlog::prelude::*;

/// Interval of the log line.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which the delay of the leader's tasks is measured.
const PROBE_INTERVAL: Duration = Duration::from_millis(50);

/// Counters of what the leader does for gateways, for a log line each second. They tell a leader that
/// is asked too much from one that has no tokens.
#[derive(Debug, Default)]
pub struct LeaderWork {
    /// Answered syncs.
    pub syncs: AtomicU64,
    /// Answered syncs of delegates.
    pub delegate_syncs: AtomicU64,
    /// Syncs that this coordinator has answered in the leader's place.
    pub delegated_syncs: AtomicU64,
    /// Answered requests for tokens.
    pub grant_requests: AtomicU64,
    /// Datagrams that were received on the port for tokens.
    pub grant_datagrams: AtomicU64,
    /// Processor time of answers to syncs, in microseconds.
    pub sync_time_us: AtomicU64,
    /// Processor time of answers to requests for tokens, in microseconds.
    pub grant_time_us: AtomicU64,
    /// Rounds of the order dispatcher.
    pub rounds: AtomicU64,
    /// Processor time of these rounds, in microseconds.
    pub round_time_us: AtomicU64,
    /// Calls to engines, for their status or with an order.
    pub engine_calls: AtomicU64,
    /// Changes of the target list that were published.
    pub publications: AtomicU64,
}

impl LeaderWork {
    /// Adds to a counter.
    pub fn add(counter: &AtomicU64, count: u64) {
        counter.fetch_add(count, Ordering::Relaxed);
    }

    /// Runs a part of the work that does not wait, and adds the time that it takes to a counter.
    pub fn timed<T>(counter: &AtomicU64, work: impl FnOnce() -> T) -> T {
        let started_at = Instant::now();
        let result = work();
        let micros = u64::try_from(started_at.elapsed().as_micros()).unwrap_or(u64::MAX);
        Self::add(counter, micros);
        result
    }

    /// Logs the counters while they change, until the task is dropped.
    ///
    /// `tokens` returns the free and the outstanding tokens of all teams.
    pub async fn run(&self, tokens: impl Fn() -> (u64, u64)) {
        loop {
            let started_at = Instant::now();
            let mut longest_delay = Duration::ZERO;
            while started_at.elapsed() < LOG_INTERVAL {
                let probed_at = Instant::now();
                tokio::time::sleep(PROBE_INTERVAL).await;
                let delay = probed_at.elapsed().saturating_sub(PROBE_INTERVAL);
                longest_delay = longest_delay.max(delay);
            }
            let take = |counter: &AtomicU64| counter.swap(0, Ordering::Relaxed);
            let (syncs, grant_requests) = (take(&self.syncs), take(&self.grant_requests));
            let [sync_ms, grant_ms, round_ms] =
                [&self.sync_time_us, &self.grant_time_us, &self.round_time_us]
                    .map(|counter| take(counter) / 1_000);
            let [rounds, engine_calls, publications, grant_datagrams] = [
                &self.rounds,
                &self.engine_calls,
                &self.publications,
                &self.grant_datagrams,
            ]
            .map(take);
            let delegate_syncs = take(&self.delegate_syncs);
            let answered_syncs = take(&self.delegated_syncs);
            if syncs + grant_requests + answered_syncs == 0 {
                continue;
            }
            let (free_tokens, outstanding_tokens) = tokens();
            info!("coordinator: work", kv: {
                syncs = syncs,
                delegate_syncs = delegate_syncs,
                delegated_syncs = answered_syncs,
                grant_datagrams = grant_datagrams,
                grant_requests = grant_requests,
                free_tokens = free_tokens,
                outstanding_tokens = outstanding_tokens,
                sync_ms = sync_ms,
                grant_ms = grant_ms,
                rounds = rounds,
                round_ms = round_ms,
                engine_calls = engine_calls,
                publications = publications,
                period_ms = started_at.elapsed().as_millis(),
                longest_delay_ms = longest_delay.as_millis(),
            });
        }
    }
}
