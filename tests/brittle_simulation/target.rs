use std::{collections::VecDeque, time::Duration};

use super::gateway::WaitingRequest;

/// Time for which a target that has fallen over serves nothing.
const DOWN_TIME: Duration = Duration::from_secs(2);
const WINDOW: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetAnswer {
    Served,
    Rejected,
    Lost,
}

/// A target that lets no request wait.
pub struct SimulatedTarget {
    slots: usize,
    limit: usize,
    running: Vec<(Duration, usize, WaitingRequest)>,
    rejected_at: VecDeque<Duration>,
    down_until: Duration,
    pub falls: usize,
}

impl SimulatedTarget {
    pub fn new(slots: u32, limit: u32) -> Self {
        Self {
            slots: slots as usize,
            limit: limit as usize,
            running: Vec::new(),
            rejected_at: VecDeque::new(),
            down_until: Duration::ZERO,
            falls: 0,
        }
    }

    pub fn is_up(&self, now: Duration) -> bool {
        now >= self.down_until
    }

    /// Returns the number of requests that run.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Takes a request that will run for some time, or returns it with an answer.
    pub fn accept(
        &mut self,
        gateway: usize,
        request: WaitingRequest,
        now: Duration,
        time: Duration,
    ) -> Option<(WaitingRequest, TargetAnswer)> {
        if !self.is_up(now) {
            return Some((request, TargetAnswer::Lost));
        }
        if self.running.len() < self.slots {
            self.running.push((now + time, gateway, request));
            return None;
        }
        self.rejected_at.push_back(now);
        self.rejected_at.retain(|at| now < *at + WINDOW);
        if self.rejected_at.len() > self.limit {
            self.rejected_at.clear();
            self.falls += 1;
            self.down_until = now + DOWN_TIME;
        }
        Some((request, TargetAnswer::Rejected))
    }

    /// Returns the requests that end now.
    pub fn step(&mut self, now: Duration) -> Vec<(usize, WaitingRequest, TargetAnswer)> {
        let (ended, running): (Vec<_>, Vec<_>) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|(end, ..)| *end <= now || now < self.down_until);
        self.running = running;
        let answer = if self.is_up(now) {
            TargetAnswer::Served
        } else {
            TargetAnswer::Lost
        };
        let ended = ended.into_iter();
        ended
            .map(|(_, gateway, request)| (gateway, request, answer))
            .collect()
    }
}
