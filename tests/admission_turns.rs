//! Tests that a turn to take a slot is never lost, since the requests behind it would wait until they are
//! refused although a slot is free.

use std::{sync::Arc, time::Duration};

use waxwinglatch::{
    admission::WaitingRequest,
    gateway::{AdmissionQueues, AdmissionTicket},
    route::PoolId,
};

/// Time within which a turn is noticed; it needs no I/O.
const TURN_TIME: Duration = Duration::from_millis(200);

fn enter(queues: &Arc<AdmissionQueues>, rank: u8) -> AdmissionTicket {
    let now = queues.time(std::time::Instant::now());
    let request = WaitingRequest {
        rank,
        team: "team".into(),
        arrived_at: now,
        latest_start: now + Duration::from_secs(5),
        wait_until: now + Duration::from_secs(5),
        work: 100,
    };
    queues.enter(&PoolId::Service("service".into()), request)
}

async fn has_turn(ticket: &AdmissionTicket) -> bool {
    tokio::time::timeout(TURN_TIME, ticket.turn()).await.is_ok()
}

/// Guards against a turn that ends with a caller that disconnects between its notification and its check.
#[tokio::test]
async fn a_caller_that_leaves_with_the_turn_passes_it_on() {
    let queues = Arc::new(AdmissionQueues::new());
    let first = enter(&queues, 0);
    let second = enter(&queues, 0);
    let third = enter(&queues, 0);
    assert!(has_turn(&first).await);
    assert!(!has_turn(&second).await);
    drop(first);
    assert!(has_turn(&second).await);
    assert!(!has_turn(&third).await);
    second.admit();
    assert!(has_turn(&third).await);
    drop(third);
    assert!(!queues.has_waiting());
}

/// Guards against a new request that takes a slot before a waiting one which precedes it, and against one that
/// waits behind a request which cannot use the slot.
#[tokio::test]
async fn a_new_request_gets_the_turn_only_after_those_that_precede_it() {
    let queues = Arc::new(AdmissionQueues::new());
    let urgent = enter(&queues, 0);
    let other = enter(&queues, 1);
    let same = enter(&queues, 0);
    assert!(has_turn(&urgent).await);
    assert!(!has_turn(&same).await);
    urgent.pass_turn();
    assert!(has_turn(&same).await);
    same.pass_turn();
    assert!(!has_turn(&other).await);
    drop(urgent);
    drop(same);
    assert!(has_turn(&other).await);
}

/// Guards against a request whose task is aborted while it waits and whose entry stays in the queue.
#[tokio::test]
async fn an_aborted_wait_leaves_the_queue() {
    let queues = Arc::new(AdmissionQueues::new());
    let first = enter(&queues, 0);
    assert!(has_turn(&first).await);
    let second = enter(&queues, 0);
    let wait = tokio::spawn(async move { second.turn().await });
    tokio::task::yield_now().await;
    wait.abort();
    assert!(wait.await.is_err());
    drop(first);
    assert!(!queues.has_waiting());
}
