use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use reqwest::Client;
use spdlog::prelude::*;

use super::scheduler::Scheduler;
use crate::{
    border::TargetConfig,
    route::{ExchangeOutcome, RouteChoice},
};

/// Time for which a target that accepted no connection receives no requests.
const UNREACHABLE_PERIOD: Duration = Duration::from_secs(1);

/// An occupied slot at a target, released when dropped.
pub struct TargetSlot {
    scheduler: Arc<Scheduler>,
    /// Target of the slot.
    pub target: Arc<TargetConfig>,
    /// Client with the connections to the target.
    pub client: Client,
    /// Routing decision that selected this target.
    pub choice: RouteChoice,
    taken_at: Instant,
    is_observed: bool,
}

impl TargetSlot {
    /// Wraps a slot that the scheduler has counted.
    pub fn new(
        scheduler: Arc<Scheduler>,
        target: Arc<TargetConfig>,
        client: Client,
        choice: RouteChoice,
    ) -> Self {
        Self {
            scheduler,
            target,
            client,
            choice,
            taken_at: Instant::now(),
            is_observed: false,
        }
    }

    /// Records a response and the number of prompt tokens found in the target's prefix cache.
    pub fn report_response(&mut self, cached_tokens: Option<u32>) {
        let first_byte = self.taken_at.elapsed();
        self.observe(ExchangeOutcome::Answered { first_byte });
        if let Some(tokens) = cached_tokens {
            let mut tables = self.scheduler.tables();
            tables.replicas.record_cached_tokens(&self.choice, tokens);
        }
    }

    /// Records a failure of the target.
    pub fn report_failure(&mut self) {
        self.observe(ExchangeOutcome::Failed);
    }

    /// Records that the target accepts no connections, so that no other request spends a retry on
    /// it.
    pub fn report_unreachable(&mut self) {
        self.observe(ExchangeOutcome::Failed);
        let until = self.scheduler.now() + UNREACHABLE_PERIOD;
        let mut tables = self.scheduler.tables();
        tables.set_unreachable(&self.target.id, until);
    }

    /// Stops using all open connections to the target.
    ///
    /// A connection that returned another request's response may return more of them, and the
    /// client does not expose which connection was used.
    pub fn discard_connections(&self) {
        if let Err(error) = self.scheduler.discard_connections(&self.target.id) {
            error!(
                "entry: cannot replace the connections to target {}; they stay in use: {error}",
                self.target.id
            );
        }
    }

    fn observe(&mut self, exchange: ExchangeOutcome) {
        self.is_observed = true;
        let now: Duration = self.scheduler.now();
        let mut tables = self.scheduler.tables();
        tables.replicas.record_outcome(&self.choice, exchange, now);
    }
}

impl Drop for TargetSlot {
    fn drop(&mut self) {
        if !self.is_observed {
            self.observe(ExchangeOutcome::Cancelled);
        }
        let now = self.scheduler.now();
        {
            let mut tables = self.scheduler.tables();
            tables.replicas.record_end(&self.target.id, now);
            if let Some(running) = tables.running.get_mut(&self.target.id) {
                *running = running.saturating_sub(1);
            }
        }
        self.scheduler.dispatch_all();
    }
}
