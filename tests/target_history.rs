//! Tests the versioned list of targets. A gateway that misses a change sends requests to a target
//! that is gone, and full lists for each change take too much of the leader's time.

use std::collections::BTreeMap;

use proptest::prelude::*;
use waxwinglatch::{
    adapter::TargetEntry,
    coordinator::TargetHistory,
    ids::TargetId,
    sync::{ListVersion, TargetDigest, TargetList, target_hash},
};

const TERM: u64 = 3;

fn entry(number: u8, slots: u32) -> TargetEntry {
    TargetEntry {
        id: format!("i-{number}").into(),
        service: "drafts".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        data_centre: "casa".into(),
        slots,
        is_draining: false,
        is_cold: false,
        software: "".into(),
        started_ms: 1,
        models: Vec::new(),
    }
}

/// Copy of the list at a gateway.
#[derive(Default)]
struct ListReplica {
    version: ListVersion,
    targets: BTreeMap<TargetId, TargetEntry>,
}

impl ListReplica {
    fn apply(&mut self, list: TargetList) {
        if list.base.is_none() {
            self.targets.clear();
        }
        for target in &list.removed {
            self.targets.remove(target);
        }
        for target in list.targets {
            self.targets.insert(target.id.clone(), target);
        }
        self.version = list.version;
    }
}

proptest! {
    /// A gateway has the leader's list after an update, whether it gets all updates or only some.
    #[test]
    fn replicas_match_the_list(
        steps in prop::collection::vec((prop::collection::btree_map(0_u8..9, 1_u32..4, 0..9), any::<bool>()), 1..40)
    ) {
        let mut history = TargetHistory::new();
        let mut slow = ListReplica::default();
        let mut fast = ListReplica::default();
        for (targets, is_updated) in steps {
            let targets: Vec<_> = targets.iter().map(|(id, slots)| entry(*id, *slots)).collect();
            history.update(targets.clone());
            for replica in [Some(&mut fast), is_updated.then_some(&mut slow)].into_iter().flatten() {
                if let Some(list) = history.changes_since(replica.version, TERM) {
                    replica.apply(list);
                }
                let expected = targets.iter().map(|target| (target.id.clone(), target.clone()));
                prop_assert_eq!(&replica.targets, &expected.collect::<BTreeMap<_, _>>());
            }
        }
    }
}

#[test]
fn change_of_one_target_is_sent_as_one_entry() {
    let mut history = TargetHistory::new();
    history.update((0..60).map(|number| entry(number, 1)).collect());
    let held = history.version(TERM);
    history.update(
        (0..60)
            .map(|number| entry(number, if number == 7 { 2 } else { 1 }))
            .collect(),
    );
    let list = history.changes_since(held, TERM).unwrap();
    assert_eq!(list.targets, [entry(7, 2)]);
    assert_eq!(list.base, Some(held));
}

/// Versions of different terms are not comparable.
#[test]
fn version_of_another_term_gets_the_full_list() {
    let mut history = TargetHistory::new();
    history.update(vec![entry(1, 1), entry(2, 1)]);
    let held = ListVersion {
        term: TERM - 1,
        number: 1,
    };
    let list = history.changes_since(held, TERM).unwrap();
    assert_eq!((list.base, list.targets.len()), (None, 2));
}

/// Pattern: a new leader stands before hundreds of gateways, each of which has the list of the former
/// one. It sends what differs, not a list of all targets to each gateway.
#[test]
fn new_leader_sends_what_differs_from_the_former_list() {
    let gateway_list: Vec<TargetEntry> = (0..=250).map(|number| entry(number, 12)).collect();
    let held = ListVersion {
        term: TERM - 1,
        number: 4_711,
    };
    let digest: Vec<TargetDigest> = gateway_list
        .iter()
        .map(|entry| TargetDigest::new(entry).unwrap())
        .collect();
    let mut leader_list = gateway_list.clone();
    leader_list.remove(17);
    leader_list[3].is_draining = true;
    leader_list.push(entry(255, 12));
    let mut history = TargetHistory::new();
    history.update(leader_list.clone());
    assert!(!history.is_known(held, TERM));
    let changes = history.changes_from(&digest, held, TERM);
    assert_eq!(changes.base, Some(held));
    assert_eq!(changes.targets.len(), 2, "entries that are sent");
    assert_eq!(changes.unknown, [target_hash(&gateway_list[17].id)]);
    let mut targets: BTreeMap<TargetId, TargetEntry> = gateway_list
        .into_iter()
        .filter(|target| !changes.unknown.contains(&target_hash(&target.id)))
        .chain(changes.targets)
        .map(|target| (target.id.clone(), target))
        .collect();
    for target in &leader_list {
        assert_eq!(targets.remove(&target.id).as_ref(), Some(target));
    }
    assert!(
        targets.is_empty(),
        "{targets:?} are not in the leader's list"
    );
    // Changes after the digest was taken follow as usual.
    history.upsert(vec![entry(40, 13)]);
    let next = history.changes_since(changes.version, TERM).unwrap();
    assert_eq!(next.targets, [entry(40, 13)]);
    let repeated = history.changes_from(&digest, held, TERM);
    assert_eq!(
        repeated.targets.len(),
        3,
        "digests of a changed entry are renewed"
    );
}
