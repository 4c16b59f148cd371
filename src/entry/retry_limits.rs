use std::{
    sync::{Mutex, PoisonError},
    time::Instant,
};

use crate::{ids::TeamId, route::RetryBudget};

/// Retry budgets of the entry and its teams. Requests on open routes share one budget.
pub struct RetryLimits {
    started: Instant,
    budget: Mutex<RetryBudget>,
}

impl RetryLimits {
    pub fn new() -> Self {
        Self {
            started: Instant::now(),
            budget: Mutex::new(RetryBudget::new()),
        }
    }

    /// Counts an arriving request.
    pub fn record_request(&self, team: Option<&TeamId>) {
        let now = self.started.elapsed();
        let team = team.cloned().unwrap_or_default();
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        budget.record_request(&team, now);
    }

    /// Withdraws one retry if the budgets of the team and the entry allow it.
    pub fn try_spend(&self, team: Option<&TeamId>) -> bool {
        let now = self.started.elapsed();
        let team = team.cloned().unwrap_or_default();
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        budget.try_withdraw(&team, now)
    }
}
