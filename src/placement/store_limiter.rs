use std::time::Duration;

use crate::border::WeightStoreConfig;

/// Kind of weights that a load reads from the weight store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadKind {
    /// A model's weights, limited in rate and concurrency.
    Model,
    /// An adapter's weights, limited in concurrency only.
    Adapter,
}

/// Limits the rate and concurrency of loads to what the weight store serves at full speed. Beyond
/// these limits every load slows down.
#[derive(Debug)]
pub struct StoreLimiter {
    loads_per_second: f64,
    max_models: u32,
    max_adapters: u32,
    running_models: u32,
    running_adapters: u32,
    /// Model loads that may start now. At most 1, because the store counts the loads in each
    /// second and a burst would exceed its limit.
    credit: f64,
    refilled_at: Duration,
}

impl StoreLimiter {
    /// Returns a limiter with no running loads.
    #[must_use]
    pub fn new(limits: &WeightStoreConfig, now: Duration) -> Self {
        Self {
            loads_per_second: limits.loads_per_second,
            max_models: limits.concurrent_loads,
            max_adapters: limits.concurrent_adapter_loads,
            running_models: 0,
            running_adapters: 0,
            credit: 1.0,
            refilled_at: now,
        }
    }

    /// Replaces the limits. Running loads still count.
    pub fn set_limits(&mut self, limits: &WeightStoreConfig) {
        self.loads_per_second = limits.loads_per_second;
        self.max_models = limits.concurrent_loads;
        self.max_adapters = limits.concurrent_adapter_loads;
    }

    /// Returns whether a load may start now, and counts it as running if so.
    pub fn admit(&mut self, kind: LoadKind, now: Duration) -> bool {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        self.credit = (self.credit + elapsed * self.loads_per_second).min(1.0);
        match kind {
            LoadKind::Model if self.running_models < self.max_models && self.credit >= 1.0 => {
                self.credit -= 1.0;
                self.running_models += 1;
                true
            }
            LoadKind::Adapter if self.running_adapters < self.max_adapters => {
                self.running_adapters += 1;
                true
            }
            _ => false,
        }
    }

    /// Records the end of an admitted load.
    pub fn finish(&mut self, kind: LoadKind) {
        match kind {
            LoadKind::Model => self.running_models = self.running_models.saturating_sub(1),
            LoadKind::Adapter => self.running_adapters = self.running_adapters.saturating_sub(1),
        }
    }
}
