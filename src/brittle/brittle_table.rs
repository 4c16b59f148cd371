use std::{collections::HashMap, time::Duration};

use rand::Rng;

use super::{RejectionLimit, SendTerms, TargetSends, TargetSlots};
use crate::ids::{ServiceId, TargetId};

/// Time after the last statement for which the targets of a service are taken for brittle.
const STATEMENT_VALIDITY: Duration = Duration::from_secs(10);
/// Time for which a larger number of gateways holds. A coordinator that has just started knows few of them.
const COUNT_VALIDITY: Duration = Duration::from_secs(10);
/// Weight of a new sample in the moving average of the time for which requests occupy a slot.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Whether a request may be sent to a brittle target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendAdmission {
    /// It is within the part of this gateway, so that it finds a slot although others send at this moment.
    Admitted,
    /// It may be turned away, so it needs a permit.
    NeedsPermit(RejectionLimit),
    /// The target has no free slot.
    Full,
}

/// A service whose targets are brittle.
#[derive(Clone, Copy, Debug)]
struct BrittleService {
    limit: RejectionLimit,
    /// When a target last stated the limit.
    stated_at: Duration,
    /// Time that requests occupy a slot.
    occupancy: Option<Duration>,
}

/// A gateway's view of which targets are brittle.
///
/// A target speaks for all targets of its service, so that a limit is known before a request is sent to each of them.
#[derive(Debug)]
pub struct BrittleTable {
    services: HashMap<ServiceId, BrittleService>,
    targets: HashMap<TargetId, TargetSends>,
    gateways: u32,
    /// When the number of gateways was last as large.
    counted_at: Duration,
}

impl BrittleTable {
    /// Creates the table of a gateway that has heard no statement and knows of no other gateway.
    #[must_use]
    pub fn new() -> Self {
        Self {
            services: HashMap::new(),
            targets: HashMap::new(),
            gateways: 1,
            counted_at: Duration::ZERO,
        }
    }

    /// Records how many gateways send requests to the same targets, this one included. A smaller number counts only once
    /// it has been so for some time.
    pub fn record_gateways(&mut self, gateways: u32, now: Duration) {
        let is_outdated = now.saturating_sub(self.counted_at) >= COUNT_VALIDITY;
        if gateways >= self.gateways || is_outdated {
            self.gateways = gateways.max(1);
            self.counted_at = now;
        }
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
                let occupancy = self.services.get(service);
                let occupancy = occupancy.and_then(|known| known.occupancy);
                let stated = BrittleService {
                    limit,
                    stated_at: now,
                    occupancy,
                };
                self.services.insert(service.clone(), stated);
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

    /// Records the time for which a request that was answered has occupied a slot.
    pub fn record_occupancy(&mut self, service: &ServiceId, time: Duration) {
        if let Some(known) = self.services.get_mut(service) {
            let average = known.occupancy.unwrap_or(time);
            known.occupancy =
                Some(average.mul_f64(1.0 - SAMPLE_WEIGHT) + time.mul_f64(SAMPLE_WEIGHT));
        }
    }

    /// Returns the terms for a service's targets; `None` if they are not brittle.
    #[must_use]
    pub fn terms(&self, service: &ServiceId, now: Duration) -> Option<SendTerms> {
        let known = self.services.get(service)?;
        let is_valid = now.saturating_sub(known.stated_at) < STATEMENT_VALIDITY;
        is_valid.then(|| SendTerms::new(known.limit).with_occupancy(known.occupancy))
    }

    /// Returns the limit of a service's targets; `None` if they are not brittle.
    #[must_use]
    pub fn limit(&self, service: &ServiceId, now: Duration) -> Option<RejectionLimit> {
        self.terms(service, now).map(|terms| terms.limit)
    }

    /// Returns whether a request may be sent to a brittle target. One that is admitted counts as sent.
    pub fn admit(
        &mut self,
        target: &TargetId,
        terms: SendTerms,
        slots: TargetSlots,
        now: Duration,
        rng: &mut impl Rng,
    ) -> SendAdmission {
        let sends = self.targets.entry(target.clone()).or_default();
        let slots = sends.known_slots(slots, now);
        match slots.free {
            0 => SendAdmission::Full,
            _ if sends.take_part(slots, self.gateways, terms, now, rng) => {
                sends.record_admission(now);
                SendAdmission::Admitted
            }
            // A permit is good for a shared slot; all others belong to some gateway.
            _ if slots.total.is_multiple_of(self.gateways) => SendAdmission::Full,
            _ => SendAdmission::NeedsPermit(terms.limit),
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
        let is_admitted = sends.known_slots(slots, now).free > 0;
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
