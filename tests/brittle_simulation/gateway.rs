use std::time::Duration;

use compact_str::format_compact;
use rand::{Rng, seq::SliceRandom};
use waxwinglatch::{
    brittle::{BrittleTable, RejectionLimit, SendAdmission, TargetSlots},
    ids::{ServiceId, TargetId},
};

use super::{HISTORY, PERMIT_WAIT};

/// Time for which a request waits for room.
const MAX_WAIT: Duration = Duration::from_millis(300);
/// Number of targets that are tried for one request at a time.
const MAX_TRIED: usize = 8;
/// Number of attempts that targets turn away.
const MAX_REFUSED: usize = 3;
/// Interval at which waiting requests look for room, in milliseconds: that of the news of loads.
const TRY_INTERVAL_MS: u128 = 5;

/// What a gateway does with its waiting requests.
#[derive(Default)]
pub struct WaitingOutcome {
    /// Requests that are sent, with their targets.
    pub admitted: Vec<(usize, WaitingRequest)>,
    /// Numbers of requests that ask for a permit, with their targets.
    pub asking: Vec<(usize, u64)>,
}

#[derive(Clone, Debug)]
pub struct WaitingRequest {
    pub number: u64,
    pub arrived_at: Duration,
    pub sent_at: Duration,
    tried: Vec<usize>,
    /// Target at which it waits for a permit, and until when.
    asking: Option<(usize, Duration)>,
}

/// A gateway with the product's own table of brittle targets.
pub struct GatewayNode {
    table: BrittleTable,
    ids: Vec<TargetId>,
    running: Vec<u32>,
    others: Vec<u32>,
    /// Own loads by step, as they are told to the others.
    published: Vec<Vec<u32>>,
    waiting: Vec<WaitingRequest>,
    /// Requests whose permit may still be used up: number, target and time of the send.
    permitted: Vec<(u64, usize, Duration)>,
}

impl GatewayNode {
    pub fn new(known_gateways: usize, targets: usize) -> Self {
        let mut table = BrittleTable::new();
        table.record_gateways(u32::try_from(known_gateways).unwrap(), Duration::ZERO);
        Self {
            table,
            ids: (0..targets)
                .map(|number| format_compact!("t{number}"))
                .collect(),
            running: vec![0; targets],
            others: vec![0; targets],
            published: vec![vec![0; targets]; HISTORY],
            waiting: Vec::new(),
            permitted: Vec::new(),
        }
    }

    /// Hears of the limit from a target, as with each answer.
    pub fn record_statement(&mut self, limit: RejectionLimit, now: Duration) {
        self.table.record_statement(&service(), Some(limit), now);
    }

    pub fn arrive(&mut self, number: u64, now: Duration) {
        self.waiting.push(WaitingRequest {
            number,
            arrived_at: now,
            sent_at: now,
            tried: Vec::new(),
            asking: None,
        });
    }

    pub fn record_send(&mut self, target: usize) {
        self.running[target] += 1;
        self.table.record_send(&self.ids[target]);
    }

    pub fn record_end(&mut self, target: usize) {
        self.running[target] -= 1;
    }

    pub fn record_served(&mut self, time: Duration) {
        self.table.record_occupancy(&service(), time);
    }

    pub fn record_rejection(&mut self, target: usize, limit: RejectionLimit, now: Duration) {
        self.table.record_rejection(&self.ids[target], limit, now);
    }

    /// Lets a request that was turned away wait once more, unless that has happened too often.
    pub fn retry(&mut self, mut request: WaitingRequest, target: usize) {
        request.tried.push(target);
        if request.tried.len() < MAX_REFUSED {
            self.waiting.push(request);
        }
    }

    pub fn publish(&mut self, step: usize, slots: u32, now: Duration) {
        let mut loads = self.running.clone();
        for (target, sends) in self.table.targets(now) {
            let number: usize = target[1..].parse().unwrap();
            loads[number] += sends.withheld_slots(slots, now);
        }
        self.published[step % HISTORY] = loads;
    }

    pub fn published(&self, step: usize) -> &[u32] {
        &self.published[step % HISTORY]
    }

    /// Learns the loads of all gateways as they were at a step.
    pub fn learn(&mut self, total: &[u32], step: usize) {
        let own = &self.published[step % HISTORY];
        let others = total.iter().zip(own).map(|(total, own)| total - own);
        self.others = others.collect();
    }

    fn slots(&self, target: usize, slots: u32) -> TargetSlots {
        let taken = self.running[target] + self.others[target];
        TargetSlots {
            total: slots,
            free: slots.saturating_sub(taken),
            own: self.running[target],
        }
    }

    /// Sends waiting requests, or asks for a permit, where a target that is up has room.
    pub fn try_waiting(
        &mut self,
        up: &[usize],
        slots: u32,
        now: Duration,
        rng: &mut impl Rng,
    ) -> WaitingOutcome {
        let terms = self.table.terms(&service(), now);
        let terms = terms.expect("the limit was stated");
        let mut outcome = WaitingOutcome::default();
        let is_due = now.as_millis().is_multiple_of(TRY_INTERVAL_MS);
        for mut request in std::mem::take(&mut self.waiting) {
            let is_new = request.arrived_at == now;
            if now >= request.arrived_at + MAX_WAIT {
                continue;
            }
            let waits_for_permit = request.asking.is_some_and(|(_, until)| now < until);
            if waits_for_permit || !(is_due || is_new) {
                self.waiting.push(request);
                continue;
            }
            request.asking = None;
            let mut order: Vec<usize> = up
                .iter()
                .copied()
                .filter(|target| !request.tried.contains(target))
                .collect();
            order.shuffle(rng);
            order.truncate(MAX_TRIED);
            order.sort_by_key(|target| self.running[*target] + self.others[*target]);
            let mut permitted = None;
            let mut sent_to = None;
            for target in order {
                let free = self.slots(target, slots);
                match self.table.admit(&self.ids[target], terms, free, now, rng) {
                    SendAdmission::Admitted => {
                        sent_to = Some(target);
                        break;
                    }
                    SendAdmission::NeedsPermit(_) => {
                        permitted.get_or_insert(target);
                    }
                    SendAdmission::Full => {}
                }
            }
            match (sent_to, permitted) {
                (Some(target), _) => outcome.admitted.push((target, request)),
                (None, Some(target)) => {
                    request.asking = Some((target, now + PERMIT_WAIT));
                    outcome.asking.push((target, request.number));
                    self.waiting.push(request);
                }
                (None, None) => self.waiting.push(request),
            }
        }
        outcome
    }

    /// Returns the request that a permit was granted for if it still waits and the target has a free slot.
    pub fn admit_with_permit(
        &mut self,
        number: u64,
        target: usize,
        slots: u32,
        now: Duration,
    ) -> Option<WaitingRequest> {
        let index = self.waiting.iter().position(|request| {
            request.number == number && request.asking.is_some_and(|(asked, _)| asked == target)
        })?;
        let free = self.slots(target, slots);
        if !self.table.admit_with_permit(&self.ids[target], free, now) {
            self.waiting[index].asking = None;
            return None;
        }
        let mut request = self.waiting.remove(index);
        request.asking = None;
        self.permitted.push((number, target, now));
        Some(request)
    }

    /// Ends the use of a request's permit, and returns whether there was one.
    pub fn take_permit(&mut self, number: u64) -> bool {
        let held = self.permitted.len();
        self.permitted.retain(|(known, ..)| *known != number);
        self.permitted.len() < held
    }

    /// Returns the targets of requests with a permit that run for longer than a time.
    pub fn take_early_releases(&mut self, after: Duration, now: Duration) -> Vec<usize> {
        let is_due = |(.., at): &(u64, usize, Duration)| now >= *at + after;
        let (due, permitted): (Vec<_>, Vec<_>) = std::mem::take(&mut self.permitted)
            .into_iter()
            .partition(is_due);
        self.permitted = permitted;
        due.into_iter().map(|(_, target, _)| target).collect()
    }
}

fn service() -> ServiceId {
    ServiceId::from("shop")
}
