use std::{
    collections::HashMap,
    sync::{Mutex, PoisonError},
    time::Instant,
};

use crate::{ids::TeamId, route::RetryBudget};

/// Retry budgets of the entry and of each team. A retry needs both.
pub struct RetryLimits {
    started: Instant,
    budgets: Mutex<Budgets>,
}

struct Budgets {
    entry: RetryBudget,
    teams: HashMap<Option<TeamId>, RetryBudget>,
}

impl RetryLimits {
    pub fn new() -> Self {
        let started = Instant::now();
        let entry = RetryBudget::new(started.elapsed());
        Self {
            started,
            budgets: Mutex::new(Budgets {
                entry,
                teams: HashMap::new(),
            }),
        }
    }

    /// Counts a request that arrived; requests of open routes share one budget.
    pub fn record_request(&self, team: Option<&TeamId>) {
        let now = self.started.elapsed();
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        budgets.entry.record_request(now);
        budgets
            .teams
            .entry(team.cloned())
            .or_insert_with(|| RetryBudget::new(now))
            .record_request(now);
    }

    /// Spends one retry of the team and of the entry, or none.
    pub fn try_spend(&self, team: Option<&TeamId>) -> bool {
        let now = self.started.elapsed();
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        if !budgets.entry.try_spend(now) {
            return false;
        }
        let spent = budgets
            .teams
            .entry(team.cloned())
            .or_insert_with(|| RetryBudget::new(now))
            .try_spend(now);
        if !spent {
            budgets.entry.refund();
        }
        spent
    }
}
