use std::{collections::HashMap, time::Duration};

use rand::Rng;

use super::{RejectionLimit, TargetSends, TargetSlots};
use crate::ids::{ServiceId, TargetId};

/// Time after the last statement for which the targets of a service are taken for brittle.
const STATEMENT_VALIDITY: Duration = Duration::from_secs(10);

/// Whether a request may be sent to a brittle target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendAdmission {
    /// It finds a slot whatever other gateways send at this moment.
    Admitted,
    /// It may be turned away, so it needs a permit.
    NeedsPermit(RejectionLimit),
    /// The target has no free slot.
    Full,
}

/// A gateway's view of which targets are brittle.
///
/// A target speaks for all targets of its service, so that a limit is known before a request is sent to each of them.
#[derive(Debug)]
pub struct BrittleTable {
    services: HashMap<ServiceId, (RejectionLimit, Duration)>,
    targets: HashMap<TargetId, TargetSends>,
    gateways: u32,
}

impl BrittleTable {
    /// Creates the table of a gateway that has heard no statement and knows of no other gateway.
    #[must_use]
    pub fn new() -> Self {
        Self {
            services: HashMap::new(),
            targets: HashMap::new(),
            gateways: 1,
        }
    }

    /// Sets the number of gateways that send requests to the same targets, this one included.
    pub fn set_gateways(&mut self, gateways: u32) {
        self.gateways = gateways.max(1);
    }

    /// Records what an answer of a target said, and returns whether that is new.
    pub fn record_statement(
        &mut self,
        service: &ServiceId,
        limit: Option<RejectionLimit>,
        now: Duration,
    ) -> bool {
        let known = self.limit(service, now);
        match limit {
            Some(limit) => {
                self.services.insert(service.clone(), (limit, now));
            }
            None => {
                self.services.remove(service);
            }
        }
        if self.services.is_empty() {
            self.targets.clear();
        }
        known != limit
    }

    /// Returns the limit of a service's targets; `None` if they are not brittle.
    #[must_use]
    pub fn limit(&self, service: &ServiceId, now: Duration) -> Option<RejectionLimit> {
        let (limit, heard_at) = self.services.get(service)?;
        (now.saturating_sub(*heard_at) < STATEMENT_VALIDITY).then_some(*limit)
    }

    /// Returns whether a request may be sent to a brittle target. One that is admitted counts as sent.
    pub fn admit(
        &mut self,
        target: &TargetId,
        limit: RejectionLimit,
        slots: TargetSlots,
        now: Duration,
        rng: &mut impl Rng,
    ) -> SendAdmission {
        let sends = self.targets.entry(target.clone()).or_default();
        let free = sends.free_slots(slots, now);
        match free {
            0 => SendAdmission::Full,
            _ if sends.is_within_part(free, self.gateways, limit, now, rng) => {
                sends.record_admission(now);
                SendAdmission::Admitted
            }
            _ => SendAdmission::NeedsPermit(limit),
        }
    }

    /// Returns whether a request with a permit may still be sent, and counts it as sent if so.
    pub fn admit_with_permit(
        &mut self,
        target: &TargetId,
        slots: TargetSlots,
        now: Duration,
    ) -> bool {
        let sends = self.targets.entry(target.clone()).or_default();
        let is_admitted = sends.free_slots(slots, now) > 0;
        if is_admitted {
            sends.record_admission(now);
        }
        is_admitted
    }

    /// Records that a request to a target is part of the gateway's load from now on.
    pub fn record_send(&mut self, target: &TargetId) {
        if let Some(sends) = self.targets.get_mut(target) {
            sends.record_send();
        }
    }

    /// Records that a target has turned a request away.
    pub fn record_rejection(&mut self, target: &TargetId, limit: RejectionLimit, now: Duration) {
        let sends = self.targets.entry(target.clone()).or_default();
        sends.record_rejection(limit, now);
    }

    /// Returns the targets with what was sent to them, and forgets those of which nothing is known that still matters.
    pub fn targets(&mut self, now: Duration) -> impl Iterator<Item = (&TargetId, &TargetSends)> {
        self.targets.retain(|_, sends| !sends.is_idle(now));
        self.targets.iter()
    }
}

impl Default for BrittleTable {
    fn default() -> Self {
        Self::new()
    }
}
