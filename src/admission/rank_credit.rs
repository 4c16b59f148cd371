use std::time::Duration;

use super::{RankCounts, SLOTS_PER_LESS_URGENT};

/// Right of a gateway to give a slot to a less urgent request although more urgent ones wait at
/// other gateways.
///
/// The fleet owes its less urgent requests one of each 16 slots. Each gateway earns a part of this
/// in proportion to the less urgent requests that wait at it, without an exchange of its own.
#[derive(Debug, Default)]
pub struct RankCredit {
    slots: f64,
    updated_at: Duration,
}

impl RankCredit {
    /// Earns credit for the time since the last call, in which requests waited as `own` and `others`
    /// say and all gateways together gave `fleet_rate` slots a second.
    pub fn earn(&mut self, own: &RankCounts, others: &RankCounts, fleet_rate: f64, now: Duration) {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.updated_at = now;
        let Some(urgent) = others.iter().position(|count| *count > 0) else {
            self.slots = 0.0;
            return;
        };
        let less_urgent = |counts: &RankCounts| -> f64 {
            counts[urgent + 1..].iter().copied().map(f64::from).sum()
        };
        let own = less_urgent(own);
        let total = own + less_urgent(others);
        if total > 0.0 {
            let share = own / total / f64::from(SLOTS_PER_LESS_URGENT);
            // A gateway whose requests could not use their slots must not give many at once.
            self.slots = (self.slots + elapsed.min(1.0) * fleet_rate * share).min(1.0);
        }
    }

    /// Returns whether a whole slot is earned.
    #[must_use]
    pub fn has_slot(&self) -> bool {
        self.slots >= 1.0
    }

    /// Uses an earned slot.
    pub fn take_slot(&mut self) {
        self.slots = (self.slots - 1.0).max(0.0);
    }
}
