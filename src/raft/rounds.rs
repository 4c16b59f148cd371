use std::{collections::VecDeque, time::Duration};

/// Recent heartbeat rounds of one leader, each with its start time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct HeartbeatRounds {
    current: u64,
    started: VecDeque<(u64, Duration)>,
}

impl HeartbeatRounds {
    /// Starts a round and removes rounds older than `retention`, whose replies no longer confirm
    /// leadership.
    pub(super) fn start(&mut self, now: Duration, retention: Duration) {
        while self
            .started
            .front()
            .is_some_and(|(_, at)| *at + retention < now)
        {
            self.started.pop_front();
        }
        self.current += 1;
        self.started.push_back((self.current, now));
    }

    pub(super) fn current(&self) -> u64 {
        self.current
    }

    /// Returns the start time of a round; `None` when the round was removed or never started.
    pub(super) fn started_at(&self, round: u64) -> Option<Duration> {
        let position = self
            .started
            .binary_search_by_key(&round, |(number, _)| *number)
            .ok()?;
        Some(self.started[position].1)
    }
}
