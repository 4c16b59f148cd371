//! Tests how requests are matched with the serving plan, and which plan is in force.

use std::time::Duration;

use rstest::rstest;
use serde_bytes::ByteBuf;
use waxwinglatch::{
    allowance::RateLimit,
    plan::{
        CallerLimits, PlanIndex, RouteKind, RoutePlan, ServicePlan, ServiceShare, ServingPlan,
        TeamMatch, TeamPlan,
    },
    region::RegionLimit,
    state::{Command, ControlState, StampedCommand},
    sync::PublishedPlan,
};

fn route(id: &str, host: &str, prefix: &str) -> RoutePlan {
    RoutePlan {
        id: id.into(),
        host: host.into(),
        prefix: prefix.into(),
        kind: RouteKind::Idempotent,
        timeout: Duration::from_secs(1),
        first_byte_target: Duration::from_millis(100),
        event_gap_target: None,
        priority: 0,
        shares: [ServiceShare {
            service: "shop".into(),
            weight: 1,
        }]
        .into_iter()
        .collect(),
        max_attempts: 1,
        is_public: false,
        allowed_regions: RegionLimit::Any,
    }
}

fn plan_index() -> PlanIndex {
    let team = |id: &str, keys: &[&str]| TeamPlan {
        id: id.into(),
        keys: keys.iter().map(|key| (*key).into()).collect(),
        priority: None,
        limit: Some(RateLimit {
            rate: 10,
            burst: 10,
        }),
        default_tokens: 1,
        allowed_regions: RegionLimit::Any,
    };
    let mut public_route = route("open", "b.example", "/open/");
    public_route.is_public = true;
    PlanIndex::new(ServingPlan {
        version: 3,
        routes: vec![
            route("short", "a.example", "/x/"),
            route("long", "a.example", "/x/y/"),
            route("root", "b.example", "/"),
            public_route,
        ],
        services: vec![ServicePlan {
            id: "shop".into(),
            health_path: "/health".into(),
            max_connections: 10,
            engine: None,
            warmup: None,
        }],
        limits: CallerLimits::default(),
        teams: vec![team("atlas", &["k1", "k2"]), team("kritt", &["k3"])],
    })
}

/// The longest matching prefix wins, and a prefix matches whole path segments only.
#[rstest]
#[case("a.example", "/x/1", Some("short"))]
#[case("A.Example", "/x/y/1", Some("long"))]
#[case("a.example", "/x/y", Some("short"))]
#[case("a.example", "/x/yy/1", Some("short"))]
#[case("a.example", "/x", None)]
#[case("a.example", "/", None)]
#[case("b.example", "/anything", Some("root"))]
#[case("c.example", "/x/1", None)]
fn request_matches_longest_prefix(
    #[case] host: &str,
    #[case] path: &str,
    #[case] expected: Option<&str>,
) {
    let index = plan_index();
    let matched = index.route(host, path).map(|route| route.id.as_str());
    assert_eq!(matched, expected);
}

/// A key identifies its team; a public route needs no key.
#[test]
fn key_identifies_its_team() {
    let index = plan_index();
    let private_route = index.route("b.example", "/z").unwrap();
    let public_route = index.route("b.example", "/open/z").unwrap();
    assert!(
        matches!(index.team(private_route, Some("k2")), TeamMatch::Team(team) if team.id == "atlas")
    );
    assert!(matches!(
        index.team(private_route, Some("k9")),
        TeamMatch::Unknown
    ));
    assert!(matches!(
        index.team(private_route, None),
        TeamMatch::Unknown
    ));
    assert!(matches!(
        index.team(public_route, None),
        TeamMatch::Anonymous
    ));
}

/// Services receive requests in proportion to their weights; a weight of 0 receives none.
#[test]
fn requests_are_split_by_weight() {
    let mut route = route("split", "a.example", "/");
    let share = |service: &str, weight| ServiceShare {
        service: service.into(),
        weight,
    };
    route.shares = [share("a", 90), share("none", 0), share("b", 10)]
        .into_iter()
        .collect();
    let draws = (0..1_000_u32).map(|step| step * (u32::MAX / 1_000));
    let b_count = draws
        .filter(|draw| route.service(*draw).unwrap() == "b")
        .count();
    assert!(
        (95..=105).contains(&b_count),
        "service b received {b_count} of 1,000 requests instead of about 100"
    );
    assert_eq!(route.service(u32::MAX).unwrap(), "b");
    route.shares = [share("a", 0)].into_iter().collect();
    assert_eq!(route.service(0), None);
}

/// Plans whose version is not higher than that of the plan in force change nothing, regardless of
/// the order in which they reach the log.
#[test]
fn highest_plan_version_is_in_force() {
    let mut state = ControlState::default();
    let publish = |version, document: &[u8]| StampedCommand {
        at_ms: 1,
        command: Command::Publish(PublishedPlan {
            version,
            document: ByteBuf::from(document),
        }),
    };
    for (index, (version, document)) in [
        (5, b"five"),
        (3, b"thre"),
        (5, b"else"),
        (9, b"nine"),
        (8, b"eigh"),
    ]
    .into_iter()
    .enumerate()
    {
        state.apply(index as u64 + 1, &publish(version, document));
    }
    assert_eq!(state.plan_version(), 9);
    assert_eq!(state.plan().unwrap().document.as_slice(), b"nine");
    let restored = ControlState::restore(&state.snapshot().unwrap()).unwrap();
    assert_eq!(restored.plan_version(), 9);
}
