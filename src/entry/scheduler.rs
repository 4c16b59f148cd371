use std::{
    collections::{HashMap, HashSet},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use reqwest::Client;
use tokio::sync::oneshot;

use super::{
    scheduled_request::ScheduledRequest,
    target_slot::TargetSlot,
    view::{EntryView, SharedView},
};
use crate::{
    client::ConnectCounter,
    error::Result,
    fair::{FairQueue, PushRefusal, QueueLimits, TicketId},
    ids::{DataCentreId, TargetId, TeamId},
    region::DataCentreFilter,
    route::{Availability, PoolId, ReplicaTable, RouteChoice, RouteRequest, RouteTuning},
};

/// Maximum number of random selections made to find a target with a free slot, since two
/// selections in a row may both return full ones.
const MAX_CAPACITY_DRAWS: usize = 4;

/// Queues requests with fair sharing between teams and selects their targets.
pub struct Scheduler {
    view: Arc<SharedView>,
    counter: ConnectCounter,
    client: Client,
    started: Instant,
    tables: Mutex<SchedulerTables>,
}

/// Tables guarded by one lock, because queues and replica table are always used together.
pub struct SchedulerTables {
    /// Fair queue per pool.
    pub queues: HashMap<PoolId, FairQueue<WaitingRequest>>,
    /// Load, availability and pools of the targets.
    pub replicas: ReplicaTable,
    /// Number of this entry's requests that run at each target.
    pub running: HashMap<TargetId, u32>,
    /// Pools whose queue is not empty.
    pub waiting: HashSet<PoolId>,
    /// Targets that refused a connection, with the time until which they receive no requests.
    pub unreachable: HashMap<TargetId, Duration>,
    /// Per-target clients that replace the shared one after a connection returned the response of
    /// another request.
    pub clients: HashMap<TargetId, Client>,
}

/// A queued request with the channel that delivers its slot.
pub struct WaitingRequest {
    request: ScheduledRequest,
    sender: oneshot::Sender<Option<TargetSlot>>,
}

/// A request's position in the queue of a pool; dropping it cancels the request.
pub struct QueueTicket<'s> {
    scheduler: &'s Scheduler,
    pool: PoolId,
    id: TicketId,
    slot: oneshot::Receiver<Option<TargetSlot>>,
}

impl Scheduler {
    /// Creates a scheduler without targets; `distances` are round-trip times to data centres.
    ///
    /// # Errors
    /// [`crate::error::Error::Server`] when no client can be built.
    pub fn new(
        view: Arc<SharedView>,
        counter: ConnectCounter,
        distances: &[(DataCentreId, Duration)],
    ) -> Result<Self> {
        Ok(Self {
            view,
            client: counter.target_client()?,
            counter,
            started: Instant::now(),
            tables: Mutex::new(SchedulerTables {
                queues: HashMap::new(),
                replicas: ReplicaTable::new(RouteTuning::default(), distances),
                running: HashMap::new(),
                waiting: HashSet::new(),
                unreachable: HashMap::new(),
                clients: HashMap::new(),
            }),
        })
    }

    /// Returns the current time on the tables' clock, which starts with the scheduler.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Converts an instant to the tables' clock.
    pub fn clock_time(&self, instant: Instant) -> Duration {
        instant.saturating_duration_since(self.started)
    }

    /// Locks the tables.
    pub fn tables(&self) -> MutexGuard<'_, SchedulerTables> {
        self.tables.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Queues a request. It is dispatched at once when the queue is empty and a target has
    /// capacity.
    ///
    /// # Errors
    /// The reason for which the queue rejects the request.
    pub fn enqueue(
        self: &Arc<Self>,
        request: ScheduledRequest,
        deadline: Instant,
    ) -> Result<QueueTicket<'_>, PushRefusal> {
        let (sender, slot) = oneshot::channel();
        let pool = request.pool.clone();
        let (team, weight) = (request.team.clone(), request.weight);
        let (priority, cost) = (request.priority, request.cost);
        let now = self.now();
        let id = {
            let mut tables = self.tables();
            let queue = tables
                .queues
                .entry(pool.clone())
                .or_insert_with(|| FairQueue::new(QueueLimits::default()));
            let item = WaitingRequest { request, sender };
            let deadline = self.clock_time(deadline);
            let id = queue
                .push(&team, weight, priority, cost, deadline, now, item)
                .map_err(|refused| refused.reason)?;
            tables.waiting.insert(pool.clone());
            id
        };
        self.dispatch_pool(&pool);
        Ok(QueueTicket {
            scheduler: self,
            pool,
            id,
            slot,
        })
    }

    /// Dispatches the waiting requests of a pool while a target has capacity.
    pub fn dispatch_pool(self: &Arc<Self>, pool: &PoolId) {
        let view = self.view.get();
        let mut dispatched = Vec::new();
        {
            let mut tables = self.tables();
            let now = self.now();
            while tables.has_waiting(pool, now) && tables.has_room(pool, &view, now) {
                let next = tables.queues.get_mut(pool).and_then(|queue| queue.pop(now));
                let Some(WaitingRequest { request, sender }) = next else {
                    break;
                };
                let choice = tables.choose_target(&request, now);
                let target = choice
                    .as_ref()
                    .and_then(|choice| view.index.target(&choice.target));
                let slot = choice.zip(target).map(|(choice, target)| {
                    tables.record_dispatch(&choice, &request, now);
                    let client = tables.clients.get(&target.id).unwrap_or(&self.client);
                    TargetSlot::new(Arc::clone(self), Arc::clone(target), client.clone(), choice)
                });
                dispatched.push((sender, slot));
            }
        }
        // Sending to a cancelled request drops its slot, which locks the tables, so it must happen
        // after the lock above is released.
        for (sender, slot) in dispatched {
            let _ = sender.send(slot);
        }
    }

    /// Dispatches the waiting requests of all pools.
    pub fn dispatch_all(self: &Arc<Self>) {
        let waiting: Vec<PoolId> = self.tables().waiting.iter().cloned().collect();
        for pool in waiting {
            self.dispatch_pool(&pool);
        }
    }

    /// Credits a team's position in the queue after a request that used fewer tokens than its cost.
    pub fn refund(&self, pool: &PoolId, team: &TeamId, tokens: u64) {
        if let Some(queue) = self.tables().queues.get_mut(pool) {
            queue.refund(team, tokens);
        }
    }

    /// Replaces a target's client, so that none of its open connections is used again.
    ///
    /// # Errors
    /// [`crate::error::Error::Server`] when no client can be built.
    pub fn discard_connections(&self, target: &TargetId) -> Result<()> {
        let client = self.counter.target_client()?;
        self.tables().clients.insert(target.clone(), client);
        Ok(())
    }
}

impl SchedulerTables {
    /// Excludes a target from selection until the given time.
    pub fn set_unreachable(&mut self, target: &TargetId, until: Duration) {
        self.replicas.set_availability(target, Availability::Down);
        self.unreachable.insert(target.clone(), until);
    }

    /// Makes targets available again whose exclusion has expired.
    pub fn expire_unreachable(&mut self, now: Duration) {
        let Self {
            unreachable,
            replicas,
            ..
        } = self;
        unreachable.retain(|target, until| {
            let is_expired = *until <= now;
            if is_expired {
                replicas.set_availability(target, Availability::Up);
            }
            !is_expired
        });
    }

    fn has_waiting(&mut self, pool: &PoolId, now: Duration) -> bool {
        let Some(queue) = self.queues.get_mut(pool) else {
            return false;
        };
        // The timers of the expired requests answer their callers.
        queue.drain_expired(now);
        if queue.is_empty() {
            self.waiting.remove(pool);
            return false;
        }
        true
    }

    /// Whether a target of the pool has capacity. A target without requests of this entry always
    /// has, so that outdated load reports about other entries' requests cannot block a queue
    /// indefinitely.
    fn has_room(&self, pool: &PoolId, view: &EntryView, now: Duration) -> bool {
        let request = RouteRequest {
            pool,
            version: None,
            prompt_tokens: 0,
            prefix: &[],
            tried: &[],
            data_centres: &DataCentreFilter::Any,
            priority: 0,
            warmth: None,
        };
        (0..MAX_CAPACITY_DRAWS).any(|_| {
            let Some(choice) = self.replicas.choose(&request, now, &mut rand::rng()) else {
                return false;
            };
            let slots = view
                .index
                .target(&choice.target)
                .map_or(0, |target| target.slots);
            let running = self.running.get(&choice.target).copied().unwrap_or(0);
            #[allow(clippy::cast_precision_loss)] // Slots are far below 2^24.
            let is_free = running < slots && choice.load < slots as f32;
            running == 0 || is_free
        })
    }

    fn choose_target(&self, request: &ScheduledRequest, now: Duration) -> Option<RouteChoice> {
        let route = |version| RouteRequest {
            pool: &request.pool,
            version,
            prompt_tokens: request.prompt_tokens,
            prefix: &request.prefix,
            tried: &request.tried,
            data_centres: &DataCentreFilter::Any,
            priority: request.priority,
            warmth: None,
        };
        let mut rng = rand::rng();
        let version = request.version.as_ref();
        self.replicas
            .choose(&route(version), now, &mut rng)
            .or_else(|| self.replicas.choose(&route(None), now, &mut rng))
    }

    fn record_dispatch(&mut self, choice: &RouteChoice, request: &ScheduledRequest, now: Duration) {
        self.replicas.record_send(choice, now);
        self.replicas
            .record_prefixes(&choice.target, &request.prefix, now);
        *self.running.entry(choice.target.clone()).or_default() += 1;
    }
}

impl QueueTicket<'_> {
    /// Waits for a slot; returns `None` when no target can accept the request.
    pub async fn slot(&mut self) -> Option<TargetSlot> {
        (&mut self.slot).await.ok().flatten()
    }
}

impl Drop for QueueTicket<'_> {
    fn drop(&mut self) {
        let mut tables = self.scheduler.tables();
        if let Some(queue) = tables.queues.get_mut(&self.pool) {
            // A dispatched request has left the queue already.
            let _ = queue.cancel(self.id);
        }
    }
}
