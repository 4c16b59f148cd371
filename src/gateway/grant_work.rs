use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use spdlog::prelude::*;

/// Interval of the log line about requests for tokens.
const WORK_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Counters for a log line each second, which tells lost requests for tokens from a leader without tokens.
#[derive(Default)]
pub struct GrantWork {
    pub requests: AtomicU64,
    reports: AtomicU64,
    pub replies: AtomicU64,
    pub timeouts: AtomicU64,
    pub failures: AtomicU64,
    longest_reply_ms: AtomicU64,
}

impl GrantWork {
    /// Counts one.
    pub fn add(counter: &AtomicU64) {
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts the teams that a request reports.
    pub fn add_reports(&self, reports: usize) {
        let reports = u64::try_from(reports).unwrap_or(u64::MAX);
        self.reports.fetch_add(reports, Ordering::Relaxed);
    }

    /// Records how long after its request a reply came.
    pub fn record_reply_age(&self, age: Duration) {
        let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        self.longest_reply_ms.fetch_max(age_ms, Ordering::Relaxed);
    }

    /// Logs the counters while requests are repeated or fail, until the task is dropped.
    pub async fn run(&self) {
        loop {
            tokio::time::sleep(WORK_LOG_INTERVAL).await;
            let take = |counter: &AtomicU64| counter.swap(0, Ordering::Relaxed);
            let [
                requests,
                reports,
                replies,
                timeouts,
                failures,
                longest_reply_ms,
            ] = [
                &self.requests,
                &self.reports,
                &self.replies,
                &self.timeouts,
                &self.failures,
                &self.longest_reply_ms,
            ]
            .map(take);
            if timeouts + failures > 0 {
                info!("gateway: requests for tokens", kv: {
                    requests = requests,
                    reports = reports,
                    replies = replies,
                    timeouts = timeouts,
                    failures = failures,
                    longest_reply_ms = longest_reply_ms,
                });
            }
        }
    }
}
