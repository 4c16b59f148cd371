//! Tests of the weighted fair queue: shares, work conservation, limits and waiting times.

#![allow(clippy::cast_precision_loss)] // Token counts are small.

use std::time::Duration;

use compact_str::format_compact;
use proptest::prelude::*;
use rstest::rstest;
use waxwinglatch::{
    fair::{AGING_STEP, FairQueue, MAX_PRIORITY, PushRefusal, QueueLimits},
    ids::TeamId,
};

const FAR_DEADLINE: Duration = Duration::from_secs(1_000_000);
const START: Duration = Duration::from_secs(1);

fn team(index: usize) -> TeamId {
    format_compact!("team-{index}")
}

fn limits() -> QueueLimits {
    QueueLimits {
        max_team_items: 10_000,
        max_total_items: 100_000,
        max_lead_tokens: 20_000,
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against shares that drift from the weights. While two teams are backlogged,
    /// start-time fair queuing limits the difference of their normalised service to the sum of each
    /// team's largest cost divided by its weight.
    #[test]
    fn backlogged_teams_share_by_weight(
        weights in prop::collection::vec(1_u32..10, 2..6),
        costs in prop::collection::vec(1_u64..2000, 40..120),
    ) {
        let mut queue = FairQueue::new(limits());
        for (index, weight) in weights.iter().enumerate() {
            for cost in &costs {
                queue
                    .push(&team(index), *weight, 4, *cost, FAR_DEADLINE, START, (index, *cost))
                    .unwrap();
            }
        }
        let largest = *costs.iter().max().unwrap();
        let mut served = vec![0_u64; weights.len()];
        let mut items = vec![0; weights.len()];
        while let Some((index, cost)) = queue.pop(START) {
            served[index] += cost;
            items[index] += 1;
            if items[index] == costs.len() {
                break;
            }
            for a in 0..weights.len() {
                for b in 0..weights.len() {
                    let normalised = |at: usize| served[at] as f64 / f64::from(weights[at]);
                    let bound = largest as f64 * (1.0 / f64::from(weights[a]) + 1.0 / f64::from(weights[b]));
                    prop_assert!((normalised(a) - normalised(b)).abs() <= bound + 0.001);
                }
            }
        }
    }

    /// Guards against a queue that returns nothing while items are waiting, and against items that
    /// are lost or served twice.
    #[test]
    fn every_waiting_item_is_served_once(
        pushes in prop::collection::vec((0_usize..5, 0_u8..12, 1_u64..3000, any::<bool>()), 1..200),
    ) {
        let mut queue = FairQueue::new(limits());
        let mut expected = std::collections::BTreeSet::new();
        for (id, (index, priority, cost, is_served)) in pushes.iter().enumerate() {
            let now = START + Duration::from_millis(id as u64);
            queue.push(&team(*index), 1, *priority, *cost, FAR_DEADLINE, now, id).unwrap();
            expected.insert(id);
            queue.charge_remote_service(&[(team(*index + 1), 2, *cost * 7)]);
            if *is_served {
                let served = queue.pop(now);
                prop_assert!(served.is_some_and(|id| expected.remove(&id)));
            }
            prop_assert_eq!(queue.len(), expected.len());
        }
        while let Some(id) = queue.pop(START) {
            prop_assert!(expected.remove(&id));
        }
        prop_assert!(expected.is_empty());
    }

    /// Guards against starvation by other teams: an item waits for at most `max_lead_tokens` per
    /// unit of weight of the others plus one item of each, whatever its team was charged for
    /// service by other queues.
    #[test]
    fn charged_team_is_served_within_the_lead_limit(
        charge in 0_u64..10_000_000,
        common in 0_u64..1_000_000,
        weight in 1_u32..5,
    ) {
        let mut queue = FairQueue::new(limits());
        for item in 0..2000 {
            queue.push(&team(0), weight, 4, 100, FAR_DEADLINE, START, item).unwrap();
        }
        queue.charge_remote_service(&[(team(1), 1, charge)]);
        queue.push(&team(1), 1, 4, 100, FAR_DEADLINE, START, 9999).unwrap();
        let mut served_before = 0;
        while queue.pop(START).is_some_and(|item| item != 9999) {
            served_before += 100;
            queue.charge_remote_service(&[(team(0), weight, common), (team(1), 1, charge)]);
        }
        prop_assert!(
            served_before <= 20_000 * u64::from(weight) + 200,
            "{served_before} tokens were served before the charged team"
        );
    }
}

/// Guards against starvation within a team: an item of low priority is overtaken only by items that
/// arrive within the aging time.
#[test]
fn low_priority_item_is_overtaken_for_a_bounded_time() {
    let mut queue = FairQueue::new(limits());
    queue
        .push(&team(0), 1, 0, 1, FAR_DEADLINE, START, 0)
        .unwrap();
    let max_delay = AGING_STEP * u32::from(MAX_PRIORITY);
    queue
        .push(&team(0), 1, 9, 1, FAR_DEADLINE, START + max_delay / 2, 1)
        .unwrap();
    queue
        .push(
            &team(0),
            1,
            9,
            1,
            FAR_DEADLINE,
            START + max_delay + Duration::from_millis(1),
            2,
        )
        .unwrap();
    let order: Vec<i32> = std::iter::from_fn(|| queue.pop(START + max_delay)).collect();
    assert_eq!(order, [1, 0, 2]);
}

/// Guards against a team that exceeds its share because other entries serve it too.
#[test]
fn remote_service_counts_against_the_share() {
    let mut queue = FairQueue::new(limits());
    for item in 0..100 {
        for index in 0..2 {
            queue
                .push(&team(index), 1, 4, 100, FAR_DEADLINE, START, (index, item))
                .unwrap();
        }
    }
    queue.charge_remote_service(&[(team(0), 1, 2000)]);
    let first: Vec<usize> = (0..20)
        .filter_map(|_| queue.pop(START))
        .map(|(index, _)| index)
        .collect();
    assert_eq!(first, vec![1; 20]);
}

/// Guards against charges common to all teams that give some of them a lead.
#[test]
fn equal_remote_service_changes_no_share() {
    let mut queue = FairQueue::new(limits());
    for index in 0..2 {
        for item in 0..100 {
            queue
                .push(&team(index), 1, 4, 100, FAR_DEADLINE, START, (index, item))
                .unwrap();
        }
    }
    queue.charge_remote_service(&[(team(0), 1, 5_000_000), (team(1), 1, 5_001_000)]);
    let served = (0..30)
        .filter_map(|_| queue.pop(START))
        .filter(|(index, _)| *index == 0)
        .count();
    assert_eq!(served, 20);
}

/// Guards against an unbounded queue, and against items that are lost when they expire.
#[rstest]
fn limits_and_deadlines_hold() {
    let limits = QueueLimits {
        max_team_items: 2,
        max_total_items: 3,
        max_lead_tokens: 100,
    };
    let mut queue = FairQueue::new(limits);
    let soon = START + Duration::from_secs(1);
    queue.push(&team(0), 1, 4, 1, soon, START, 0).unwrap();
    let ticket = queue
        .push(&team(0), 1, 4, 1, FAR_DEADLINE, START, 1)
        .unwrap();
    let full = queue
        .push(&team(0), 1, 4, 1, FAR_DEADLINE, START, 2)
        .unwrap_err();
    assert_eq!((full.reason, full.item), (PushRefusal::TeamFull, 2));
    queue
        .push(&team(1), 1, 4, 1, FAR_DEADLINE, START, 3)
        .unwrap();
    let full = queue
        .push(&team(2), 1, 4, 1, FAR_DEADLINE, START, 4)
        .unwrap_err();
    assert_eq!(full.reason, PushRefusal::QueueFull);
    assert_eq!(queue.cancel(ticket), Some(1));
    assert_eq!(queue.pop(soon), Some(3));
    assert_eq!(queue.drain_expired(soon), [0]);
    let late = queue.push(&team(0), 1, 4, 1, soon, soon, 5).unwrap_err();
    assert_eq!(late.reason, PushRefusal::TooLate);
    for item in 6..8 {
        queue
            .push(&team(3), 1, 4, 10, FAR_DEADLINE, soon, item)
            .unwrap();
        assert_eq!(queue.pop(soon), Some(item));
    }
    assert_eq!(
        queue.tracked_teams(),
        1,
        "idle teams that are not ahead of virtual time must be removed"
    );
}

/// Guards against callers that wait in a queue that cannot serve them before their deadline.
#[test]
fn item_that_would_miss_its_deadline_is_refused_at_once() {
    let mut queue = FairQueue::new(limits());
    for item in 0..200 {
        queue
            .push(&team(0), 1, 4, 100, FAR_DEADLINE, START, item)
            .unwrap();
    }
    // The service rate is 1,000 tokens per second.
    for step in 1..=30 {
        queue.pop(START + Duration::from_millis(100) * step);
    }
    let now = START + Duration::from_secs(3);
    let deadline = now + Duration::from_secs(5);
    let refused = queue
        .push(&team(0), 1, 4, 100, deadline, now, 999)
        .unwrap_err();
    assert_eq!(refused.reason, PushRefusal::TooLate);
    assert!(
        queue.push(&team(0), 1, 9, 100, deadline, now, 999).is_ok(),
        "no item of the same or a higher priority is waiting"
    );
    assert!(
        queue.push(&team(1), 1, 4, 100, deadline, now, 999).is_ok(),
        "the team has no waiting items"
    );
}
