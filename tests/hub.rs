//! Soft state of the leader: assignment of reporters, residency deltas, health and demand.

use std::{collections::BTreeSet, time::Duration};

use rstest::rstest;
use waxwinglatch::{
    ids::EntryKey,
    soft_state::{
        DemandTable, EntryRegistry, LoadSubscriptions, ReportTable, ResidencyLog, ServedTokens,
        TargetHealth, assign_reporter,
    },
    sync::{
        EngineReport, ModelDemand, ResidencySection, ResidentModel, SyncRequest, TargetObservation,
        TargetReport,
    },
};

fn request(vm: &str, data_centre: &str, revision: u64) -> SyncRequest {
    SyncRequest {
        vm: vm.into(),
        data_centre: data_centre.into(),
        incarnation: 1,
        serial: 1,
        revision,
        residency_version: 0,
        avoided_version: 0,
        parts_version: 0,
        crashes_version: 0,
        is_shutting_down: false,
        shares: Vec::new(),
        demand: Vec::new(),
        reports: Vec::new(),
        observations: Vec::new(),
        hold_ms: 400,
    }
}

fn copy(target: &str, model: &str) -> ResidentModel {
    ResidentModel {
        target: target.into(),
        model: model.into(),
        version: "1".into(),
    }
}

fn report(target: &str, running: u32, age_ms: u32) -> TargetReport {
    let report = EngineReport {
        running,
        ..EngineReport::default()
    };
    TargetReport {
        target: target.into(),
        report,
        age_ms,
    }
}

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Guards against targets without a reporter, and against reassigning all targets when one entry
/// restarts, which would delay every report at once.
#[test]
fn only_the_targets_of_a_lost_entry_are_reassigned() {
    let mut registry = EntryRegistry::default();
    for entry in 0..9 {
        registry.record(
            &request(&format!("vm-{entry}"), &format!("dc-{}", entry % 3), 1),
            ms(0),
        );
    }
    let targets: Vec<_> = (0..60)
        .map(|target| compact(&format!("engine-{target}")))
        .collect();
    let assign = |registry: &EntryRegistry| -> Vec<Option<EntryKey>> {
        let reporter = |(number, target): (usize, &compact_str::CompactString)| {
            let data_centre = compact(&format!("dc-{}", number % 3));
            assign_reporter(target, &data_centre, registry.reporter_candidates()).cloned()
        };
        targets.iter().enumerate().map(reporter).collect()
    };
    let before = assign(&registry);
    let lost = EntryKey {
        vm: "vm-4".into(),
        incarnation: 1,
    };
    let mut remaining = EntryRegistry::default();
    for entry in (0..9).filter(|entry| *entry != 4) {
        remaining.record(
            &request(&format!("vm-{entry}"), &format!("dc-{}", entry % 3), 1),
            ms(0),
        );
    }
    let after = assign(&remaining);
    for (number, (before, after)) in before.iter().zip(&after).enumerate() {
        let before = before.as_ref().expect("each target has a reporter");
        assert!(after.is_some());
        assert!(before.vm.ends_with(char::is_numeric));
        if *before != lost {
            assert_eq!(
                Some(before),
                after.as_ref(),
                "target {number} was reassigned although its reporter is live"
            );
        }
    }
}

fn compact(text: &str) -> compact_str::CompactString {
    text.into()
}

/// Guards against deltas that result in a different set of copies than a snapshot.
#[rstest]
#[case::one_change(1)]
#[case::several_changes(7)]
#[case::more_changes_than_are_kept(400)]
fn a_delta_yields_the_same_copies_as_a_snapshot(#[case] changes: u64) {
    let mut log = ResidencyLog::new(3);
    log.replace([copy("a", "m0")].into());
    let from = log.version();
    let mut copies_at_entry: BTreeSet<ResidentModel> = [copy("a", "m0")].into();
    let mut current = copies_at_entry.clone();
    for change in 0..changes {
        let toggled = copy("a", &format!("m{}", change % 5));
        if !current.remove(&toggled) {
            current.insert(toggled);
        }
        assert!(log.replace(current.clone()));
    }
    match log.since(from) {
        ResidencySection::Current => panic!("no update although the version has changed"),
        ResidencySection::Snapshot(version, copies) => {
            assert_eq!(version, log.version());
            copies_at_entry = copies.into_iter().collect();
        }
        ResidencySection::Delta {
            from: base,
            to,
            added,
            removed,
        } => {
            assert_eq!((base, to), (from, log.version()));
            copies_at_entry.retain(|copy| !removed.contains(copy));
            copies_at_entry.extend(added);
        }
    }
    assert_eq!(copies_at_entry, current);
}

/// Guards against a residency version of a former leader that is taken for one of the new leader.
#[test]
fn a_new_term_sends_a_snapshot_to_entries_of_the_old_term() {
    let mut old = ResidencyLog::new(4);
    old.replace([copy("a", "m")].into());
    let new = ResidencyLog::new(5);
    assert!(
        matches!(new.since(old.version()), ResidencySection::Snapshot(_, copies) if copies.is_empty())
    );
}

/// Guards against routing to engines that are down or leaving.
#[rstest]
#[case::recent(0, 1_000, &[], TargetHealth::Up)]
#[case::too_old(0, 3_500, &[], TargetHealth::Down)]
#[case::polled_long_before_it_arrived(2_500, 1_000, &[], TargetHealth::Down)]
#[case::unreachable(0, 1_000, &[TargetObservation::Unreachable("engine".into())], TargetHealth::Down)]
fn health_follows_the_latest_report(
    #[case] age_ms: u32,
    #[case] elapsed_ms: u64,
    #[case] observations: &[TargetObservation],
    #[case] expected: TargetHealth,
) {
    let mut reports = ReportTable::default();
    reports.record(vec![report("engine", 1, age_ms)], ms(10_000));
    reports.record_observations(observations);
    assert_eq!(
        reports.health(&"engine".into(), ms(10_000 + elapsed_ms)),
        expected
    );
}

/// Guards against a late report from a former reporter that replaces a newer one.
#[test]
fn an_older_report_does_not_replace_a_newer_one() {
    let mut reports = ReportTable::default();
    reports.record(vec![report("engine", 7, 0)], ms(5_000));
    reports.record(vec![report("engine", 1, 2_000)], ms(5_100));
    assert_eq!(
        reports.get(&"engine".into()).map(|report| report.running),
        Some(7)
    );
}

/// Guards against demand that is counted twice, and against waiting requests that stay counted
/// after their entry stops syncing.
#[test]
fn demand_is_counted_once_and_waiting_requests_expire() {
    let entry = EntryKey {
        vm: "vm-1".into(),
        incarnation: 1,
    };
    let mut table = DemandTable::default();
    let demand = [ModelDemand {
        model: "m".into(),
        requests: 3,
        tokens: 30,
        waiting: 2,
    }];
    table.record(&entry, &demand, ms(0));
    let first = table.take(ms(10));
    assert_eq!(
        (first["m"].requests, first["m"].tokens, first["m"].waiting),
        (3, 30, 2)
    );
    let second = table.take(ms(20));
    assert_eq!((second["m"].requests, second["m"].waiting), (0, 2));
    assert!(table.take(ms(3_000)).is_empty());
}

/// Guards against control traffic that grows with the fleet. Sending 860 loads to each of 400
/// entries twice a second would take 8 to 15 times the traffic that an entry may use.
#[test]
fn an_entry_receives_only_changed_loads_of_subscribed_engines() {
    let entry = EntryKey {
        vm: "vm-1".into(),
        incarnation: 1,
    };
    let mut reports = ReportTable::default();
    let engine = |number: u32, running: u32| {
        let resident = waxwinglatch::sync::ResidentCopy {
            model: compact(&format!("m{number}")),
            version: "1".into(),
            first_accelerator: 0,
            span: 1,
            memory_mib: 1,
            is_ready: true,
        };
        let report = EngineReport {
            running,
            copies: vec![resident],
            ..EngineReport::default()
        };
        TargetReport {
            target: compact(&format!("e{number}")),
            report,
            age_ms: 0,
        }
    };
    reports.record((0..860).map(|number| engine(number, 1)).collect(), ms(0));
    let mut subscriptions = LoadSubscriptions::default();
    assert!(
        subscriptions
            .take_updates(&entry, &reports, ms(0))
            .is_empty()
    );
    let demand = |model: &str| ModelDemand {
        model: model.into(),
        requests: 1,
        tokens: 1,
        waiting: 0,
    };
    subscriptions.record(&entry, &[demand("m3"), demand("m7")], ms(100));
    assert!(
        subscriptions
            .take_updates(&entry, &reports, ms(500))
            .is_empty(),
        "update before the interval has passed"
    );
    let updates =
        |subscriptions: &mut LoadSubscriptions, reports: &ReportTable, at: u64| -> Vec<_> {
            let loads = subscriptions.take_updates(&entry, reports, ms(at));
            loads
                .into_iter()
                .map(|load| (load.target, load.running))
                .collect()
        };
    assert_eq!(
        updates(&mut subscriptions, &reports, 1_000),
        [(compact("e3"), 1), (compact("e7"), 1)]
    );
    reports.record(vec![engine(3, 5), engine(4, 5)], ms(1_500));
    assert_eq!(
        updates(&mut subscriptions, &reports, 2_000),
        [(compact("e3"), 5)]
    );
    assert!(
        updates(&mut subscriptions, &reports, 3_000).is_empty(),
        "update without a changed load"
    );
    // Unchanged loads are sent again, since a reply may have been lost.
    assert_eq!(
        updates(&mut subscriptions, &reports, 12_000),
        [(compact("e3"), 5), (compact("e7"), 1)]
    );
    reports.record(vec![engine(3, 6)], ms(70_000));
    assert!(
        updates(&mut subscriptions, &reports, 70_000).is_empty(),
        "update after the subscription expired"
    );
}

/// Guards against an entry that counts its own tokens for a team as served by other entries.
#[test]
fn tokens_served_by_others_exclude_the_entry_itself() {
    let [one, two] = [1, 2].map(|incarnation| EntryKey {
        vm: "vm".into(),
        incarnation,
    });
    let share = |epoch, used| waxwinglatch::allowance::ShareReport {
        team: "t".into(),
        epoch,
        urgent: 0,
        waits_ms: None,
        granted: 100,
        used,
        returned: 0,
        requested: 0,
        request: 0,
        urgent_counters: waxwinglatch::allowance::ShareCounters::default(),
    };
    let mut served = ServedTokens::default();
    served.record(&one, &[share(1, 40)]);
    served.record(&two, &[share(1, 20)]);
    served.record(&two, &[share(1, 10)]);
    served.record(&two, &[share(2, 5)]);
    served.record(&two, &[share(1, 20)]);
    let team = compact("t");
    assert_eq!(
        served.served_by_others(&one, std::iter::once(&team)),
        vec![(team.clone(), 25)]
    );
    assert_eq!(
        served.served_by_others(&two, std::iter::once(&team)),
        vec![(team.clone(), 40)]
    );
}

/// Guards against `apply --wait` that waits for an expired entry, or ignores a live one.
#[test]
fn only_entries_that_may_still_serve_count_as_behind() {
    let mut registry = EntryRegistry::default();
    registry.record(&request("old", "dc-1", 4), ms(0));
    registry.record(&request("behind", "dc-1", 4), ms(1_500));
    registry.record(&request("current", "dc-1", 5), ms(1_500));
    assert_eq!(
        registry.vms_behind(5, ms(2_000), ms(2_500)),
        vec![compact("behind")]
    );
    let expired = registry.expire(ms(3_700));
    assert_eq!(expired.len(), 1);
    assert_eq!(registry.len(), 2);
}
