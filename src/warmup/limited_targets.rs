use std::collections::{BTreeMap, BTreeSet};

use super::{WarmupBounds, WarmupLimit};
use crate::{adapter::TargetEntry, allowance::RateLimit, ids::TargetId, plan::PlanIndex};

/// The targets for which the leader's ledger has a limit.
///
/// Each listed target of a service with a warm-up plan has one, also while it is warm, so that its bucket is
/// full when it turns cold and no request is refused for a limit that is not set yet.
#[derive(Debug, Default)]
pub struct LimitedTargets {
    limits: BTreeMap<TargetId, RateLimit>,
}

impl LimitedTargets {
    /// Creates the record of a leader that has set no limits.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the limits to set in the ledger for a plan and a target list: those that are new or have
    /// changed, and 0 for targets that are gone or whose service has no limit any more.
    pub fn update<'t>(
        &mut self,
        plan: &PlanIndex,
        targets: impl Iterator<Item = &'t TargetEntry>,
        bounds: Option<WarmupBounds>,
    ) -> Vec<(TargetId, RateLimit)> {
        let mut changes = Vec::new();
        let mut listed = BTreeSet::new();
        for entry in targets {
            let service = plan.service(&entry.service);
            let warmup = service.and_then(|service| service.warmup);
            let (Some(warmup), Some(bounds)) = (warmup, bounds) else {
                continue;
            };
            let limit = WarmupLimit::new(&warmup, bounds).rate_limit();
            listed.insert(entry.id.clone());
            if self.limits.insert(entry.id.clone(), limit) != Some(limit) {
                changes.push((entry.id.clone(), limit));
            }
        }
        self.limits.retain(|target, _| {
            let is_listed = listed.contains(target);
            if !is_listed {
                changes.push((target.clone(), RateLimit::default()));
            }
            is_listed
        });
        changes
    }
}
