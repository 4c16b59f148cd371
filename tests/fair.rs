//! Guards the weighted fair queue: shares, work conservation, bounds and waiting times.

#![allow(clippy::cast_precision_loss)] // Token counts are small.

use std::time::Duration;

use compact_str::format_compact;
use proptest::prelude::*;
use rstest::rstest;
use waxwinglatch::{
    fair::{AGING_STEP, FairQueue, MAX_PRIORITY, PushRefusal, QueueLimits},
    ids::TeamId,
};

const FAR: Duration = Duration::from_secs(1_000_000);
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

    /// Guards against a share that drifts from the weights. While two teams both wait, start-time
    /// fair queuing keeps their normalised service within the largest cost of each over its weight.
    #[test]
    fn backlogged_teams_share_by_weight(
        weights in prop::collection::vec(1_u32..10, 2..6),
        costs in prop::collection::vec(1_u64..2000, 40..120),
    ) {
        let mut queue = FairQueue::new(limits());
        for (index, weight) in weights.iter().enumerate() {
            for cost in &costs {
                queue.push(&team(index), *weight, 4, *cost, FAR, START, (index, *cost)).unwrap();
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
                    let normal = |at: usize| served[at] as f64 / f64::from(weights[at]);
                    let bound = largest as f64 * (1.0 / f64::from(weights[a]) + 1.0 / f64::from(weights[b]));
                    prop_assert!((normal(a) - normal(b)).abs() <= bound + 0.001);
                }
            }
        }
    }

    /// Guards against an idle queue while something waits, and against items that are lost or
    /// served twice.
    #[test]
    fn everything_that_waits_is_served_once(
        pushes in prop::collection::vec((0_usize..5, 0_u8..12, 1_u64..3000, any::<bool>()), 1..200),
    ) {
        let mut queue = FairQueue::new(limits());
        let mut expected = std::collections::BTreeSet::new();
        for (id, (index, priority, cost, is_served)) in pushes.iter().enumerate() {
            let now = START + Duration::from_millis(id as u64);
            queue.push(&team(*index), 1, *priority, *cost, FAR, now, id).unwrap();
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

    /// Guards against starvation by other teams: an item waits for at most `max_lead_tokens` per unit
    /// of weight of the others plus one item of each, whatever was charged from elsewhere.
    #[test]
    fn a_team_is_served_within_the_stated_service(
        charge in 0_u64..10_000_000,
        common in 0_u64..1_000_000,
        weight in 1_u32..5,
    ) {
        let mut queue = FairQueue::new(limits());
        for item in 0..2000 {
            queue.push(&team(0), weight, 4, 100, FAR, START, item).unwrap();
        }
        queue.charge_remote_service(&[(team(1), 1, charge)]);
        queue.push(&team(1), 1, 4, 100, FAR, START, 9999).unwrap();
        let mut before = 0;
        while queue.pop(START).is_some_and(|item| item != 9999) {
            before += 100;
            queue.charge_remote_service(&[(team(0), weight, common), (team(1), 1, charge)]);
        }
        prop_assert!(before <= 20_000 * u64::from(weight) + 200, "{before} tokens before");
    }
}

/// Guards against starvation within a team: a low priority is overtaken only by items that arrive
/// within the aging time.
#[test]
fn a_low_priority_is_overtaken_for_a_bounded_time() {
    let mut queue = FairQueue::new(limits());
    queue.push(&team(0), 1, 0, 1, FAR, START, 0).unwrap();
    let bound = AGING_STEP * u32::from(MAX_PRIORITY);
    queue
        .push(&team(0), 1, 9, 1, FAR, START + bound / 2, 1)
        .unwrap();
    queue
        .push(
            &team(0),
            1,
            9,
            1,
            FAR,
            START + bound + Duration::from_millis(1),
            2,
        )
        .unwrap();
    let order: Vec<i32> = std::iter::from_fn(|| queue.pop(START + bound)).collect();
    assert_eq!(order, [1, 0, 2]);
}

/// Guards against a team that is served twice its share because it is served at other entries.
#[test]
fn service_elsewhere_counts_here() {
    let mut queue = FairQueue::new(limits());
    for item in 0..100 {
        for index in 0..2 {
            queue
                .push(&team(index), 1, 4, 100, FAR, START, (index, item))
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

/// Guards against charges common to all teams being taken for a lead of some.
#[test]
fn equal_service_elsewhere_changes_no_share() {
    let mut queue = FairQueue::new(limits());
    for index in 0..2 {
        for item in 0..100 {
            queue
                .push(&team(index), 1, 4, 100, FAR, START, (index, item))
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

/// Guards against a queue without bounds, and against items that are lost when they expire.
#[rstest]
fn bounds_and_deadlines_hold() {
    let limits = QueueLimits {
        max_team_items: 2,
        max_total_items: 3,
        max_lead_tokens: 100,
    };
    let mut queue = FairQueue::new(limits);
    let soon = START + Duration::from_secs(1);
    queue.push(&team(0), 1, 4, 1, soon, START, 0).unwrap();
    let ticket = queue.push(&team(0), 1, 4, 1, FAR, START, 1).unwrap();
    let full = queue.push(&team(0), 1, 4, 1, FAR, START, 2).unwrap_err();
    assert_eq!((full.reason, full.item), (PushRefusal::TeamFull, 2));
    queue.push(&team(1), 1, 4, 1, FAR, START, 3).unwrap();
    let full = queue.push(&team(2), 1, 4, 1, FAR, START, 4).unwrap_err();
    assert_eq!(full.reason, PushRefusal::QueueFull);
    assert_eq!(queue.cancel(ticket), Some(1));
    assert_eq!(queue.pop(soon), Some(3));
    assert_eq!(queue.drain_expired(soon), [0]);
    let late = queue.push(&team(0), 1, 4, 1, soon, soon, 5).unwrap_err();
    assert_eq!(late.reason, PushRefusal::TooLate);
    for item in 6..8 {
        queue.push(&team(3), 1, 4, 10, FAR, soon, item).unwrap();
        assert_eq!(queue.pop(soon), Some(item));
    }
    assert_eq!(
        queue.tracked_teams(),
        1,
        "teams that are not ahead of virtual time cost nothing"
    );
}

/// Guards against callers that wait in vain for a queue that cannot reach them in time.
#[test]
fn an_item_that_cannot_be_served_in_time_is_refused_at_once() {
    let mut queue = FairQueue::new(limits());
    for item in 0..200 {
        queue.push(&team(0), 1, 4, 100, FAR, START, item).unwrap();
    }
    // 1,000 tokens a second.
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
        "nothing waits above it"
    );
    assert!(
        queue.push(&team(1), 1, 4, 100, deadline, now, 999).is_ok(),
        "its share is free"
    );
}
