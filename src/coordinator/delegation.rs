//! Syncs that coordinators answer in the leader's place; see docs/design.md, section 20.

use std::{sync::MutexGuard, sync::PoisonError, time::Duration};

use spdlog::prelude::*;

use super::{
    delegate_view::DelegateView,
    gateway_table::MAX_DIRECT_GATEWAYS,
    leader_work::LeaderWork,
    state::{CoordinatorState, first_state},
};
use crate::{
    clock::BootInstant,
    error::{Error, Result},
    sync::{DelegateReply, DelegateReport, GatewayReply, GatewayReport, TargetList},
};

/// Maximum number of polls that a delegate picks up at once.
const MAX_POLLS: usize = 24;

impl CoordinatorState {
    pub(super) fn delegate(&self) -> MutexGuard<'_, DelegateView> {
        self.delegate.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Answers a gateway's sync in the leader's place.
    ///
    /// # Errors
    /// [`Error::NotLeader`] when no leader has lately proved this coordinator's state, or when the report has
    /// something for the leader alone.
    pub(super) fn sync_as_delegate(&self, report: &GatewayReport) -> Result<GatewayReply> {
        let not_leader = || Error::NotLeader { leader: None };
        if report.needs_leader() {
            return Err(not_leader());
        }
        let now = self.now();
        let mut delegate = self.delegate();
        let newest = self.newest_state();
        let age = delegate.proof_age(newest, BootInstant::now());
        let age = age.ok_or_else(not_leader)?;
        LeaderWork::add(&self.work.delegated_syncs, 1);
        let plan = self.plan_update(report);
        let evacuations = self.evacuations_since(report.evacuation_revision);
        let first = first_state(report, plan.as_ref(), evacuations.as_ref());
        delegate.record(report, first, now);
        let targets = delegate.listed_at.and_then(|_| self.target_changes(report));
        let list_age = delegate.listed_at.map(|at| now.saturating_sub(at));
        // One more millisecond for what rounding has cut off.
        let proof_age = age + Duration::from_millis(1);
        Ok(GatewayReply {
            term: delegate.term(),
            plan,
            evacuations,
            grants: Vec::new(),
            targets,
            are_parts_recorded: true,
            are_streams_recorded: true,
            recorded_services: delegate.recorded_services.clone(),
            stream_answers: Vec::new(),
            parts: self.newer_parts(report.parts_version),
            list_age_ms: list_age.map(millis),
            gateways: delegate.gateways.count(),
            load_topology: delegate.gateways.load_topology(&report.gateway),
            sync_interval_ms: millis(delegate.gateways.sync_interval()),
            coordinators: self.coordinators(),
            proof_age_ms: millis(proof_age),
            leader: self.redirect().leader,
            delegates: delegate.delegates.clone(),
            neighbours: delegate.gateways.neighbours(&report.gateway),
        })
    }

    /// Answers a delegate's sync.
    ///
    /// # Errors
    /// [`Error::NotLeader`] when this daemon does not lead.
    pub fn sync_delegate(&self, report: &DelegateReport) -> Result<DelegateReply> {
        let lease = self.lease()?;
        LeaderWork::add(&self.work.delegate_syncs, 1);
        let reply = LeaderWork::timed(&self.work.sync_time_us, || {
            let now = self.now();
            let mut tables = self.tables(lease);
            self.update_plan(&mut tables);
            let tables = &mut *tables;
            let is_needed = tables.gateways.needs_delegates()
                || report.fleet_size as usize > MAX_DIRECT_GATEWAYS;
            let mut is_confirmed = false;
            for gateway in &report.gateways {
                let (key, state) = (&gateway.entry.gateway, gateway.serving_state());
                tables.gateways.record_delegated(&gateway.entry, now);
                // Reports of several delegates come in any order: one without a plan may be old.
                if state.plan_version > 0 {
                    is_confirmed |= tables.confirmations.record_report(key, state, now);
                }
                if gateway.first_plan > 0 {
                    let confirmations = &mut tables.confirmations;
                    // The report does not name the sync that was answered.
                    confirmations.record_first_plan(key, gateway.first_state(), None, now);
                }
            }
            if is_needed {
                let confirmations = &mut tables.confirmations;
                is_confirmed |=
                    confirmations.record_delegate(&report.delegate, report.serving_state(), now);
                tables
                    .delegates
                    .record(&report.delegate, report.address, now);
            }
            if is_confirmed {
                self.confirmed.notify_waiters();
            }
            tables.record_demand(&report.demand, now);
            for target in &report.unresponsive {
                tables.engines.mark_suspected(target);
            }
            for polled in &report.polled {
                if tables.polls.finish(&polled.target) {
                    let status = polled.status.clone();
                    tables.engines.record_status(&polled.target, status, now);
                }
            }
            self.publish_targets(tables);
            let delegates = tables.delegates.live(now);
            // Each delegate picks up its part; there is one at least, which asks now.
            let part = tables.polls.waiting().div_ceil(delegates.len().max(1));
            let polls = if is_needed {
                tables.polls.pick_up(part.min(MAX_POLLS), now)
            } else {
                Vec::new()
            };
            let roster = report
                .roster_number
                .and_then(|number| tables.gateways.roster_since(number));
            let list = tables.listed_at.filter(|_| is_needed);
            let newest = self.newest_state();
            DelegateReply {
                term: tables.term,
                is_needed,
                plan_version: newest.plan_version,
                evacuation_revision: newest.evacuation_revision,
                targets: list.and_then(|_| self.changes_since(report.list_version)),
                list_age_ms: list.map(|at| millis(now.saturating_sub(at))),
                recorded_services: self.recorded_services(),
                roster: roster.filter(|_| is_needed),
                delegates,
                polls,
            }
        });
        if lease.is_valid() {
            Ok(reply)
        } else {
            Err(Error::NotLeader { leader: None })
        }
    }

    /// Returns the next report to the leader.
    pub(super) fn make_delegate_report(&self) -> DelegateReport {
        let own = self.voter.addresses().own();
        let now = self.now();
        let mut delegate = self.delegate();
        // Read under the lock: syncs that were answered with an earlier plan are in the report.
        let newest = self.newest_state();
        let list_version = self.mirrored_version();
        delegate.make_report(self.own_key(), own.system, newest, list_version, now)
    }

    /// Applies the leader's reply to a report that was sent at `sent_at`.
    pub(super) fn apply_delegate_reply(&self, mut reply: DelegateReply, sent_at: BootInstant) {
        let now = self.now();
        let list: Option<TargetList> = reply.targets.take();
        let mut delegate = self.delegate();
        if delegate.is_needed() != reply.is_needed {
            info!("coordinator: answers syncs in the leader's place", kv: {
                is_needed = reply.is_needed,
                term = reply.term,
            });
        }
        if let Some(list) = list {
            self.mirror_list(list);
        }
        delegate.apply(reply, sent_at, now);
    }
}

pub(super) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
