use std::{
    collections::{HashMap, HashSet},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use reqwest::Client;
use tokio::sync::oneshot;

use super::{
    scheduled::ScheduledRequest,
    slot::TargetSlot,
    view::{EntryView, SharedView},
};
use crate::{
    client::ConnectCounter,
    error::Result,
    fair::{FairQueue, PushRefusal, QueueLimits, TicketId},
    ids::{DataCentreId, TargetId, TeamId},
    route::{Availability, PoolId, ReplicaTable, RouteChoice, RouteRequest, RouteTuning},
};

/// Choices made to find a target with a free place, since two draws may both meet full ones.
const ROOM_TRIES: usize = 4;

/// Queues requests fairly over teams and chooses their targets.
pub struct Scheduler {
    view: Arc<SharedView>,
    counter: ConnectCounter,
    client: Client,
    started: Instant,
    tables: Mutex<SchedulerTables>,
}

/// Tables behind one lock; queue and replica table are always used together.
pub struct SchedulerTables {
    /// Fair queue of each pool.
    pub queues: HashMap<PoolId, FairQueue<WaitingRequest>>,
    /// What is known of the targets.
    pub replicas: ReplicaTable,
    /// Requests of this entry at each target.
    pub running: HashMap<TargetId, u32>,
    /// Pools whose queue is not empty.
    pub waiting: HashSet<PoolId>,
    /// Targets that took no connection, and the time until which they get no request.
    pub unreachable: HashMap<TargetId, Duration>,
    /// Clients that replace the shared one, after a connection of a target lost its order.
    pub clients: HashMap<TargetId, Client>,
}

/// A request in a queue.
pub struct WaitingRequest {
    request: ScheduledRequest,
    wake: oneshot::Sender<Option<TargetSlot>>,
}

/// A place in the queue of a pool, given up when dropped.
pub struct QueueTicket<'s> {
    scheduler: &'s Scheduler,
    pool: PoolId,
    id: TicketId,
    placed: oneshot::Receiver<Option<TargetSlot>>,
}

impl Scheduler {
    /// Creates a scheduler without targets; `distances` are round trips to data centres.
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

    /// Time since the process started, as the tables use it.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Moment on the tables' clock.
    pub fn at(&self, instant: Instant) -> Duration {
        instant.saturating_duration_since(self.started)
    }

    /// Locks the tables.
    pub fn tables(&self) -> MutexGuard<'_, SchedulerTables> {
        self.tables.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Queues a request. It is placed at once when no other waits and a target has room.
    ///
    /// # Errors
    /// The reason why the queue does not take it.
    pub fn enter(
        self: &Arc<Self>,
        request: ScheduledRequest,
        deadline: Instant,
    ) -> Result<QueueTicket<'_>, PushRefusal> {
        let (wake, placed) = oneshot::channel();
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
            let item = WaitingRequest { request, wake };
            let deadline = self.at(deadline);
            let id = queue
                .push(&team, weight, priority, cost, deadline, now, item)
                .map_err(|refused| refused.reason)?;
            tables.waiting.insert(pool.clone());
            id
        };
        self.pump(&pool);
        Ok(QueueTicket {
            scheduler: self,
            pool,
            id,
            placed,
        })
    }

    /// Places waiting requests of a pool as long as a target has room.
    pub fn pump(self: &Arc<Self>, pool: &PoolId) {
        let view = self.view.get();
        let mut placed = Vec::new();
        {
            let mut tables = self.tables();
            let now = self.now();
            while tables.has_waiting(pool, now) && tables.has_room(pool, &view, now) {
                let next = tables.queues.get_mut(pool).and_then(|queue| queue.pop(now));
                let Some(WaitingRequest { request, wake }) = next else {
                    break;
                };
                let choice = tables.choose(&request, now);
                let target = choice
                    .as_ref()
                    .and_then(|choice| view.index.target(&choice.target));
                let slot = choice.zip(target).map(|(choice, target)| {
                    tables.take(&choice, &request, now);
                    let client = tables.clients.get(&target.id).unwrap_or(&self.client);
                    TargetSlot::new(Arc::clone(self), Arc::clone(target), client.clone(), choice)
                });
                placed.push((wake, slot));
            }
        }
        // A slot whose caller is gone locks the tables when it is dropped here.
        for (wake, slot) in placed {
            let _ = wake.send(slot);
        }
    }

    /// Places waiting requests of all pools.
    pub fn pump_all(self: &Arc<Self>) {
        let waiting: Vec<PoolId> = self.tables().waiting.iter().cloned().collect();
        for pool in waiting {
            self.pump(&pool);
        }
    }

    /// Moves a team's place in the queue back after a request that used less than its cost.
    pub fn refund(&self, pool: &PoolId, team: &TeamId, tokens: u64) {
        if let Some(queue) = self.tables().queues.get_mut(pool) {
            queue.refund(team, tokens);
        }
    }

    /// Stops the use of all connections to a target that are open now.
    ///
    /// # Errors
    /// [`crate::error::Error::Server`] when no client can be built.
    pub fn abandon_connections(&self, target: &TargetId) -> Result<()> {
        let client = self.counter.target_client()?;
        self.tables().clients.insert(target.clone(), client);
        Ok(())
    }
}

impl SchedulerTables {
    /// Sends no request to a target for a while.
    pub fn set_unreachable(&mut self, target: &TargetId, until: Duration) {
        self.replicas.set_availability(target, Availability::Down);
        self.unreachable.insert(target.clone(), until);
    }

    /// Takes targets back whose time is over.
    pub fn end_unreachable(&mut self, now: Duration) {
        let Self {
            unreachable,
            replicas,
            ..
        } = self;
        unreachable.retain(|target, until| {
            let is_over = *until <= now;
            if is_over {
                replicas.set_availability(target, Availability::Up);
            }
            !is_over
        });
    }

    fn has_waiting(&mut self, pool: &PoolId, now: Duration) -> bool {
        let Some(queue) = self.queues.get_mut(pool) else {
            return false;
        };
        // Their callers were told by their own timers.
        queue.drain_expired(now);
        if queue.is_empty() {
            self.waiting.remove(pool);
            return false;
        }
        true
    }

    /// Whether a target of the pool has room. A target that runs nothing of this entry always has,
    /// so that old reports of others' requests cannot keep a queue waiting for ever.
    fn has_room(&self, pool: &PoolId, view: &EntryView, now: Duration) -> bool {
        let request = RouteRequest {
            pool,
            version: None,
            prompt_tokens: 0,
            prefix: &[],
            tried: &[],
            priority: 0,
        };
        (0..ROOM_TRIES).any(|_| {
            let Some(choice) = self.replicas.choose(&request, now, &mut rand::rng()) else {
                return false;
            };
            let slots = view.index.target(&choice.target).map_or(0, |it| it.slots);
            let running = self.running.get(&choice.target).copied().unwrap_or(0);
            #[allow(clippy::cast_precision_loss)] // Slots are far below 2^24.
            let is_free = running < slots && choice.load < slots as f32;
            running == 0 || is_free
        })
    }

    fn choose(&self, request: &ScheduledRequest, now: Duration) -> Option<RouteChoice> {
        let route = |version| RouteRequest {
            pool: &request.pool,
            version,
            prompt_tokens: request.prompt_tokens,
            prefix: &request.prefix,
            tried: &request.tried,
            priority: request.priority,
        };
        let mut rng = rand::rng();
        let version = request.version.as_ref();
        self.replicas
            .choose(&route(version), now, &mut rng)
            .or_else(|| self.replicas.choose(&route(None), now, &mut rng))
    }

    fn take(&mut self, choice: &RouteChoice, request: &ScheduledRequest, now: Duration) {
        self.replicas.record_send(choice, now);
        self.replicas
            .record_prefixes(&choice.target, &request.prefix, now);
        *self.running.entry(choice.target.clone()).or_default() += 1;
    }
}

impl QueueTicket<'_> {
    /// Waits for a slot; `None` when no target can take the request.
    pub async fn placed(&mut self) -> Option<TargetSlot> {
        (&mut self.placed).await.ok().flatten()
    }
}

impl Drop for QueueTicket<'_> {
    fn drop(&mut self) {
        let mut tables = self.scheduler.tables();
        if let Some(queue) = tables.queues.get_mut(&self.pool) {
            // A request that was placed has left the queue already.
            let _ = queue.cancel(self.id);
        }
    }
}
