use std::{collections::VecDeque, time::Duration};

/// Longest memory of own sends and ends per target; older ones are in every later report.
const LONGEST_LOG: usize = 256;

/// Load that a target reported.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait inside the target.
    pub queued: u32,
    /// Moment that the report describes, on this entry's clock.
    pub measured_at: Duration,
}

/// Estimate of the requests at one target: the last report and what this entry did since.
#[derive(Debug, Default)]
pub struct LoadEstimate {
    report: LoadReport,
    in_flight: u32,
    /// Prompt tokens of this entry's requests that have no first byte yet.
    prefill_tokens: u32,
    /// The same of other entries, as they tell.
    others_prefill_tokens: u32,
    sends: VecDeque<Duration>,
    ends: VecDeque<Duration>,
}

impl LoadEstimate {
    /// Takes over a report; older reports than the current one change nothing.
    pub fn apply_report(&mut self, report: LoadReport) {
        if report.measured_at < self.report.measured_at {
            return;
        }
        self.report = report;
        for log in [&mut self.sends, &mut self.ends] {
            while log.front().is_some_and(|at| *at <= report.measured_at) {
                log.pop_front();
            }
        }
    }

    /// Counts a request sent by this entry, of which so many prompt tokens are to be processed.
    pub fn record_send(&mut self, prefill_tokens: u32, now: Duration) {
        self.in_flight += 1;
        self.prefill_tokens = self.prefill_tokens.saturating_add(prefill_tokens);
        log(&mut self.sends, now);
    }

    /// Counts the first byte or the failure of a request that was sent with these tokens.
    pub fn record_first_byte(&mut self, prefill_tokens: u32) {
        self.prefill_tokens = self.prefill_tokens.saturating_sub(prefill_tokens);
    }

    /// Takes over how many prompt tokens of other entries wait or are being processed.
    pub fn set_peer_prefill_tokens(&mut self, tokens: u32) {
        self.others_prefill_tokens = tokens;
    }

    /// Prompt tokens that wait or are being processed: those of this entry's requests, and those
    /// that others told of.
    #[must_use]
    pub fn pending_prefill_tokens(&self) -> u32 {
        self.prefill_tokens
            .saturating_add(self.others_prefill_tokens)
    }

    /// Counts a request of this entry that has ended.
    pub fn record_end(&mut self, now: Duration) {
        self.in_flight = self.in_flight.saturating_sub(1);
        log(&mut self.ends, now);
    }

    /// Moment that the last report describes.
    #[must_use]
    pub fn reported_at(&self) -> Duration {
        self.report.measured_at
    }

    /// Requests of this entry that have not ended.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the expected number of requests at the target. `scale` is how many requests of all
    /// entries one of this entry's stands for.
    #[must_use]
    #[allow(clippy::cast_precision_loss)] // Counts are far below 2^24.
    pub fn expected_requests(&self, scale: f32) -> f32 {
        let reported = (self.report.running + self.report.queued) as f32;
        let change = self.sends.len() as f32 - self.ends.len() as f32;
        (reported + change * scale).max(self.in_flight as f32)
    }
}

fn log(moments: &mut VecDeque<Duration>, now: Duration) {
    if moments.len() == LONGEST_LOG {
        moments.pop_front();
    }
    moments.push_back(now);
}
