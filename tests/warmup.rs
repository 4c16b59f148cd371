//! Tests the limits of cold targets and a gateway's view of which targets are cold, without a network.

use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use waxwinglatch::{
    adapter::TargetEntry,
    allowance::{AllowanceLedger, AllowanceShare, RateLimit, ReservationOutcome},
    ids::{EntryKey, TargetId, TeamId},
    plan::{CallerLimits, PlanIndex, ServicePlan, ServingPlan, WarmupPlan},
    region::DataCentreFilter,
    route::{PoolId, ReplicaSpec, ReplicaTable, RouteRequest, RouteTuning, Warmth},
    sync::{GrantReply, GrantRequest, encode_compact},
    warmup::{
        ColdSource, LimitedTargets, REQUEST_TOKENS, WarmthTable, WarmupBounds, WarmupLimit,
        is_limit_id, limit_id,
    },
};

/// Maximum size of a grant request at the leader.
const MAX_REQUEST_BYTES: usize = 1_400;
/// Maximum number of shares that a gateway puts into a grant request.
const MAX_REPORTED_SHARES: usize = 14;

const BOUNDS: WarmupBounds = WarmupBounds {
    overage: 1.5,
    slack: 5.0,
};

fn warmup(requests_per_second: f64) -> WarmupPlan {
    WarmupPlan {
        cold_time: Duration::from_secs(3),
        requests_per_second,
    }
}

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Guards against a limit that exceeds the bound of a second, with the time for which a reservation may be used
/// and one request that is reserved and not sent.
#[rstest]
#[case::documented(6.9, BOUNDS, 6_900, 6_760)]
#[case::slow(1.0, BOUNDS, 1_000, 4_400)]
#[case::fast(100.0, BOUNDS, 100_000, 44_000)]
#[case::nothing_remains(2.0, WarmupBounds { overage: 1.5, slack: 0.0 }, 2_000, 0)]
#[case::bound_below_the_rate(10.0, WarmupBounds { overage: 0.5, slack: 1.0 }, 10_000, 0)]
fn limit_leaves_room_for_unsent_requests(
    #[case] rate: f64,
    #[case] bounds: WarmupBounds,
    #[case] expected_rate: u64,
    #[case] expected_burst: u64,
) {
    let limit = WarmupLimit::new(&warmup(rate), bounds).rate_limit();
    assert_eq!((limit.rate, limit.burst), (expected_rate, expected_burst));
}

fn plan(warmup: Option<WarmupPlan>) -> PlanIndex {
    let service = |id: &str, warmup| ServicePlan {
        id: id.into(),
        health_path: "/health".into(),
        max_connections: 10,
        engine: None,
        warmup,
    };
    PlanIndex::new(ServingPlan {
        version: 1,
        routes: Vec::new(),
        services: vec![service("limited", warmup), service("free", None)],
        limits: CallerLimits::default(),
        teams: Vec::new(),
    })
}

fn entry(id: &str, service: &str) -> TargetEntry {
    TargetEntry {
        id: id.into(),
        service: service.into(),
        address: "10.0.0.1:80".parse().unwrap(),
        data_centre: "a".into(),
        slots: 4,
        is_draining: false,
        is_cold: false,
        software: "".into(),
        started_ms: 1,
        models: Vec::new(),
    }
}

/// Guards against limits of targets whose service has none, and against ones that stay after their target.
#[test]
fn limits_follow_the_list_and_the_plan() {
    let limit = WarmupLimit::new(&warmup(6.9), BOUNDS).rate_limit();
    let none = RateLimit::default();
    let (plan, plan_without) = (plan(Some(warmup(6.9))), plan(None));
    let list = [entry("t1", "limited"), entry("t2", "free")];
    let mut limited = LimitedTargets::new();
    let mut update =
        |plan: &PlanIndex, list: &[TargetEntry], bounds| limited.update(plan, list.iter(), bounds);
    assert!(update(&plan, &list, None).is_empty());
    assert_eq!(update(&plan, &list, Some(BOUNDS)), [("t1".into(), limit)]);
    assert!(update(&plan, &list, Some(BOUNDS)).is_empty());
    assert_eq!(update(&plan, &[], Some(BOUNDS)), [("t1".into(), none)]);
    assert_eq!(update(&plan, &list, Some(BOUNDS)), [("t1".into(), limit)]);
    assert_eq!(
        update(&plan_without, &list, Some(BOUNDS)),
        [("t1".into(), none)]
    );
}

/// Returns whether a gateway can reserve a request after its shortage was reported.
fn can_reserve(ledger: &mut AllowanceLedger, id: &TeamId, now: Duration) -> bool {
    let key = EntryKey {
        vm: "vm".into(),
        incarnation: 1,
    };
    let mut share = AllowanceShare::new();
    share.set_waiting(id, REQUEST_TOKENS, REQUEST_TOKENS);
    let grants = ledger.answer_reports(&key, &share.make_urgent_reports(now), now);
    share.apply_grants(&grants, now);
    matches!(
        share.reserve(id, REQUEST_TOKENS, now),
        ReservationOutcome::Granted(_)
    )
}

/// Guards against requests to a cold target whose limit the leader has not set, for example before its first
/// list, or has set to 0.
#[test]
fn target_without_a_limit_gets_no_tokens() {
    let now = Duration::from_secs(60);
    let id = limit_id(&"t1".into());
    let mut ledger = AllowanceLedger::new(1, Duration::ZERO).with_takeover_reserve();
    assert!(!can_reserve(&mut ledger, &id, now));
    let limit = WarmupLimit::new(&warmup(6.9), BOUNDS).rate_limit();
    ledger.set_limit(&id, limit, now);
    assert!(can_reserve(&mut ledger, &id, now));
    ledger.set_limit(&id, RateLimit::default(), now);
    assert!(!can_reserve(&mut ledger, &id, now + Duration::from_secs(5)));
}

/// Guards against a target's limit that is taken for the one of a team of the same name.
#[test]
fn limits_of_targets_have_ids_of_their_own() {
    assert!(is_limit_id(&limit_id(&"atlas".into())));
    assert!(!is_limit_id("atlas"));
    assert_ne!(limit_id(&"t1".into()), limit_id(&"t2".into()));
}

/// Guards against datagrams that are cut off at the leader when many cold targets are in demand at a gateway.
#[test]
fn reports_of_a_returning_data_centre_fit_a_packet() {
    let mut share = AllowanceShare::new();
    for number in 0..MAX_REPORTED_SHARES {
        let id = limit_id(&format!("instance-in-data-centre-{number:04}").into());
        share.set_waiting(&id, REQUEST_TOKENS, 40 * REQUEST_TOKENS);
        share.set_first_request(&id, u64::MAX);
        share.set_waits_until(&id, Some(seconds(1_000_000.0)));
    }
    let gateway = EntryKey {
        vm: "gateway-in-data-centre-0001".into(),
        incarnation: u64::MAX,
    };
    let shares = share.make_urgent_reports(seconds(1.0));
    assert_eq!(shares.len(), MAX_REPORTED_SHARES);
    let mut ledger = AllowanceLedger::new(1 << 20, Duration::ZERO).with_takeover_reserve();
    let limit = WarmupLimit::new(&warmup(6.9), BOUNDS).rate_limit();
    for share in &shares {
        ledger.set_limit(&share.team, limit, seconds(60.0));
    }
    let reply = GrantReply {
        serial: u64::MAX,
        grants: ledger
            .answer_reports(&gateway, &shares, seconds(60.0))
            .to_vec(),
    };
    let request = GrantRequest {
        gateway,
        serial: u64::MAX,
        shares,
        is_usage_only: false,
    };
    let sizes = [
        encode_compact(&request).unwrap().len(),
        encode_compact(&reply).unwrap().len(),
    ];
    assert!(
        sizes.iter().all(|size| *size <= MAX_REQUEST_BYTES),
        "{sizes:?} bytes"
    );
}

/// Guards against requests without a reservation to a target that has restarted, as long as the list cannot show
/// it: it is 800 ms behind, read every 600 ms and passed on with the syncs.
#[rstest]
#[case::read_before(seconds(9.9), true)]
#[case::read_within_the_delay(seconds(11.5), true)]
#[case::read_within_the_sync(seconds(11.64), true)]
#[case::read_after_the_delay(seconds(11.66), false)]
fn restart_is_suspected_until_the_list_would_show_it(
    #[case] list_read_at: Duration,
    #[case] is_cold: bool,
) {
    let target: TargetId = "t1".into();
    let mut table = WarmthTable::new();
    table.set_listed(&target, false);
    table.record_list_read(seconds(9.5), seconds(0.25));
    table.record_sign(&target, ColdSource::Break, seconds(10.0));
    table.record_list_read(list_read_at, seconds(0.25));
    let source = table.cold_source(&target, seconds(30.0));
    assert_eq!(source, is_cold.then_some(ColdSource::Break));
}

/// Guards against a target that counts as warm because a later, older list is recorded last.
#[test]
fn sign_is_kept_without_a_list() {
    let target: TargetId = "t1".into();
    let mut table = WarmthTable::new();
    table.set_listed(&target, false);
    table.record_sign(&target, ColdSource::Refusal, seconds(1.0));
    assert_eq!(
        table.cold_source(&target, seconds(100.0)),
        Some(ColdSource::Refusal)
    );
}

/// Guards against changes that are missed or logged with each list, and against targets without a limit that
/// count as cold.
#[test]
fn each_change_of_warmth_is_told_once() {
    let target: TargetId = "t1".into();
    let mut table = WarmthTable::new();
    let changes = |table: &mut WarmthTable, at| {
        let changes = table.take_changes(seconds(at)).into_iter();
        changes
            .map(|change| (change.source, change.former))
            .collect::<Vec<_>>()
    };
    table.record_sign(&"other".into(), ColdSource::Silence, seconds(1.0));
    assert!(changes(&mut table, 1.0).is_empty());
    table.set_listed(&target, true);
    assert_eq!(changes(&mut table, 1.0), [(Some(ColdSource::List), None)]);
    assert!(table.has_cold());
    table.set_listed(&target, true);
    assert!(changes(&mut table, 2.0).is_empty());
    table.set_listed(&target, false);
    assert_eq!(changes(&mut table, 3.0), [(None, Some(ColdSource::List))]);
    assert!(!table.has_cold());
    table.record_start(&target, seconds(6.0));
    assert_eq!(changes(&mut table, 4.0), [(Some(ColdSource::Start), None)]);
    assert!(changes(&mut table, 5.9).is_empty());
    assert_eq!(changes(&mut table, 6.0), [(None, Some(ColdSource::Start))]);
    table.set_listed(&target, true);
    table.remove(&target);
    assert!(changes(&mut table, 7.0).is_empty());
    assert!(!table.has_cold());
}

/// Guards against requests without a reservation at cold targets while they look idle, and against ones with a
/// reservation at warm targets.
#[test]
fn selection_obeys_the_required_warmth() {
    let mut table = ReplicaTable::new(RouteTuning::default(), &[]);
    let pool = PoolId::Service("s".into());
    for number in 0..60 {
        let target: TargetId = format!("t{number}").into();
        table.upsert(&ReplicaSpec {
            target: target.clone(),
            data_centre: "a".into(),
            slots: 4,
            pools: vec![(pool.clone(), None)],
        });
        if number < 47 {
            table.set_warmth(&target, Warmth::Cold);
        }
    }
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut choose = |table: &ReplicaTable, warmth| {
        let request = RouteRequest {
            pool: &pool,
            version: None,
            prompt_tokens: 0,
            prefix: &[],
            tried: &[],
            data_centres: &DataCentreFilter::Any,
            priority: 4,
            warmth,
        };
        let choice = table.choose(&request, Duration::ZERO, &mut rng)?;
        Some(choice.target[1..].parse::<usize>().unwrap() < 47)
    };
    for _ in 0..200 {
        assert_eq!(choose(&table, Some(Warmth::Warm)), Some(false));
        assert_eq!(choose(&table, Some(Warmth::Cold)), Some(true));
    }
    for number in 47..60 {
        table.set_warmth(&format!("t{number}").into(), Warmth::Cold);
    }
    assert_eq!(choose(&table, Some(Warmth::Warm)), None);
    assert!(choose(&table, None).is_some());
}
