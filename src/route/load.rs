use std::{collections::VecDeque, time::Duration};

/// Maximum number of send and end times kept per target; older ones are contained in every later
/// report.
const MAX_LOGGED_TIMES: usize = 256;

/// Load reported by a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Running requests.
    pub running: u32,
    /// Requests queued inside the target.
    pub queued: u32,
    /// Time at which the load was measured, on this entry's clock.
    pub measured_at: Duration,
}

/// Estimate of the requests at one target, based on the last report and on the sends and ends of
/// this entry since.
#[derive(Debug, Default)]
pub struct LoadEstimate {
    report: LoadReport,
    in_flight: u32,
    /// Prompt tokens of this entry's requests that have not received a first byte.
    prefill_tokens: u32,
    /// Prompt tokens of other entries' requests without a first byte, as reported by these entries.
    peer_prefill_tokens: u32,
    send_times: VecDeque<Duration>,
    end_times: VecDeque<Duration>,
}

impl LoadEstimate {
    /// Applies a report. Reports that are older than the current one are ignored.
    pub fn apply_report(&mut self, report: LoadReport) {
        if report.measured_at < self.report.measured_at {
            return;
        }
        self.report = report;
        for times in [&mut self.send_times, &mut self.end_times] {
            while times
                .front()
                .is_some_and(|time| *time <= report.measured_at)
            {
                times.pop_front();
            }
        }
    }

    /// Records a request sent by this entry, with the number of prompt tokens to process.
    pub fn record_send(&mut self, prefill_tokens: u32, now: Duration) {
        self.in_flight += 1;
        self.prefill_tokens = self.prefill_tokens.saturating_add(prefill_tokens);
        push_time(&mut self.send_times, now);
    }

    /// Records the first byte or the failure of a request that was sent with `prefill_tokens`.
    pub fn record_first_byte(&mut self, prefill_tokens: u32) {
        self.prefill_tokens = self.prefill_tokens.saturating_sub(prefill_tokens);
    }

    /// Sets the number of prompt tokens of other entries that are queued or being processed.
    pub fn set_peer_prefill_tokens(&mut self, tokens: u32) {
        self.peer_prefill_tokens = tokens;
    }

    /// Returns the prompt tokens that are queued or being processed: those of this entry's requests
    /// and those reported by other entries.
    #[must_use]
    pub fn pending_prefill_tokens(&self) -> u32 {
        self.prefill_tokens.saturating_add(self.peer_prefill_tokens)
    }

    /// Records the end of a request of this entry.
    pub fn record_end(&mut self, now: Duration) {
        self.in_flight = self.in_flight.saturating_sub(1);
        push_time(&mut self.end_times, now);
    }

    /// Returns the measurement time of the last report.
    #[must_use]
    pub fn reported_at(&self) -> Duration {
        self.report.measured_at
    }

    /// Returns the number of this entry's requests that have not ended.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the expected number of requests at the target. `send_weight` is the number of
    /// requests of all entries that one request of this entry represents.
    #[must_use]
    #[allow(clippy::cast_precision_loss)] // Counts are far below 2^24.
    pub fn expected_requests(&self, send_weight: f32) -> f32 {
        let reported = (self.report.running + self.report.queued) as f32;
        let change = self.send_times.len() as f32 - self.end_times.len() as f32;
        (reported + change * send_weight).max(self.in_flight as f32)
    }
}

fn push_time(times: &mut VecDeque<Duration>, now: Duration) {
    if times.len() == MAX_LOGGED_TIMES {
        times.pop_front();
    }
    times.push_back(now);
}
