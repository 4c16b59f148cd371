use std::{collections::HashMap, time::Duration};

use crate::ids::TeamId;

/// Retries allowed per hundred requests.
const PERCENT: u64 = 10;
/// Traffic is counted over this time and the one before.
const WINDOW: Duration = Duration::from_secs(10);
/// Retries that a team may make in two windows without traffic to earn them; a quiet team would
/// otherwise never retry.
const TEAM_FLOOR: u64 = 3;
/// The same for the whole entry.
const ENTRY_FLOOR: u64 = 10;

/// Bounds retries to a share of the traffic, per team and over the entry, so that retries cannot
/// multiply an overload.
#[derive(Debug, Default)]
pub struct RetryBudget {
    entry: TrafficWindow,
    teams: HashMap<TeamId, TrafficWindow>,
    swept_at: Duration,
}

impl RetryBudget {
    /// Returns a budget without traffic.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a caller's request, which earns part of a retry.
    pub fn record_request(&mut self, team: &TeamId, now: Duration) {
        self.sweep(now);
        self.entry.turn(now);
        self.entry.requests[0] += 1;
        let window = self.teams.entry(team.clone()).or_default();
        window.turn(now);
        window.requests[0] += 1;
    }

    /// Takes a retry from the budgets of the team and of the entry; `false` when either is spent.
    #[must_use]
    pub fn try_withdraw(&mut self, team: &TeamId, now: Duration) -> bool {
        self.entry.turn(now);
        let window = self.teams.entry(team.clone()).or_default();
        window.turn(now);
        if !window.allows(TEAM_FLOOR) || !self.entry.allows(ENTRY_FLOOR) {
            return false;
        }
        window.retries[0] += 1;
        self.entry.retries[0] += 1;
        true
    }

    /// Forgets teams without recent traffic, once per window.
    fn sweep(&mut self, now: Duration) {
        if now < self.swept_at + WINDOW {
            return;
        }
        self.swept_at = now;
        self.teams
            .retain(|_, window| now < window.started_at + WINDOW * 2);
    }
}

/// Counts of the current window and of the one before.
#[derive(Debug, Default)]
struct TrafficWindow {
    started_at: Duration,
    requests: [u64; 2],
    retries: [u64; 2],
}

impl TrafficWindow {
    fn turn(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.started_at);
        if elapsed < WINDOW {
            return;
        }
        let is_next = elapsed < WINDOW * 2;
        self.requests = [0, if is_next { self.requests[0] } else { 0 }];
        self.retries = [0, if is_next { self.retries[0] } else { 0 }];
        self.started_at = now;
    }

    fn allows(&self, floor: u64) -> bool {
        let earned = self.requests.iter().sum::<u64>() * PERCENT / 100;
        self.retries.iter().sum::<u64>() < earned.max(floor)
    }
}
