use std::{collections::VecDeque, time::Duration};

/// Heartbeat rounds of one leader with the time at which each was started.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct RoundLog {
    current: u64,
    started: VecDeque<(u64, Duration)>,
}

impl RoundLog {
    /// Starts a round. Rounds older than `horizon` are forgotten: an answer to them proves nothing
    /// any more.
    pub(super) fn start(&mut self, now: Duration, horizon: Duration) {
        while self
            .started
            .front()
            .is_some_and(|(_, at)| *at + horizon < now)
        {
            self.started.pop_front();
        }
        self.current += 1;
        self.started.push_back((self.current, now));
    }

    pub(super) fn current(&self) -> u64 {
        self.current
    }

    /// Returns when a round was started.
    pub(super) fn started_at(&self, round: u64) -> Option<Duration> {
        let position = self
            .started
            .binary_search_by_key(&round, |(number, _)| *number)
            .ok()?;
        Some(self.started[position].1)
    }
}
