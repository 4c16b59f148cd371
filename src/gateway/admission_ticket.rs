use std::sync::Arc;

use tokio::sync::Notify;

use super::admission_queues::AdmissionQueues;
use crate::{
    admission::{TicketId, WaitForecast},
    route::PoolId,
};

/// Place of a request in the queue of a pool. Dropping it, also because the caller has left, removes
/// the request and gives the turn to the next one.
pub struct AdmissionTicket {
    queues: Arc<AdmissionQueues>,
    pool: PoolId,
    id: TicketId,
    waiter: Arc<Notify>,
    is_admitted: bool,
}

impl AdmissionTicket {
    pub(super) fn new(
        queues: &Arc<AdmissionQueues>,
        pool: &PoolId,
        id: TicketId,
        waiter: Arc<Notify>,
    ) -> Self {
        Self {
            queues: Arc::clone(queues),
            pool: pool.clone(),
            id,
            waiter,
            is_admitted: false,
        }
    }

    /// Waits for the turn of the request.
    pub async fn turn(&self) {
        self.waiter.notified().await;
    }

    /// Gives the turn to the next request, because this one found no slot.
    pub fn pass_turn(&self) {
        self.queues.pass_turn(&self.pool, self.id);
    }

    /// Returns whether the request may take one of the free slots of the fleet.
    #[must_use]
    pub fn may_take_slot(&self, free_slots: u32) -> bool {
        self.queues.may_take_slot(&self.pool, self.id, free_slots)
    }

    /// Returns whether the request should be refused at once although it could still wait.
    #[must_use]
    pub fn is_futile(&self, free_slots: u32) -> bool {
        self.queues.is_futile(&self.pool, self.id, free_slots)
    }

    /// Returns the expected wait of the request; `None` when it no longer waits.
    #[must_use]
    pub fn forecast(&self) -> Option<WaitForecast> {
        self.queues.forecast(&self.pool, self.id)
    }

    /// Takes a slot and leaves the queue.
    pub fn admit(mut self) {
        self.is_admitted = true;
    }
}

impl Drop for AdmissionTicket {
    fn drop(&mut self) {
        self.queues.leave(&self.pool, self.id, self.is_admitted);
    }
}
