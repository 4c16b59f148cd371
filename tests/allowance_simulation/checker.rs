use std::{collections::HashMap, time::Duration};

use waxwinglatch::allowance::RateLimit;

/// A change of the tokens used by a team.
#[derive(Clone, Copy, Debug)]
pub enum UsageEvent {
    Admitted { id: usize, tokens: u64 },
    Returned { id: usize, tokens: u64 },
}

/// Records the usage of one team and checks the bound over every window. Times are on the global
/// clock.
#[derive(Default)]
pub struct WindowChecker {
    events: Vec<(Duration, UsageEvent)>,
    /// Limits with the time from which each is in force.
    limits: Vec<(Duration, RateLimit)>,
}

impl WindowChecker {
    pub fn set_limit(&mut self, at: Duration, limit: RateLimit) {
        self.limits.push((at, limit));
    }

    pub fn record(&mut self, at: Duration, event: UsageEvent) {
        self.events.push((at, event));
    }

    /// Returns the maximum number of tokens in excess of the bound over all windows. An admission
    /// counts in full from its time on, minus the tokens returned by the end of the window.
    pub fn excess(&self, grace: Duration) -> u64 {
        let starts = (0..self.events.len())
            .filter(|at| matches!(self.events[*at].1, UsageEvent::Admitted { .. }));
        starts
            .map(|at| self.excess_from(at, grace))
            .max()
            .unwrap_or(0)
    }

    fn excess_from(&self, start: usize, grace: Duration) -> u64 {
        let from = self.events[start].0;
        let mut admitted: HashMap<usize, u64> = HashMap::new();
        let mut net = 0;
        let mut max_excess = 0;
        for (to, event) in &self.events[start..] {
            match *event {
                UsageEvent::Admitted { id, tokens } => {
                    admitted.insert(id, tokens);
                    net += tokens;
                    max_excess = max_excess.max(net.saturating_sub(self.bound(from, *to, grace)));
                }
                UsageEvent::Returned { id, tokens } if admitted.contains_key(&id) => net -= tokens,
                UsageEvent::Returned { .. } => {}
            }
        }
        max_excess
    }

    /// Returns the maximum burst from `grace` before the window to its end, plus the integral of
    /// the rate over the window.
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
