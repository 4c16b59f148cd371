use std::{collections::HashMap, time::Duration};

use crate::ids::TeamId;

/// Number of retries allowed per hundred requests.
const RETRY_PERCENT: u64 = 10;
/// Length of a window; traffic is counted over the current window and the previous one.
const WINDOW: Duration = Duration::from_secs(10);
/// Number of retries that a team may always make in two windows; a team with little traffic could
/// otherwise never retry.
const MIN_TEAM_RETRIES: u64 = 3;
/// Number of retries that the whole entry may always make in two windows.
const MIN_ENTRY_RETRIES: u64 = 10;

/// Limits retries to a share of the traffic, per team and for the whole entry, so that retries
/// cannot amplify an overload.
#[derive(Debug, Default)]
pub struct RetryBudget {
    entry: TrafficWindow,
    teams: HashMap<TeamId, TrafficWindow>,
    cleaned_at: Duration,
}

impl RetryBudget {
    /// Returns a budget without recorded traffic.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a caller's request, which adds a fraction of a retry to the budget.
    pub fn record_request(&mut self, team: &TeamId, now: Duration) {
        self.remove_idle_teams(now);
        self.entry.advance(now);
        self.entry.requests[0] += 1;
        let window = self.teams.entry(team.clone()).or_default();
        window.advance(now);
        window.requests[0] += 1;
    }

    /// Withdraws a retry from the budgets of the team and of the entry. Returns `false` when either
    /// is exhausted.
    #[must_use]
    pub fn try_withdraw(&mut self, team: &TeamId, now: Duration) -> bool {
        self.entry.advance(now);
        let window = self.teams.entry(team.clone()).or_default();
        window.advance(now);
        if !window.has_retry(MIN_TEAM_RETRIES) || !self.entry.has_retry(MIN_ENTRY_RETRIES) {
            return false;
        }
        window.retries[0] += 1;
        self.entry.retries[0] += 1;
        true
    }

    /// Removes teams without recent traffic, once per window.
    fn remove_idle_teams(&mut self, now: Duration) {
        if now < self.cleaned_at + WINDOW {
            return;
        }
        self.cleaned_at = now;
        self.teams
            .retain(|_, window| now < window.started_at + WINDOW * 2);
    }
}

/// Counts of the current window and of the previous one.
#[derive(Debug, Default)]
struct TrafficWindow {
    started_at: Duration,
    requests: [u64; 2],
    retries: [u64; 2],
}

impl TrafficWindow {
    fn advance(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.started_at);
        if elapsed < WINDOW {
            return;
        }
        let is_adjacent = elapsed < WINDOW * 2;
        self.requests = [0, if is_adjacent { self.requests[0] } else { 0 }];
        self.retries = [0, if is_adjacent { self.retries[0] } else { 0 }];
        self.started_at = now;
    }

    fn has_retry(&self, min_retries: u64) -> bool {
        let allowed = self.requests.iter().sum::<u64>() * RETRY_PERCENT / 100;
        self.retries.iter().sum::<u64>() < allowed.max(min_retries)
    }
}
