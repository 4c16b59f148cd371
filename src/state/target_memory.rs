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

/// Most unsettled orders of an engine that checks fencing numbers.
const MAX_ORDERS: usize = 64;
/// Former lives that are remembered. A report is at most a few seconds late, and no engine
/// restarts more often than that.
const MAX_FORMER: usize = 4;

/// Memory of one engine: what it confirmed and what is ordered of it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TargetMemory {
    /// Life of the engine process; `None` until it reported at its present address.
    incarnation: Option<Incarnation>,
    /// Copies of the engine's last report, and those of orders confirmed since.
    confirmed: Vec<ResidentCopy>,
    orders: BTreeMap<FencingNumber, UnsettledOrder>,
    /// Greatest fencing number that was granted.
    fencing: FencingNumber,
    /// Greatest fencing number that this life of the engine carried out.
    carried_out: FencingNumber,
    /// Greatest `last_fencing` among the reports of this life of the engine.
    reported: FencingNumber,
    /// Earlier lives of the engine, the latest last; their reports come too late.
    former: SmallVec<[Incarnation; MAX_FORMER]>,
}

/// An order that may or may not be carried out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UnsettledOrder {
    /// What the engine was ordered to do.
    pub action: OrderAction,
    /// Copy whose memory stays reserved until the order is settled; `None` when the order unloads
    /// a copy that the engine did not hold.
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
            _ if fencing <= self.fencing => return ReserveOutcome::OldFencing,
            // What the engine holds is not known before its first report.
            _ if self.incarnation.is_none() => return ReserveOutcome::Busy,
            _ if self.orders.len() >= order_limit(target) => return ReserveOutcome::Busy,
            _ => {}
        }
        let reserved = match action {
            // A second order for the same copy could load it twice.
            OrderAction::Load(copy) if self.reserved().any(|held| same_copy(held, copy)) => {
                return ReserveOutcome::Busy;
            }
            OrderAction::Load(copy) if !self.fits(target, copy) => return ReserveOutcome::NoMemory,
            OrderAction::Load(copy) => Some(copy.clone()),
            // The copy may be confirmed, or its load may not be settled yet.
            OrderAction::Unload(copy) => {
                let held = self.reserved().find(|held| same_copy(held, copy));
                held.cloned()
            }
        };
        let action = action.clone();
        self.fencing = fencing;
        self.orders
            .insert(fencing, UnsettledOrder { action, reserved });
        ReserveOutcome::Granted
    }

    /// Ends an order.
    pub(super) fn settle(&mut self, fencing: FencingNumber, result: SettleResult) {
        let Some(order) = self.orders.remove(&fencing) else {
            return;
        };
        if result == SettleResult::Dropped {
            return;
        }
        let is_latest = fencing > self.carried_out;
        self.carried_out = self.carried_out.max(fencing);
        match order.action {
            OrderAction::Load(copy) => {
                if !self.confirmed.iter().any(|held| same_copy(held, &copy)) {
                    self.confirmed.push(ResidentCopy {
                        is_ready: true,
                        ..copy
                    });
                }
            }
            // A later order may have loaded the copy again; the next report tells.
            OrderAction::Unload(_) if !is_latest => {}
            OrderAction::Unload(copy) => self.confirmed.retain(|held| !same_copy(held, &copy)),
        }
    }

    /// Replaces the confirmed copies by those of a report.
    pub(super) fn confirm(
        &mut self,
        incarnation: Incarnation,
        last_fencing: FencingNumber,
        copies: &[ResidentCopy],
    ) {
        match self.incarnation {
            _ if self.former.contains(&incarnation) => return,
            Some(present) if present == incarnation => {
                if last_fencing < self.carried_out.max(self.reported) {
                    return;
                }
            }
            present => {
                self.retire(present);
                self.carried_out = 0;
                self.incarnation = Some(incarnation);
            }
        }
        self.reported = last_fencing;
        self.confirmed = copies.to_vec();
    }

    /// Forgets which process is behind the target, so that nothing is ordered until it reports.
    /// The process is not retired: an operator may correct a wrong address back to the old one.
    pub(super) fn forget_incarnation(&mut self) {
        self.incarnation = None;
    }

    fn retire(&mut self, incarnation: Option<Incarnation>) {
        if self.former.len() == MAX_FORMER {
            self.former.remove(0);
        }
        self.former.extend(incarnation);
    }

    /// Tells whether no order is unsettled.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.orders.is_empty()
    }

    /// Returns the life of the engine process that reported last.
    #[must_use]
    pub fn incarnation(&self) -> Option<Incarnation> {
        self.incarnation
    }

    /// Returns the copies that the engine confirmed.
    #[must_use]
    pub fn confirmed(&self) -> &[ResidentCopy] {
        &self.confirmed
    }

    /// Returns the orders that are not settled, by fencing number.
    pub fn orders(&self) -> impl Iterator<Item = (FencingNumber, &UnsettledOrder)> {
        self.orders.iter().map(|(fencing, order)| (*fencing, order))
    }

    /// Returns the greatest fencing number that was granted.
    #[must_use]
    pub fn granted_fencing(&self) -> FencingNumber {
        self.fencing
    }

    /// Returns the memory in MiB that may be taken on one accelerator, whichever of the unsettled
    /// orders the engine has carried out.
    #[must_use]
    pub fn used_mib(&self, accelerator: u32) -> u64 {
        self.reserved()
            .filter(|copy| spans(copy, accelerator))
            .fold(0, |sum, copy| sum.saturating_add(copy.memory_mib))
    }

    /// Returns every copy that may be in memory, each once. An unsettled load and an unsettled
    /// unload may name the same copy.
    fn reserved(&self) -> impl Iterator<Item = &ResidentCopy> {
        let ordered: Vec<&ResidentCopy> = self
            .orders
            .values()
            .filter_map(|order| order.reserved.as_ref())
            .filter(|copy| !self.confirmed.iter().any(|held| same_copy(held, copy)))
            .collect();
        let distinct = (0..ordered.len())
            .filter(|&index| {
                let earlier = &ordered[..index];
                !earlier.iter().any(|copy| same_copy(copy, ordered[index]))
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

fn order_limit(target: &TargetConfig) -> usize {
    if target.checks_fencing { MAX_ORDERS } else { 1 }
}

fn same_copy(one: &ResidentCopy, other: &ResidentCopy) -> bool {
    one.model == other.model
        && one.version == other.version
        && one.first_accelerator == other.first_accelerator
        && one.span == other.span
}

fn spans(copy: &ResidentCopy, accelerator: u32) -> bool {
    accelerator >= copy.first_accelerator && accelerator - copy.first_accelerator < copy.span
}
