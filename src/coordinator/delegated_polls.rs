use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use crate::{adapter::TargetEntry, ids::TargetId};

/// Time for which a poll waits for a delegate, and then for its result, before the leader polls by itself.
const PICK_UP_TIME: Duration = Duration::from_millis(300);
const RESULT_TIME: Duration = Duration::from_millis(1_000);

/// Polls of engines that delegates carry out for the leader, which has the calls to hundreds of engines to make
/// after a takeover.
#[derive(Debug, Default)]
pub struct DelegatedPolls {
    /// Polls that no delegate has picked up, and since when.
    queue: VecDeque<(TargetEntry, Duration)>,
    /// Polls without a result, and when they were picked up.
    running: HashMap<TargetId, (TargetEntry, Duration)>,
}

impl DelegatedPolls {
    /// Adds a poll.
    pub fn add(&mut self, engine: TargetEntry, now: Duration) {
        self.queue.push_back((engine, now));
    }

    /// Returns at most `count` polls for a delegate.
    pub fn pick_up(&mut self, count: usize, now: Duration) -> Vec<TargetEntry> {
        let count = count.min(self.queue.len());
        let picked: Vec<TargetEntry> = self
            .queue
            .drain(..count)
            .map(|(engine, _)| engine)
            .collect();
        for engine in &picked {
            self.running
                .insert(engine.id.clone(), (engine.clone(), now));
        }
        picked
    }

    /// Returns the number of polls that wait for a delegate.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Records a result, and returns whether it was still awaited.
    pub fn finish(&mut self, engine: &TargetId) -> bool {
        self.running.remove(engine).is_some()
    }

    /// Returns the polls that the leader has to carry out, since delegates took too long.
    pub fn take_overdue(&mut self, now: Duration) -> Vec<TargetEntry> {
        let is_over = |since: Duration, limit| now.saturating_sub(since) >= limit;
        let mut overdue = Vec::new();
        while let Some((_, since)) = self.queue.front()
            && is_over(*since, PICK_UP_TIME)
        {
            overdue.extend(self.queue.pop_front().map(|(engine, _)| engine));
        }
        let late = self
            .running
            .extract_if(|_, (_, since)| is_over(*since, RESULT_TIME));
        overdue.extend(late.map(|(_, (engine, _))| engine));
        overdue
    }
}
