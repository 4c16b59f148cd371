use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use tokio::sync::oneshot;

/// Slots of an engine with its internal queue: the highest priority first, then the oldest.
#[derive(Clone)]
pub struct SlotQueue(Arc<Mutex<SlotTable>>);

struct SlotTable {
    free: u32,
    running: u32,
    last_number: u64,
    waiting: BinaryHeap<WaitingRequest>,
}

struct WaitingRequest {
    order: (u8, Reverse<u64>),
    wake: oneshot::Sender<EngineSlot>,
}

/// A slot, given back when dropped.
pub struct EngineSlot(Option<SlotQueue>);

impl SlotQueue {
    pub fn new(slots: u32) -> Self {
        Self(Arc::new(Mutex::new(SlotTable {
            free: slots,
            running: 0,
            last_number: 0,
            waiting: BinaryHeap::new(),
        })))
    }

    /// Waits for a slot.
    pub async fn take(&self, priority: u8) -> EngineSlot {
        let receiver = {
            let mut table = self.lock();
            if table.free > 0 {
                table.free -= 1;
                table.running += 1;
                return EngineSlot(Some(self.clone()));
            }
            table.last_number += 1;
            let order = (priority, Reverse(table.last_number));
            let (wake, receiver) = oneshot::channel();
            table.waiting.push(WaitingRequest { order, wake });
            receiver
        };
        receiver.await.expect("a waiting request is never dropped")
    }

    /// Number of requests that run and that wait.
    pub fn load(&self) -> (u32, u32) {
        let table = self.lock();
        let waiting = table
            .waiting
            .iter()
            .filter(|waiting| !waiting.wake.is_closed())
            .count();
        (table.running, u32::try_from(waiting).unwrap_or(u32::MAX))
    }

    fn release(&self) {
        loop {
            let next = {
                let mut table = self.lock();
                let Some(next) = table.waiting.pop() else {
                    table.free += 1;
                    table.running -= 1;
                    return;
                };
                next
            };
            // The slot goes to the next request, unless its caller is gone.
            match next.wake.send(EngineSlot(Some(self.clone()))) {
                Ok(()) => return,
                Err(mut unclaimed) => unclaimed.0 = None,
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, SlotTable> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for EngineSlot {
    fn drop(&mut self) {
        if let Some(queue) = self.0.take() {
            queue.release();
        }
    }
}

impl PartialEq for WaitingRequest {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}

impl Eq for WaitingRequest {}

impl PartialOrd for WaitingRequest {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for WaitingRequest {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.order.cmp(&other.order)
    }
}
