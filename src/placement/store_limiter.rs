use std::time::Duration;

use crate::border::WeightStoreConfig;

/// What is read from the weight store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadKind {
    /// A model's weights; limited in rate and number.
    Model,
    /// An adapter's weights; limited in number.
    Adapter,
}

/// Keeps loads within the weight store's limits, beyond which every load slows down.
#[derive(Debug)]
pub struct StoreLimiter {
    rate: f64,
    concurrent_models: u32,
    concurrent_adapters: u32,
    running_models: u32,
    running_adapters: u32,
    /// Loads that may start now; at most one, since the store counts loads in each second.
    credit: f64,
    refilled_at: Duration,
}

impl StoreLimiter {
    /// Returns an idle schedule with the store's limits.
    #[must_use]
    pub fn new(limits: &WeightStoreConfig, now: Duration) -> Self {
        Self {
            rate: limits.loads_per_second,
            concurrent_models: limits.concurrent_loads,
            concurrent_adapters: limits.concurrent_adapter_loads,
            running_models: 0,
            running_adapters: 0,
            credit: 1.0,
            refilled_at: now,
        }
    }

    /// Takes over new limits; running loads stay counted.
    pub fn set_limits(&mut self, limits: &WeightStoreConfig) {
        self.rate = limits.loads_per_second;
        self.concurrent_models = limits.concurrent_loads;
        self.concurrent_adapters = limits.concurrent_adapter_loads;
    }

    /// Tells whether a load may start now, and counts it as running if so.
    pub fn admit(&mut self, kind: LoadKind, now: Duration) -> bool {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        self.credit = (self.credit + elapsed * self.rate).min(1.0);
        match kind {
            LoadKind::Model
                if self.running_models < self.concurrent_models && self.credit >= 1.0 =>
            {
                self.credit -= 1.0;
                self.running_models += 1;
                true
            }
            LoadKind::Adapter if self.running_adapters < self.concurrent_adapters => {
                self.running_adapters += 1;
                true
            }
            _ => false,
        }
    }

    /// Ends a load that was admitted.
    pub fn finish(&mut self, kind: LoadKind) {
        match kind {
            LoadKind::Model => self.running_models = self.running_models.saturating_sub(1),
            LoadKind::Adapter => self.running_adapters = self.running_adapters.saturating_sub(1),
        }
    }
}
