//! Tests of target selection, outlier ejection and the retry budget.

use std::{collections::HashMap, time::Duration};

use compact_str::format_compact;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use waxwinglatch::{
    ids::TargetId,
    region::DataCentreFilter,
    route::{
        Availability, ExchangeOutcome, HealthState, LoadReport, PoolId, PrefixBlock, PrefixIndex,
        ReplicaSpec, ReplicaTable, RetryBudget, RouteChoice, RouteRequest, RouteTuning,
    },
};

const START: Duration = Duration::from_secs(100);

fn target_id(index: usize) -> TargetId {
    format_compact!("target-{index}")
}

fn pool() -> PoolId {
    PoolId::Model("model".into())
}

fn table(targets: usize) -> ReplicaTable {
    table_with_tuning(targets, RouteTuning::default())
}

/// Returns a table without ring targets, so that only evidence attracts requests.
fn table_without_ring_targets(targets: usize) -> ReplicaTable {
    table_with_tuning(
        targets,
        RouteTuning {
            ring_targets: 0,
            ..RouteTuning::default()
        },
    )
}

fn table_with_tuning(targets: usize, tuning: RouteTuning) -> ReplicaTable {
    let mut table = ReplicaTable::new(tuning, &[("near".into(), Duration::ZERO)]);
    for index in 0..targets {
        table.upsert(&ReplicaSpec {
            target: target_id(index),
            data_centre: "near".into(),
            slots: 8,
            pools: vec![(pool(), Some("1".into()))],
        });
    }
    table
}

fn request<'r>(
    pool: &'r PoolId,
    prefix: &'r [PrefixBlock],
    tried: &'r [TargetId],
) -> RouteRequest<'r> {
    RouteRequest {
        pool,
        version: None,
        prompt_tokens: 2000,
        prefix,
        tried,
        data_centres: &DataCentreFilter::Any,
        priority: 4,
        warmth: None,
    }
}

fn choice(index: usize) -> RouteChoice {
    RouteChoice {
        target: target_id(index),
        cost_ms: 100.0,
        baseline_ms: 100.0,
        load: 0.0,
        cached_tokens: 0,
        prefill_tokens: 0,
        evidence: None,
        ring_tokens: None,
    }
}

fn choice_counts(
    table: &ReplicaTable,
    request: &RouteRequest,
    now: Duration,
) -> HashMap<TargetId, u32> {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut counts = HashMap::new();
    for _ in 0..400 {
        if let Some(choice) = table.choose(request, now, &mut rng) {
            *counts.entry(choice.target).or_default() += 1;
        }
    }
    counts
}

/// Guards against requests to a target that was tried before, is draining, is down or holds another
/// version, in pools smaller and larger than the sample.
#[rstest]
#[case(6)]
#[case(100)]
fn unusable_targets_are_never_chosen(#[case] targets: usize) {
    let mut table = table(targets);
    for index in 4..targets {
        table.set_availability(&target_id(index), Availability::Down);
    }
    table.set_availability(&target_id(0), Availability::Draining);
    table.upsert(&ReplicaSpec {
        target: target_id(1),
        data_centre: "near".into(),
        slots: 8,
        pools: vec![(pool(), Some("2".into()))],
    });
    let (pool, tried, version) = (pool(), [target_id(2)], "1".into());
    let mut request = request(&pool, &[], &tried);
    request.version = Some(&version);
    let counts = choice_counts(&table, &request, START);
    assert_eq!(counts, HashMap::from([(target_id(3), 400)]));
    table.remove(&target_id(3));
    assert!(choice_counts(&table, &request, START).is_empty());
}

/// Guards against overloading one target while others are idle.
#[test]
fn less_loaded_target_is_preferred() {
    let mut table = table(2);
    table.apply_report(
        &target_id(0),
        LoadReport {
            running: 8,
            queued: 8,
            measured_at: START,
        },
    );
    let pool = pool();
    let counts = choice_counts(&table, &request(&pool, &[], &[]), START);
    assert!(counts[&target_id(1)] > 350, "{counts:?}");
}

/// Guards against a late report that hides this entry's own sends or counts them twice.
#[test]
fn own_sends_count_until_a_report_includes_them() {
    let mut table = table(2);
    for _ in 0..16 {
        table.record_send(&choice(0), START);
    }
    let pool = pool();
    let request = request(&pool, &[], &[]);
    table.apply_report(
        &target_id(0),
        LoadReport {
            measured_at: Duration::from_secs(99),
            ..LoadReport::default()
        },
    );
    assert!(choice_counts(&table, &request, START)[&target_id(1)] > 350);
    for _ in 0..16 {
        table.record_end(&target_id(0), START);
    }
    table.apply_report(
        &target_id(0),
        LoadReport {
            measured_at: START,
            ..LoadReport::default()
        },
    );
    assert!(choice_counts(&table, &request, START)[&target_id(1)] < 250);
}

/// Guards against routing by evidence for a prefix that the target's cache has evicted.
#[test]
fn cached_prefix_attracts_requests_until_a_cache_miss() {
    let mut table = table_without_ring_targets(20);
    let prefix = [
        PrefixBlock {
            hash: 1,
            tokens: 1000,
        },
        PrefixBlock {
            hash: 2,
            tokens: 1900,
        },
    ];
    table.record_prefixes(&target_id(3), &prefix, START);
    let pool = pool();
    let request = request(&pool, &prefix, &[]);
    let later = START + Duration::from_secs(1);
    assert!(choice_counts(&table, &request, later)[&target_id(3)] > 390);
    let choice = table
        .choose(&request, later, &mut ChaCha8Rng::seed_from_u64(1))
        .unwrap();
    table.record_cached_tokens(&choice, 0);
    assert!(
        choice_counts(&table, &request, later)
            .get(&target_id(3))
            .copied()
            .unwrap_or(0)
            < 60
    );
}

/// Guards against entries that send the same prefix to different targets.
#[test]
fn entries_without_evidence_send_a_prefix_to_the_same_ring_targets() {
    let prefix = [PrefixBlock {
        hash: 77,
        tokens: 2000,
    }];
    let pool = pool();
    let request = request(&pool, &prefix, &[]);
    let chosen = |table: &ReplicaTable| {
        let counts = choice_counts(table, &request, START);
        let mut targets: Vec<_> = counts
            .into_iter()
            .filter(|(_, count)| *count > 100)
            .collect();
        targets.sort();
        targets
            .into_iter()
            .map(|(target, _)| target)
            .collect::<Vec<_>>()
    };
    let first = chosen(&table(40));
    assert_eq!(first.len(), 2);
    let mut other = table(50);
    for index in 40..50 {
        other.remove(&target_id(index));
    }
    assert_eq!(
        first,
        chosen(&other),
        "ring targets must not depend on the order of changes"
    );
}

/// Guards against evidence that is applied to another target at the same index of the table.
#[test]
fn new_target_inherits_no_evidence() {
    let mut table = table_without_ring_targets(1);
    let prefix = [PrefixBlock {
        hash: 1,
        tokens: 1000,
    }];
    table.record_prefixes(&target_id(0), &prefix, START);
    table.remove(&target_id(0));
    table.upsert(&ReplicaSpec {
        target: target_id(9),
        data_centre: "near".into(),
        slots: 8,
        pools: vec![(pool(), None)],
    });
    let pool = pool();
    let choice = table.choose(
        &request(&pool, &prefix, &[]),
        START,
        &mut ChaCha8Rng::seed_from_u64(1),
    );
    assert_eq!(choice.unwrap().cached_tokens, 0);
}

fn record_failures(table: &mut ReplicaTable, index: usize, now: Duration) {
    for _ in 0..6 {
        table.record_outcome(&choice(index), ExchangeOutcome::Failed, now);
    }
}

/// Guards against the ejection of so many targets that the pool goes out of service.
#[test]
fn at_most_one_third_of_a_pool_is_ejected() {
    let mut table = table(7);
    for index in 0..7 {
        record_failures(&mut table, index, START);
    }
    let is_ejected = |index: &usize| table.health(&target_id(*index)) != Some(HealthState::Healthy);
    assert_eq!((0..7).filter(is_ejected).count(), 2);
}

/// Guards against an ejected target that never recovers or that recovers under full load.
#[test]
fn ejected_target_is_probed_before_it_is_healthy() {
    let mut table = table(3);
    record_failures(&mut table, 0, START);
    let pool = pool();
    let request = request(&pool, &[], &[]);
    assert!(!choice_counts(&table, &request, START).contains_key(&target_id(0)));
    let later = START + Duration::from_secs(6);
    assert!(choice_counts(&table, &request, later).contains_key(&target_id(0)));
    table.record_send(&choice(0), later);
    assert!(
        !choice_counts(&table, &request, later).contains_key(&target_id(0)),
        "only one probe may run at a time"
    );
    let first_byte = Duration::from_millis(50);
    for _ in 0..3 {
        table.record_send(&choice(0), later);
        table.record_outcome(&choice(0), ExchangeOutcome::Answered { first_byte }, later);
    }
    assert_eq!(table.health(&target_id(0)), Some(HealthState::Healthy));
    record_failures(&mut table, 0, later);
    let again = later + Duration::from_secs(6);
    assert!(
        !choice_counts(&table, &request, again).contains_key(&target_id(0)),
        "the second ejection must be longer"
    );
}

/// Guards against a slow target that keeps receiving its share of the requests.
#[test]
fn slow_target_is_ejected() {
    let mut table = table(4);
    for index in 0..4 {
        let first_byte = Duration::from_millis(if index == 2 { 500 } else { 100 });
        for _ in 0..12 {
            table.record_outcome(
                &choice(index),
                ExchangeOutcome::Answered { first_byte },
                START,
            );
        }
    }
    table.evaluate_outliers(START);
    assert!(matches!(
        table.health(&target_id(2)),
        Some(HealthState::Ejected(_))
    ));
}

/// Guards against an index that grows with the number of prompts or evicts prefixes in use.
#[test]
fn prefix_index_is_bounded_and_keeps_prefixes_in_use() {
    let mut table = ReplicaTable::new(RouteTuning::default(), &[]);
    table.record_prefixes(&target_id(0), &[], START);
    let mut index = PrefixIndex::new(100);
    let holder = |time| waxwinglatch::route::PrefixHolder {
        replica: 0,
        generation: 1,
        seen_at: time,
    };
    for hash in 0..10_000 {
        index.add(hash, holder(START));
        index.add(1, holder(START));
        assert!(index.len() <= 100);
    }
    assert!(!index.holders(1).is_empty());
    assert!(index.holders(5).is_empty());
}

/// Guards against retries that amplify an overload.
#[test]
fn retries_stay_within_ten_percent_of_the_traffic() {
    let mut budget = RetryBudget::new();
    let team = TargetId::from("team");
    let allowed = |budget: &mut RetryBudget, now| {
        (0..1000)
            .filter(|_| budget.try_withdraw(&team, now))
            .count()
    };
    assert_eq!(
        allowed(&mut budget, START),
        3,
        "a team without traffic has a minimum number of retries"
    );
    for _ in 0..1000 {
        budget.record_request(&team, START);
    }
    assert_eq!(allowed(&mut budget, START), 97);
    assert_eq!(allowed(&mut budget, START + Duration::from_secs(60)), 3);
}
