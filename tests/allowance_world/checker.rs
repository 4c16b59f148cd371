use std::{collections::HashMap, time::Duration};

use waxwinglatch::allowance::RateLimit;

/// One change of what a team has used, on the global clock.
#[derive(Clone, Copy, Debug)]
pub enum UseEvent {
    Admitted { id: usize, tokens: u64 },
    Returned { id: usize, tokens: u64 },
}

/// Records every admission of one team and checks every window.
#[derive(Default)]
pub struct WindowChecker {
    events: Vec<(Duration, UseEvent)>,
    /// Limits in force from a moment on.
    limits: Vec<(Duration, RateLimit)>,
}

impl WindowChecker {
    pub fn set_limit(&mut self, at: Duration, limit: RateLimit) {
        self.limits.push((at, limit));
    }

    pub fn record(&mut self, at: Duration, event: UseEvent) {
        self.events.push((at, event));
    }

    /// Greatest number of tokens beyond the bound over all windows. An admission counts in full
    /// from its moment on, less what it has returned by the end of the window.
    pub fn excess(&self, grace: Duration) -> u64 {
        let starts = (0..self.events.len())
            .filter(|at| matches!(self.events[*at].1, UseEvent::Admitted { .. }));
        starts
            .map(|at| self.excess_from(at, grace))
            .max()
            .unwrap_or(0)
    }

    fn excess_from(&self, start: usize, grace: Duration) -> u64 {
        let from = self.events[start].0;
        let mut admitted: HashMap<usize, u64> = HashMap::new();
        let mut net = 0;
        let mut worst = 0;
        for (to, event) in &self.events[start..] {
            match *event {
                UseEvent::Admitted { id, tokens } => {
                    admitted.insert(id, tokens);
                    net += tokens;
                    worst = worst.max(net.saturating_sub(self.bound(from, *to, grace)));
                }
                UseEvent::Returned { id, tokens } if admitted.contains_key(&id) => net -= tokens,
                UseEvent::Returned { .. } => {}
            }
        }
        worst
    }

    /// Greatest burst from `grace` before the window on, plus the integral of the rate over it.
    fn bound(&self, from: Duration, to: Duration, grace: Duration) -> u64 {
        let mut burst = 0;
        let mut earned = 0;
        for (index, (since, limit)) in self.limits.iter().enumerate() {
            let until = self
                .limits
                .get(index + 1)
                .map_or(Duration::MAX, |next| next.0);
            if until > from.saturating_sub(grace) && *since <= to {
                burst = burst.max(limit.burst);
            }
            let overlap = until.min(to).saturating_sub((*since).max(from));
            earned += u128::from(limit.rate) * overlap.as_nanos();
        }
        burst + u64::try_from(earned.div_ceil(1_000_000_000)).unwrap()
    }
}
