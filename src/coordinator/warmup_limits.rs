//! Limits of targets in the leader's ledger.

use super::state::{CoordinatorState, LeaderTables};
use crate::warmup::limit_id;

impl CoordinatorState {
    /// Sets the limits of the listed targets of services with a warm-up plan. Called after each change of the
    /// plan or the list.
    pub(super) fn update_warmup_limits(&self, tables: &mut LeaderTables) {
        let Some(plan) = tables.plan.clone() else {
            return;
        };
        let now = self.now();
        let targets = tables.engines.listed_entries();
        let limits = &mut tables.limited_targets;
        for (target, limit) in limits.update(&plan, targets, self.warmup_bounds) {
            tables.ledger.set_limit(&limit_id(&target), limit, now);
        }
    }
}
