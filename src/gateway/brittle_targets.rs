//! Brittle targets, from what targets state and from the traffic of this gateway.

use std::{collections::HashMap, time::Duration};

use spdlog::prelude::*;

use super::targets::{TableState, TargetTable};
use crate::{
    brittle::{RejectionLimit, SendAdmission, SendTerms, TargetSlots},
    ids::TargetId,
    sync::{LoadSum, TargetHash, target_hash},
};

impl TargetTable {
    /// Records how many gateways send requests to the same targets.
    pub fn record_gateways(&self, gateways: u32) {
        let now = self.now();
        self.state().brittle.record_gateways(gateways, now);
    }

    /// Records what a target's answer said of how many requests it may turn away.
    pub fn record_rejection_limit(&self, target: &TargetId, per_second: Option<u32>) {
        let now = self.now();
        let mut state = self.state();
        let state = &mut *state;
        let Some(entry) = state.entries.get(target) else {
            return;
        };
        let limit = per_second.map(RejectionLimit::new);
        if state.brittle.record_statement(&entry.service, limit, now) {
            info!("route: the rejection limit of targets has changed", kv: {
                service = entry.service.as_str(),
                target = target.as_str(),
                rejections_per_second:? = per_second,
            });
        }
    }

    /// Returns whether a target falls over when it turns away too many requests.
    pub fn is_brittle(&self, target: &TargetId) -> bool {
        let now = self.now();
        self.state().send_terms(target, now).is_some()
    }

    /// Returns whether a request may be sent to a target that has room by the known load. One that is admitted to a
    /// brittle target counts as sent.
    pub fn admit(&self, target: &TargetId) -> SendAdmission {
        let now = self.now();
        let mut state = self.state();
        let Some(terms) = state.send_terms(target, now) else {
            return SendAdmission::Admitted;
        };
        let slots = state.slots_at(target);
        let rng = &mut rand::rng();
        state.brittle.admit(target, terms, slots, now, rng)
    }

    /// Returns whether a request with a permit may be sent to a brittle target, and counts it as sent if so.
    pub fn admit_with_permit(&self, target: &TargetId) -> bool {
        let now = self.now();
        let mut state = self.state();
        let slots = state.slots_at(target);
        state.brittle.admit_with_permit(target, slots, now)
    }

    /// Records the time for which a request that was answered has occupied a slot of a target.
    pub fn record_occupancy(&self, target: &TargetId, time: Duration) {
        let mut state = self.state();
        let state = &mut *state;
        if let Some(entry) = state.entries.get(target) {
            state.brittle.record_occupancy(&entry.service, time);
        }
    }

    /// Records that a target has turned a request away.
    pub fn record_rejection(&self, target: &TargetId) {
        let now = self.now();
        let mut state = self.state();
        if let Some(terms) = state.send_terms(target, now) {
            state.brittle.record_rejection(target, terms.limit, now);
            self.own_load_changed.notify_one();
            debug!("route: a brittle target turned a request away: {target}");
        }
    }
}

impl TableState {
    fn send_terms(&self, target: &TargetId, now: Duration) -> Option<SendTerms> {
        let entry = self.entries.get(target)?;
        self.brittle.terms(&entry.service, now)
    }

    /// Returns the slots of a target by the loads of all gateways.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss
    )] // Counts are far below 2^24, and the cast saturates.
    fn slots_at(&self, target: &TargetId) -> TargetSlots {
        let total = self.entries.get(target).map_or(0, |entry| entry.slots);
        TargetSlots {
            total,
            free: (total as f32 - self.replicas.expected_requests(target)) as u32,
            own: self.running_requests.get(target).copied().unwrap_or(0),
        }
    }

    /// Adds slots of targets that have turned requests away to the load of this gateway, so that the other gateways send
    /// them less as well.
    pub(super) fn add_withheld_slots(
        &mut self,
        loads: &mut HashMap<TargetHash, LoadSum>,
        now: Duration,
    ) {
        for (target, sends) in self.brittle.targets(now) {
            let total = self.entries.get(target).map_or(0, |entry| entry.slots);
            let withheld = sends.withheld_slots(total, now);
            if withheld > 0 {
                let load = loads.entry(target_hash(target)).or_default();
                load.running = load.running.saturating_add(withheld);
            }
        }
    }
}
