use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::{ReserveOutcome, SettleResult};
use crate::{
    border::TargetConfig,
    ids::{FencingNumber, Incarnation},
    order::OrderAction,
    sync::ResidentCopy,
};

/// Maximum number of unsettled orders of an engine that checks fencing numbers.
const MAX_ORDERS: usize = 64;
/// Maximum number of former incarnations that are stored. Reports are delayed by a few seconds at
/// most, and no engine restarts more often than that.
const MAX_FORMER_INCARNATIONS: usize = 4;

/// Accelerator memory of one engine: confirmed copies and unsettled orders.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TargetMemory {
    /// Incarnation of the engine process; `None` until it reports from its present address.
    incarnation: Option<Incarnation>,
    /// Copies in the engine's last report, updated by the orders confirmed since.
    confirmed: Vec<ResidentCopy>,
    orders: BTreeMap<FencingNumber, UnsettledOrder>,
    /// Greatest granted fencing number.
    #[serde(rename = "fencing")]
    granted_fencing: FencingNumber,
    /// Greatest fencing number of an executed order in this incarnation.
    #[serde(rename = "carried_out")]
    executed_fencing: FencingNumber,
    /// Greatest `last_fencing` among the reports of this incarnation.
    #[serde(rename = "reported")]
    reported_fencing: FencingNumber,
    /// Earlier incarnations of the engine, oldest first. Their reports are outdated and ignored.
    #[serde(rename = "former")]
    former_incarnations: SmallVec<[Incarnation; MAX_FORMER_INCARNATIONS]>,
}

/// An order of which it is not yet known whether the engine executed it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UnsettledOrder {
    /// Action that the engine was ordered to take.
    pub action: OrderAction,
    /// Copy whose memory stays reserved until the order is settled; `None` when the order unloads
    /// a copy that is not in memory.
    pub reserved: Option<ResidentCopy>,
}

impl TargetMemory {
    /// Reserves the memory of an order.
    pub(super) fn reserve(
        &mut self,
        target: &TargetConfig,
        fencing: FencingNumber,
        action: &OrderAction,
    ) -> ReserveOutcome {
        match self.orders.get(&fencing) {
            Some(order) if order.action == *action => return ReserveOutcome::Granted,
            _ if fencing <= self.granted_fencing => return ReserveOutcome::OldFencing,
            // The engine's copies are not known before its first report.
            _ if self.incarnation.is_none() => return ReserveOutcome::Busy,
            _ if self.orders.len() >= max_orders(target) => return ReserveOutcome::Busy,
            _ => {}
        }
        let reserved = match action {
            // A second order for the same copy could load it twice.
            OrderAction::Load(copy)
                if self.possible_copies().any(|held| is_same_copy(held, copy)) =>
            {
                return ReserveOutcome::Busy;
            }
            OrderAction::Load(copy) if !self.fits(target, copy) => return ReserveOutcome::NoMemory,
            OrderAction::Load(copy) => Some(copy.clone()),
            // The copy may be confirmed, or its load may still be unsettled.
            OrderAction::Unload(copy) => {
                let held = self.possible_copies().find(|held| is_same_copy(held, copy));
                held.cloned()
            }
        };
        let action = action.clone();
        self.granted_fencing = fencing;
        self.orders
            .insert(fencing, UnsettledOrder { action, reserved });
        ReserveOutcome::Granted
    }

    /// Settles an order with its result.
    pub(super) fn settle(&mut self, fencing: FencingNumber, result: SettleResult) {
        let Some(order) = self.orders.remove(&fencing) else {
            return;
        };
        if result == SettleResult::Dropped {
            return;
        }
        let is_latest = fencing > self.executed_fencing;
        self.executed_fencing = self.executed_fencing.max(fencing);
        match order.action {
            OrderAction::Load(copy) => {
                if !self.confirmed.iter().any(|held| is_same_copy(held, &copy)) {
                    self.confirmed.push(ResidentCopy {
                        is_ready: true,
                        ..copy
                    });
                }
            }
            // A later order may have loaded the copy again; the next report shows whether it did.
            OrderAction::Unload(_) if !is_latest => {}
            OrderAction::Unload(copy) => self.confirmed.retain(|held| !is_same_copy(held, &copy)),
        }
    }

    /// Replaces the confirmed copies with those of a report. A report that is older than an earlier
    /// report or a settled order is ignored.
    pub(super) fn confirm(
        &mut self,
        incarnation: Incarnation,
        last_fencing: FencingNumber,
        copies: &[ResidentCopy],
    ) {
        match self.incarnation {
            _ if self.former_incarnations.contains(&incarnation) => return,
            Some(current) if current == incarnation => {
                if last_fencing < self.executed_fencing.max(self.reported_fencing) {
                    return;
                }
            }
            previous => {
                self.retire(previous);
                self.executed_fencing = 0;
                self.incarnation = Some(incarnation);
            }
        }
        self.reported_fencing = last_fencing;
        self.confirmed = copies.to_vec();
    }

    /// Clears the incarnation, so that no order is granted until the target reports. It does not
    /// become a former incarnation: an operator may correct a wrong address back to the old one.
    pub(super) fn clear_incarnation(&mut self) {
        self.incarnation = None;
    }

    fn retire(&mut self, incarnation: Option<Incarnation>) {
        if self.former_incarnations.len() == MAX_FORMER_INCARNATIONS {
            self.former_incarnations.remove(0);
        }
        self.former_incarnations.extend(incarnation);
    }

    /// Returns whether all orders are settled.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.orders.is_empty()
    }

    /// Returns the incarnation of the engine process; `None` until it reports from its present
    /// address.
    #[must_use]
    pub fn incarnation(&self) -> Option<Incarnation> {
        self.incarnation
    }

    /// Returns the copies that the engine confirmed.
    #[must_use]
    pub fn confirmed(&self) -> &[ResidentCopy] {
        &self.confirmed
    }

    /// Returns the unsettled orders in the order of their fencing numbers.
    pub fn orders(&self) -> impl Iterator<Item = (FencingNumber, &UnsettledOrder)> {
        self.orders.iter().map(|(fencing, order)| (*fencing, order))
    }

    /// Returns the greatest granted fencing number.
    #[must_use]
    pub fn granted_fencing(&self) -> FencingNumber {
        self.granted_fencing
    }

    /// Returns the maximum memory in MiB that may be in use on one accelerator, whichever of the
    /// unsettled orders the engine has executed.
    #[must_use]
    pub fn used_mib(&self, accelerator: u32) -> u64 {
        self.possible_copies()
            .filter(|copy| spans(copy, accelerator))
            .fold(0, |sum, copy| sum.saturating_add(copy.memory_mib))
    }

    /// Returns every copy that may be in memory, without duplicates: an unsettled load and an
    /// unsettled unload may refer to the same copy.
    fn possible_copies(&self) -> impl Iterator<Item = &ResidentCopy> {
        let ordered: Vec<&ResidentCopy> = self
            .orders
            .values()
            .filter_map(|order| order.reserved.as_ref())
            .filter(|copy| !self.confirmed.iter().any(|held| is_same_copy(held, copy)))
            .collect();
        let distinct = (0..ordered.len())
            .filter(|&index| {
                let earlier = &ordered[..index];
                !earlier
                    .iter()
                    .any(|copy| is_same_copy(copy, ordered[index]))
            })
            .map(|index| ordered[index])
            .collect::<Vec<_>>();
        self.confirmed.iter().chain(distinct)
    }

    fn fits(&self, target: &TargetConfig, copy: &ResidentCopy) -> bool {
        let Some(end) = copy.first_accelerator.checked_add(copy.span) else {
            return false;
        };
        copy.span > 0
            && end <= target.accelerators
            && (copy.first_accelerator..end).all(|accelerator| {
                self.used_mib(accelerator).saturating_add(copy.memory_mib)
                    <= target.accelerator_memory_mib
            })
    }
}

fn max_orders(target: &TargetConfig) -> usize {
    if target.checks_fencing { MAX_ORDERS } else { 1 }
}

fn is_same_copy(one: &ResidentCopy, other: &ResidentCopy) -> bool {
    one.model == other.model
        && one.version == other.version
        && one.first_accelerator == other.first_accelerator
        && one.span == other.span
}

fn spans(copy: &ResidentCopy, accelerator: u32) -> bool {
    accelerator >= copy.first_accelerator && accelerator - copy.first_accelerator < copy.span
}
