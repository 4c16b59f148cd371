//! Guards the choice of a target, the ejection of outliers and the retry budget.

use std::{collections::HashMap, time::Duration};

use compact_str::format_compact;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use waxwinglatch::{
    ids::TargetId,
    route::{
        Availability, ExchangeOutcome, HealthState, LoadReport, PoolId, PrefixBlock, PrefixIndex,
        ReplicaSpec, ReplicaTable, RetryBudget, RouteChoice, RouteRequest, RouteTuning,
    },
};

const START: Duration = Duration::from_secs(100);

fn name(index: usize) -> TargetId {
    format_compact!("target-{index}")
}

fn pool() -> PoolId {
    PoolId::Model("model".into())
}

fn table(targets: usize) -> ReplicaTable {
    tuned_table(targets, RouteTuning::default())
}

/// Without homes, only evidence attracts requests.
fn table_without_homes(targets: usize) -> ReplicaTable {
    tuned_table(
        targets,
        RouteTuning {
            ring_targets: 0,
            ..RouteTuning::default()
        },
    )
}

fn tuned_table(targets: usize, tuning: RouteTuning) -> ReplicaTable {
    let mut table = ReplicaTable::new(tuning, &[("near".into(), Duration::ZERO)]);
    for index in 0..targets {
        table.upsert(&ReplicaSpec {
            target: name(index),
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
        priority: 4,
    }
}

fn choice(index: usize) -> RouteChoice {
    RouteChoice {
        target: name(index),
        cost_ms: 100.0,
        baseline_ms: 100.0,
        load: 0.0,
        cached_tokens: 0,
        prefill_tokens: 0,
        evidence: None,
        ring_tokens: None,
    }
}

fn choices(table: &ReplicaTable, request: &RouteRequest, now: Duration) -> HashMap<TargetId, u32> {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut counts = HashMap::new();
    for _ in 0..400 {
        if let Some(choice) = table.choose(request, now, &mut rng) {
            *counts.entry(choice.target).or_default() += 1;
        }
    }
    counts
}

/// Guards against requests sent to a target that was tried, leaves, is down or holds another
/// version, in pools below and above the sample.
#[rstest]
#[case(6)]
#[case(100)]
fn unusable_targets_are_never_chosen(#[case] targets: usize) {
    let mut table = table(targets);
    for index in 4..targets {
        table.set_availability(&name(index), Availability::Down);
    }
    table.set_availability(&name(0), Availability::Draining);
    table.upsert(&ReplicaSpec {
        target: name(1),
        data_centre: "near".into(),
        slots: 8,
        pools: vec![(pool(), Some("2".into()))],
    });
    let (pool, tried, version) = (pool(), [name(2)], "1".into());
    let mut request = request(&pool, &[], &tried);
    request.version = Some(&version);
    let counts = choices(&table, &request, START);
    assert_eq!(counts, HashMap::from([(name(3), 400)]));
    table.remove(&name(3));
    assert!(choices(&table, &request, START).is_empty());
}

/// Guards against overload of one target while others are free.
#[test]
fn the_less_loaded_target_is_preferred() {
    let mut table = table(2);
    table.apply_report(
        &name(0),
        LoadReport {
            running: 8,
            queued: 8,
            measured_at: START,
        },
    );
    let pool = pool();
    let counts = choices(&table, &request(&pool, &[], &[]), START);
    assert!(counts[&name(1)] > 350, "{counts:?}");
}

/// Guards against a late report that hides this entry's own sends, or counts them twice.
#[test]
fn own_sends_count_until_a_report_contains_them() {
    let mut table = table(2);
    for _ in 0..16 {
        table.record_send(&choice(0), START);
    }
    let pool = pool();
    let request = request(&pool, &[], &[]);
    table.apply_report(
        &name(0),
        LoadReport {
            measured_at: Duration::from_secs(99),
            ..LoadReport::default()
        },
    );
    assert!(choices(&table, &request, START)[&name(1)] > 350);
    for _ in 0..16 {
        table.record_end(&name(0), START);
    }
    table.apply_report(
        &name(0),
        LoadReport {
            measured_at: START,
            ..LoadReport::default()
        },
    );
    assert!(choices(&table, &request, START)[&name(1)] < 250);
}

/// Guards against beliefs about a cache that has dropped the prefix.
#[test]
fn a_prefix_attracts_requests_until_it_is_found_missing() {
    let mut table = table_without_homes(20);
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
    table.record_prefixes(&name(3), &prefix, START);
    let pool = pool();
    let request = request(&pool, &prefix, &[]);
    let later = START + Duration::from_secs(1);
    assert!(choices(&table, &request, later)[&name(3)] > 390);
    let choice = table
        .choose(&request, later, &mut ChaCha8Rng::seed_from_u64(1))
        .unwrap();
    table.record_cached_tokens(&choice, 0);
    assert!(
        choices(&table, &request, later)
            .get(&name(3))
            .copied()
            .unwrap_or(0)
            < 60
    );
}

/// Guards against entries that each spread the same prefix over other targets.
#[test]
fn entries_without_evidence_send_a_prefix_to_the_same_targets() {
    let prefix = [PrefixBlock {
        hash: 77,
        tokens: 2000,
    }];
    let pool = pool();
    let request = request(&pool, &prefix, &[]);
    let chosen = |table: &ReplicaTable| {
        let counts = choices(table, &request, START);
        let mut names: Vec<_> = counts
            .into_iter()
            .filter(|(_, count)| *count > 100)
            .collect();
        names.sort();
        names.into_iter().map(|(name, _)| name).collect::<Vec<_>>()
    };
    let first = chosen(&table(40));
    assert_eq!(first.len(), 2);
    let mut other = table(50);
    for index in 40..50 {
        other.remove(&name(index));
    }
    assert_eq!(
        first,
        chosen(&other),
        "the order of changes does not matter"
    );
}

/// Guards against beliefs that pass to another target in the same place of the table.
#[test]
fn a_new_target_inherits_no_belief() {
    let mut table = table_without_homes(1);
    let prefix = [PrefixBlock {
        hash: 1,
        tokens: 1000,
    }];
    table.record_prefixes(&name(0), &prefix, START);
    table.remove(&name(0));
    table.upsert(&ReplicaSpec {
        target: name(9),
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

fn fail(table: &mut ReplicaTable, index: usize, now: Duration) {
    for _ in 0..6 {
        table.record_outcome(&choice(index), ExchangeOutcome::Failed, now);
    }
}

/// Guards against a pool that ejects itself out of service.
#[test]
fn at_most_a_third_of_a_pool_is_ejected() {
    let mut table = table(7);
    for index in 0..7 {
        fail(&mut table, index, START);
    }
    let is_ejected = |index: &usize| table.health(&name(*index)) != Some(HealthState::Healthy);
    assert_eq!((0..7).filter(is_ejected).count(), 2);
}

/// Guards against a target that never comes back, or comes back under full load.
#[test]
fn an_ejected_target_is_probed_before_it_returns() {
    let mut table = table(3);
    fail(&mut table, 0, START);
    let pool = pool();
    let request = request(&pool, &[], &[]);
    assert!(!choices(&table, &request, START).contains_key(&name(0)));
    let later = START + Duration::from_secs(6);
    assert!(choices(&table, &request, later).contains_key(&name(0)));
    table.record_send(&choice(0), later);
    assert!(
        !choices(&table, &request, later).contains_key(&name(0)),
        "one probe at a time"
    );
    let first_byte = Duration::from_millis(50);
    for _ in 0..3 {
        table.record_send(&choice(0), later);
        table.record_outcome(&choice(0), ExchangeOutcome::Answered { first_byte }, later);
    }
    assert_eq!(table.health(&name(0)), Some(HealthState::Healthy));
    fail(&mut table, 0, later);
    let again = later + Duration::from_secs(6);
    assert!(
        !choices(&table, &request, again).contains_key(&name(0)),
        "the second time is longer"
    );
}

/// Guards against a slow target that keeps its share of the requests.
#[test]
fn a_slow_target_is_ejected() {
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
        table.health(&name(2)),
        Some(HealthState::Ejected(_))
    ));
}

/// Guards against beliefs that grow with the number of prompts.
#[test]
fn beliefs_are_bounded_and_keep_what_is_used() {
    let mut table = ReplicaTable::new(RouteTuning::default(), &[]);
    table.record_prefixes(&name(0), &[], START);
    let mut belief = PrefixIndex::new(100);
    let holder = |at| waxwinglatch::route::PrefixHolder {
        replica: 0,
        generation: 1,
        seen_at: at,
    };
    for hash in 0..10_000 {
        belief.add(hash, holder(START));
        belief.add(1, holder(START));
        assert!(belief.len() <= 100);
    }
    assert!(!belief.holders(1).is_empty());
    assert!(belief.holders(5).is_empty());
}

/// Guards against retries that multiply an overload.
#[test]
fn retries_stay_within_a_tenth_of_the_traffic() {
    let mut budget = RetryBudget::new();
    let team = TargetId::from("team");
    let allowed = |budget: &mut RetryBudget, now| {
        (0..1000)
            .filter(|_| budget.try_withdraw(&team, now))
            .count()
    };
    assert_eq!(allowed(&mut budget, START), 3, "a small floor");
    for _ in 0..1000 {
        budget.record_request(&team, START);
    }
    assert_eq!(allowed(&mut budget, START), 97);
    assert_eq!(allowed(&mut budget, START + Duration::from_secs(60)), 3);
}
