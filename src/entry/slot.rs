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

/// Time for which a target that took no connection gets no request.
const UNREACHABLE_TIME: Duration = Duration::from_secs(1);

/// A place at a target, given back when dropped.
pub struct TargetSlot {
    scheduler: Arc<Scheduler>,
    /// Target of the slot.
    pub target: Arc<TargetConfig>,
    /// Client with the connections to the target.
    pub client: Client,
    /// Why this target was chosen.
    pub choice: RouteChoice,
    taken_at: Instant,
    is_observed: bool,
}

impl TargetSlot {
    /// Wraps a place that the scheduler has counted.
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

    /// Notes the head of a response and what it says of the target's prefix cache.
    pub fn report_answer(&mut self, cached_tokens: Option<u32>) {
        let first_byte = self.taken_at.elapsed();
        self.observe(ExchangeOutcome::Answered { first_byte });
        if let Some(tokens) = cached_tokens {
            let mut tables = self.scheduler.tables();
            tables.replicas.record_cached_tokens(&self.choice, tokens);
        }
    }

    /// Notes that the target failed.
    pub fn report_failure(&mut self) {
        self.observe(ExchangeOutcome::Failed);
    }

    /// Notes that the target takes no connections, so that no other request spends a retry to learn
    /// the same.
    pub fn report_unreachable(&mut self) {
        self.observe(ExchangeOutcome::Failed);
        let until = self.scheduler.now() + UNREACHABLE_TIME;
        let mut tables = self.scheduler.tables();
        tables.set_unreachable(&self.target.id, until);
    }

    /// Stops the use of all connections to the target that are open now.
    ///
    /// A connection that carried another request's response may carry more of them, and the client
    /// does not tell which connection that was.
    pub fn abandon_connections(&self) {
        if let Err(error) = self.scheduler.abandon_connections(&self.target.id) {
            error!("entry: no new client for {}: {error}", self.target.id);
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
        self.scheduler.pump_all();
    }
}
