//! Detection of targets that accept no connection or send nothing, from the traffic of this gateway.

use std::time::Duration;

use spdlog::prelude::*;

use super::{
    connections::ConnectFailure,
    targets::{TableState, TargetTable},
};
use crate::{
    ids::TargetId,
    pace::TargetWork,
    route::{Availability, ReplicaTable},
    warmup::ColdSource,
};

/// Time after which a target that runs requests of this gateway and sends no byte gets no new
/// requests. Engines send several events within this time, and plain services answer sooner.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(700);
/// Time after which a silent target that runs no more requests of this gateway is tried again.
const SILENCE_RETRY_DELAY: Duration = Duration::from_millis(1_500);

/// Liveness of a target, from the traffic of this gateway's own requests.
#[derive(Clone, Copy, Debug)]
pub(super) struct TargetLiveness {
    pub(super) last_activity_at: Duration,
    pub(super) is_silent: bool,
}

impl TargetTable {
    /// Records that a target sent data, and makes a silent target available again.
    pub fn record_activity(&self, target: &TargetId) {
        let now = self.now();
        let mut state = self.state();
        state.record_heard(now);
        if let Some(liveness) = state.liveness.get_mut(target) {
            liveness.last_activity_at = now;
            if liveness.is_silent {
                liveness.is_silent = false;
                state.mark_available(target);
                info!("route: a target is heard again", kv: { target = target.as_str() });
            }
        }
    }

    /// Resets the count of failed connection attempts of a target.
    pub fn record_connected(&self, target: &TargetId) {
        self.state().connect_failures.remove(target);
    }

    /// Records a failed connection attempt and marks the target as down. A single unanswered
    /// attempt may be a lost packet and has no effect.
    pub fn record_connect_failure(&self, target: &TargetId, failure: ConnectFailure) {
        let now = self.now();
        let mut state = self.state();
        let failures = state.connect_failures.entry(target.clone()).or_default();
        *failures += 1;
        let is_lost_packet = failure == ConnectFailure::Unanswered && *failures < 2;
        if is_lost_packet || !state.entries.contains_key(target) {
            return;
        }
        let liveness = TargetLiveness {
            last_activity_at: now,
            is_silent: true,
        };
        state.record_restart_sign(target, ColdSource::Refusal, now);
        let previous = state.liveness.insert(target.clone(), liveness);
        state.replicas.set_availability(target, Availability::Down);
        if !previous.is_some_and(|previous| previous.is_silent) {
            warn!("route: a target accepts no connection", kv: { target = target.as_str() });
        }
    }

    /// Returns the targets that get no new requests because they sent no data or accepted no
    /// connection.
    pub fn silent_targets(&self) -> Vec<TargetId> {
        let state = self.state();
        let silent = state
            .liveness
            .iter()
            .filter(|(_, liveness)| liveness.is_silent);
        silent.map(|(target, _)| target.clone()).collect()
    }

    /// Marks targets that have become silent as down, and makes those available again whose retry
    /// delay has passed.
    pub fn check_liveness(&self) {
        let now = self.now();
        let mut state = self.state();
        let state = &mut *state;
        let (mut expired, mut signs) = (Vec::new(), Vec::new());
        for (target, liveness) in &mut state.liveness {
            let age = now.saturating_sub(liveness.last_activity_at);
            let running = state.running_requests.get(target).copied().unwrap_or(0);
            let is_running = running > 0;
            let is_engine = state
                .entries
                .get(target)
                .is_some_and(|entry| !entry.models.is_empty());
            // A plain target sends nothing while it processes a single slow request.
            let is_expected = is_engine || running > 1;
            let is_watched = !liveness.is_silent && is_expected && is_running;
            let slots = state.entries.get(target).map_or(1, |entry| entry.slots);
            let ms_per_token = state.prefill_ms_per_token;
            let limit = if is_watched && age >= SILENCE_TIMEOUT {
                silence_limit(&state.replicas, target, slots, ms_per_token, now)
            } else {
                SILENCE_TIMEOUT
            };
            match liveness.is_silent {
                false if is_watched && age >= limit => {
                    liveness.is_silent = true;
                    let down = Availability::Down;
                    state.replicas.set_availability(target, down);
                    signs.push(target.clone());
                    warn!("route: a target is silent", kv: {
                        target = target.as_str(),
                        silent_ms = age.as_millis(),
                        limit_ms = limit.as_millis(),
                    });
                }
                true if !is_running && age >= SILENCE_RETRY_DELAY => expired.push(target.clone()),
                false if !is_running => expired.push(target.clone()),
                _ => {}
            }
        }
        for target in expired {
            let liveness = state.liveness.remove(&target);
            state.mark_available(&target);
            // It may have restarted at any time since it was tried last.
            if liveness.is_some_and(|liveness| liveness.is_silent) {
                signs.push(target);
            }
        }
        for target in signs {
            state.record_restart_sign(&target, ColdSource::Silence, now);
        }
        state.refresh_warmth(now);
    }
}

impl TableState {
    /// Makes a target available for requests again unless it is leaving or evacuated.
    pub(super) fn mark_available(&mut self, target: &TargetId) {
        let entry = self.entries.get(target);
        if let Some(availability) = entry.map(|entry| self.availability(entry)) {
            self.replicas.set_availability(target, availability);
        }
    }
}

/// Returns the time without a byte after which a target is silent. Slow targets send several events within
/// [`SILENCE_TIMEOUT`] only at the usual pace, so it is longer for those that state their pace.
#[allow(clippy::cast_precision_loss)] // Counts are far below 2^24.
fn silence_limit(
    replicas: &ReplicaTable,
    target: &TargetId,
    slots: u32,
    ms_per_token: f32,
    now: Duration,
) -> Duration {
    let Some(pace) = replicas.pace(target) else {
        return SILENCE_TIMEOUT;
    };
    let work = TargetWork {
        factor: pace.silence_factor(now),
        occupancy: replicas.expected_requests(target) / slots.max(1) as f32,
        prefill_ms: replicas.pending_prefill_tokens(target) as f32 * ms_per_token,
    };
    work.silence_limit()
}
