//! Tests what a coordinator that answers syncs in the leader's place may prove, and what it reports
//! (docs/design.md, section 20). No network is needed.

use std::time::Duration;

use waxwinglatch::{
    clock::BootInstant,
    coordinator::DelegateView,
    ids::EntryKey,
    plan::PlanVersion,
    sync::{
        DelegateReply, DelegateReport, GatewayReport, GatewayRoster, ListVersion, PlanConfirmation,
        RosterEntry, ServingState,
    },
};

const LEASE: Duration = Duration::from_secs(3);

fn key(vm: &str) -> EntryKey {
    EntryKey {
        vm: vm.into(),
        incarnation: 1,
    }
}

fn gateway_report(vm: &str, plan_version: PlanVersion) -> GatewayReport {
    GatewayReport {
        gateway: key(vm),
        data_centre: "a".into(),
        plan_version,
        evacuation_revision: 0,
        list_version: ListVersion::default(),
        list_digest: Vec::new(),
        shares: Vec::new(),
        load_address: "10.0.0.1:7615".parse().unwrap(),
        news_address: None,
        demand: Vec::new(),
        unresponsive: Vec::new(),
        crashes: Vec::new(),
        completed_parts: Vec::new(),
        parts_version: 0,
        streams: Vec::new(),
        stream_queries: Vec::new(),
        missing_models: Vec::new(),
        missing_regional_models: Vec::new(),
        is_stranded: false,
        serial: 0,
    }
}

fn reply(term: u64, plan_version: PlanVersion) -> DelegateReply {
    DelegateReply {
        term,
        is_needed: true,
        plan_version,
        targets: None,
        list_age_ms: None,
        recorded_services: Vec::new(),
        roster: None,
        delegates: Vec::new(),
        polls: Vec::new(),
        evacuation_revision: 0,
    }
}

fn report(view: &mut DelegateView, newest: PlanVersion, now: Duration) -> DelegateReport {
    let address = "10.0.0.2:7600".parse().unwrap();
    let newest = ServingState::with_plan(newest);
    view.make_report(key("core-2"), address, newest, ListVersion::default(), now)
}

/// What a report says of each gateway: its plan, and the first one that it was sent.
fn told(report: &DelegateReport) -> Vec<(&str, PlanVersion, PlanVersion)> {
    let gateways = report.gateways.iter();
    gateways
        .map(|told| {
            (
                told.entry.gateway.vm.as_str(),
                told.plan_version,
                told.first_plan,
            )
        })
        .collect()
}

#[test]
fn proof_counts_from_the_sending_of_the_sync_and_ends() {
    let mut view = DelegateView::new(LEASE);
    let sent_at = BootInstant::now();
    view.apply(reply(1, 5), sent_at, Duration::ZERO);
    let age = Duration::from_millis(300);
    assert_eq!(
        view.proof_age(ServingState::with_plan(5), sent_at + age),
        Some(age)
    );
    assert_eq!(
        view.proof_age(ServingState::with_plan(5), sent_at + Duration::from_secs(1)),
        None
    );
}

/// Guards against a proof of a plan that the log has not brought yet (CONFIG).
#[test]
fn proof_counts_only_once_the_log_has_brought_the_leaders_plan() {
    let mut view = DelegateView::new(LEASE);
    let sent_at = BootInstant::now();
    view.apply(reply(1, 5), sent_at, Duration::ZERO);
    let second = sent_at + Duration::from_millis(100);
    view.apply(reply(1, 6), second, Duration::from_millis(100));
    let now = second + Duration::from_millis(100);
    assert_eq!(
        view.proof_age(ServingState::with_plan(5), now),
        Some(Duration::from_millis(200))
    );
    assert_eq!(
        view.proof_age(ServingState::with_plan(6), now),
        Some(Duration::from_millis(100))
    );
    assert_eq!(view.proof_age(ServingState::with_plan(4), now), None);
}

#[test]
fn coordinator_that_is_not_needed_proves_nothing() {
    let mut view = DelegateView::new(LEASE);
    let sent_at = BootInstant::now();
    view.apply(reply(1, 5), sent_at, Duration::ZERO);
    let idle = DelegateReply {
        is_needed: false,
        ..reply(1, 5)
    };
    view.apply(idle, sent_at, Duration::ZERO);
    assert_eq!(view.proof_age(ServingState::with_plan(5), sent_at), None);
}

/// Guards against plans that are acknowledged although a gateway of a delegate runs by an older one (CONFIG): the
/// leader was not told of the gateway since a report was lost.
#[test]
fn lost_report_is_repeated_with_what_came_later() {
    let mut view = DelegateView::new(LEASE);
    view.record(&gateway_report("edge-1", 3), None, Duration::ZERO);
    view.record(
        &gateway_report("edge-2", 0),
        Some(ServingState::with_plan(3)),
        Duration::ZERO,
    );
    let lost = report(&mut view, 3, Duration::ZERO);
    assert_eq!(told(&lost), [("edge-1", 3, 0), ("edge-2", 0, 3)]);
    view.record(&gateway_report("edge-1", 5), None, Duration::ZERO);
    view.put_back(lost);
    let next = report(&mut view, 5, Duration::ZERO);
    assert_eq!(told(&next), [("edge-1", 5, 0), ("edge-2", 0, 3)]);
    assert!(report(&mut view, 5, Duration::ZERO).gateways.is_empty());
}

/// Guards against plans that are acknowledged although a gateway of a delegate runs by an older one (CONFIG): a sync
/// without a plan that arrived late counted as a proof that the first plan, sent in reply to a later sync, was lost.
#[test]
fn late_sync_of_a_gateway_does_not_hide_its_first_plan() {
    let mut view = DelegateView::new(LEASE);
    let numbered = |vm, serial| GatewayReport {
        serial,
        ..gateway_report(vm, 0)
    };
    let [three, five] = [3, 5].map(ServingState::with_plan);
    view.record(&numbered("edge-1", 2), Some(three), Duration::ZERO);
    view.record(&numbered("edge-1", 1), Some(five), Duration::ZERO);
    // This one has given up the sync whose reply had plan 3.
    view.record(&numbered("edge-2", 2), Some(three), Duration::ZERO);
    view.record(&numbered("edge-2", 3), Some(five), Duration::ZERO);
    // Gateways of earlier releases do not number their syncs.
    view.record(&gateway_report("edge-3", 0), Some(three), Duration::ZERO);
    view.record(&gateway_report("edge-3", 0), Some(five), Duration::ZERO);
    let next = report(&mut view, 5, Duration::ZERO);
    assert_eq!(
        told(&next),
        [("edge-1", 0, 3), ("edge-2", 0, 5), ("edge-3", 0, 3)]
    );
}

#[test]
fn confirmation_of_a_plan_is_reported() {
    let mut view = DelegateView::new(LEASE);
    view.record(&gateway_report("edge-1", 3), None, Duration::ZERO);
    report(&mut view, 3, Duration::ZERO);
    let confirmation = PlanConfirmation {
        gateway: key("edge-1"),
        version: 5,
        evacuation_revision: 0,
    };
    assert!(view.confirm(&confirmation));
    assert!(!view.confirm(&confirmation), "twice");
    assert_eq!(
        told(&report(&mut view, 5, Duration::ZERO)),
        [("edge-1", 5, 0)]
    );
}

/// Pattern: the leader is lost. The next one has heard of no gateway, and would serve a fleet of unknown size.
#[test]
fn next_leader_is_told_of_all_gateways() {
    let mut view = DelegateView::new(LEASE);
    let sent_at = BootInstant::now();
    view.apply(reply(1, 3), sent_at, Duration::ZERO);
    for vm in ["edge-1", "edge-2"] {
        view.record(&gateway_report(vm, 3), None, Duration::ZERO);
    }
    report(&mut view, 3, Duration::ZERO);
    view.apply(reply(2, 3), sent_at, Duration::from_millis(100));
    let next = report(&mut view, 3, Duration::from_millis(100));
    assert_eq!(told(&next), [("edge-1", 3, 0), ("edge-2", 3, 0)]);
    assert_eq!(next.fleet_size, 2);
}

#[test]
fn roster_is_asked_for_again_after_an_interval() {
    let mut view = DelegateView::new(LEASE);
    assert_eq!(report(&mut view, 3, Duration::ZERO).roster_number, Some(0));
    let entry = RosterEntry {
        gateway: key("edge-9"),
        data_centre: "b".into(),
        load_address: "10.0.0.9:7615".parse().unwrap(),
        is_stranded: false,
    };
    let roster = GatewayRoster {
        number: 7,
        gateways: vec![entry],
    };
    let with_roster = DelegateReply {
        roster: Some(roster),
        ..reply(0, 3)
    };
    view.apply(with_roster, BootInstant::now(), Duration::ZERO);
    let soon = report(&mut view, 3, Duration::from_millis(200));
    assert_eq!((soon.roster_number, soon.fleet_size), (None, 1));
    let later = report(&mut view, 3, Duration::from_millis(600));
    assert_eq!(later.roster_number, Some(7));
}
