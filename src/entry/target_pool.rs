use std::{
    collections::HashMap,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use rand::seq::IndexedRandom;
use reqwest::Client;
use spdlog::prelude::*;
use tokio::sync::Notify;

use crate::{border::TargetConfig, client::ConnectCounter, error::Result, ids::TargetId};

/// Time that a target is avoided after its connection failed.
const REST_AFTER_FAILURE: Duration = Duration::from_millis(500);

/// What this entry has running at each target, and the connections to it.
pub struct TargetPool {
    client: Client,
    counter: ConnectCounter,
    states: Mutex<HashMap<TargetId, TargetState>>,
    released: Notify,
}

#[derive(Default)]
struct TargetState {
    running: u32,
    resting_until: Option<Instant>,
    /// Replaces the shared client after a connection of this target lost its order.
    client: Option<Client>,
}

/// A place at a target, given back when dropped.
pub struct TargetSlot {
    pool: Arc<TargetPool>,
    /// Target of the slot.
    pub target: Arc<TargetConfig>,
    /// Client with the connections to the target.
    pub client: Client,
}

impl TargetPool {
    pub fn new(counter: ConnectCounter) -> Result<Self> {
        Ok(Self {
            client: counter.target_client()?,
            counter,
            states: Mutex::default(),
            released: Notify::new(),
        })
    }

    /// Takes a slot at the less loaded of two random candidates; `None` while all are full.
    pub fn choose(
        self: &Arc<Self>,
        candidates: &[Arc<TargetConfig>],
        now: Instant,
    ) -> Option<TargetSlot> {
        let mut states = self.states.lock().unwrap_or_else(PoisonError::into_inner);
        let running =
            |target: &TargetConfig| states.get(&target.id).map_or(0, |state| state.running);
        let rested = |target: &TargetConfig| {
            let resting = states.get(&target.id).and_then(|state| state.resting_until);
            resting.is_none_or(|until| until <= now)
        };
        let free: Vec<&Arc<TargetConfig>> = candidates
            .iter()
            .filter(|target| running(target) < target.slots)
            .collect();
        let preferred: Vec<&Arc<TargetConfig>> = free
            .iter()
            .copied()
            .filter(|target| rested(target))
            .collect();
        let drawn = if preferred.is_empty() {
            &free
        } else {
            &preferred
        };
        let target = drawn
            .choose_multiple(&mut rand::rng(), 2)
            .min_by_key(|target| running(target) * 1_000 / target.slots.max(1))?;
        let target = Arc::clone(target);
        let state = states.entry(target.id.clone()).or_default();
        state.running += 1;
        let client = state.client.as_ref().unwrap_or(&self.client).clone();
        Some(TargetSlot {
            pool: Arc::clone(self),
            target,
            client,
        })
    }

    /// Waits until a slot is given back; call it before [`TargetPool::choose`] and await it after.
    pub fn released(&self) -> tokio::sync::futures::Notified<'_> {
        self.released.notified()
    }
}

impl TargetSlot {
    /// Avoids the target for a while.
    pub fn report_failure(&self) {
        let mut states = self
            .pool
            .states
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(state) = states.get_mut(&self.target.id) {
            state.resting_until = Some(Instant::now() + REST_AFTER_FAILURE);
        }
    }

    /// Stops the use of all connections to the target that are open now.
    ///
    /// A connection that carried another request's response may carry more of them, and the client
    /// does not tell which connection that was.
    pub fn abandon_connections(&self) {
        match self.pool.counter.target_client() {
            Ok(client) => {
                let mut states = self
                    .pool
                    .states
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner);
                if let Some(state) = states.get_mut(&self.target.id) {
                    state.client = Some(client);
                }
            }
            Err(error) => error!("entry: no new client for {}: {error}", self.target.id),
        }
    }
}

impl Drop for TargetSlot {
    fn drop(&mut self) {
        let mut states = self
            .pool
            .states
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(state) = states.get_mut(&self.target.id) {
            state.running = state.running.saturating_sub(1);
        }
        drop(states);
        self.pool.released.notify_waiters();
    }
}
