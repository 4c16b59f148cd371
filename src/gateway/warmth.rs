//! Warmth of targets, from the list and from the traffic of this gateway.

use std::time::{Duration, SystemTime};

use spdlog::prelude::*;

use super::targets::{TableState, TargetTable};
use crate::{
    adapter::TargetEntry,
    ids::TargetId,
    plan::{PlanIndex, WarmupPlan},
    route::Warmth,
    warmup::{ColdSource, WarmthChange, WarmupBounds},
};

impl TargetTable {
    /// Limits the requests to cold targets.
    pub fn with_warmup_bounds(self, bounds: Option<WarmupBounds>) -> Self {
        self.state().warmup_bounds = bounds;
        self
    }

    /// Records that the list in use was read from the platform some time ago.
    pub fn record_list_read(&self, age: Duration, sync_interval: Duration) {
        let now = self.now();
        let mut state = self.state();
        state
            .warmth
            .record_list_read(now.saturating_sub(age), sync_interval);
        state.refresh_warmth(now);
    }

    /// Records a sign that a target may have restarted.
    pub fn record_restart_sign(&self, target: &TargetId, sign: ColdSource) {
        let now = self.now();
        self.state().record_restart_sign(target, sign, now);
    }

    /// Returns whether any target is cold.
    pub fn has_cold(&self) -> bool {
        self.state().warmth.has_cold()
    }

    /// Returns whether a request may be sent to a target only with a reservation.
    pub fn is_cold(&self, target: &TargetId) -> bool {
        let now = self.now();
        self.state().warmth.cold_source(target, now).is_some()
    }
}

impl TableState {
    /// Applies the warmth of a listed target. One that has started is not known to the former list.
    pub(super) fn apply_warmth(
        &mut self,
        plan: &PlanIndex,
        entry: &TargetEntry,
        has_started: bool,
        now: Duration,
    ) {
        let service = plan.service(&entry.service);
        let warmup = service.and_then(|service| service.warmup);
        match warmup.filter(|_| self.warmup_bounds.is_some()) {
            Some(warmup) => {
                self.warmth.set_listed(&entry.id, entry.is_cold);
                if has_started && entry.started_ms > 0 {
                    let cold_time = cold_time_left(&warmup, entry.started_ms);
                    self.warmth.record_start(&entry.id, now + cold_time);
                }
            }
            None => self.warmth.remove(&entry.id),
        }
        let source = self.warmth.cold_source(&entry.id, now);
        self.replicas.set_warmth(&entry.id, warmth_of(source));
    }

    pub(super) fn record_restart_sign(
        &mut self,
        target: &TargetId,
        sign: ColdSource,
        now: Duration,
    ) {
        self.warmth.record_sign(target, sign, now);
        self.refresh_warmth(now);
    }

    /// Applies changes of warmth to the choice of targets.
    pub(super) fn refresh_warmth(&mut self, now: Duration) {
        for change in self.warmth.take_changes(now) {
            self.replicas
                .set_warmth(&change.target, warmth_of(change.source));
            log_change(&change);
        }
    }
}

fn warmth_of(source: Option<ColdSource>) -> Warmth {
    source.map_or(Warmth::Warm, |_| Warmth::Cold)
}

/// Returns for how long a target that started at a time is cold. The clocks of the platform and of this VM may
/// differ, so a start in the future counts as one just now.
fn cold_time_left(warmup: &WarmupPlan, started_ms: u64) -> Duration {
    let started_at = SystemTime::UNIX_EPOCH + Duration::from_millis(started_ms);
    let age = started_at.elapsed().unwrap_or_default();
    warmup.cold_time.saturating_sub(age)
}

fn log_change(change: &WarmthChange) {
    let target = change.target.as_str();
    match (change.source, change.former) {
        (Some(source), _) => {
            info!("route: a target is cold", kv: { target = target, source = source.name() });
        }
        (None, Some(former)) => {
            info!("route: a target is warm", kv: { target = target, source = former.name() });
        }
        (None, None) => {}
    }
}
