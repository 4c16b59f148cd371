//! Guards the list of targets that gateways follow: one that misses a change sends to a target that
//! is gone, and one that gets the whole list for each change takes the leader's time from others.

use std::collections::BTreeMap;

use proptest::prelude::*;
use waxwinglatch::{
    adapter::TargetEntry,
    coordinator::TargetHistory,
    ids::TargetId,
    sync::{ListVersion, TargetList},
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
        started_ms: 1,
        models: Vec::new(),
    }
}

/// What a gateway makes of the lists that it gets.
#[derive(Default)]
struct Follower {
    version: ListVersion,
    targets: BTreeMap<TargetId, TargetEntry>,
}

impl Follower {
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
    /// Gateways that follow at any pace end with the leader's list.
    #[test]
    fn followers_end_with_the_same_list(
        steps in prop::collection::vec((prop::collection::btree_map(0_u8..9, 1_u32..4, 0..9), any::<bool>()), 1..40)
    ) {
        let mut journal = TargetHistory::new();
        let mut slow = Follower::default();
        let mut quick = Follower::default();
        for (targets, does_follow) in steps {
            let targets: Vec<_> = targets.iter().map(|(id, slots)| entry(*id, *slots)).collect();
            journal.update(targets.clone());
            for follower in [Some(&mut quick), does_follow.then_some(&mut slow)].into_iter().flatten() {
                if let Some(list) = journal.changes_since(follower.version, TERM) {
                    follower.apply(list);
                }
                let wanted = targets.iter().map(|target| (target.id.clone(), target.clone()));
                prop_assert_eq!(&follower.targets, &wanted.collect::<BTreeMap<_, _>>());
            }
        }
    }
}

#[test]
fn a_change_at_one_target_costs_one_entry() {
    let mut journal = TargetHistory::new();
    journal.update((0..60).map(|number| entry(number, 1)).collect());
    let held = journal.version(TERM);
    journal.update(
        (0..60)
            .map(|number| entry(number, if number == 7 { 2 } else { 1 }))
            .collect(),
    );
    let list = journal.changes_since(held, TERM).unwrap();
    assert_eq!(list.targets, [entry(7, 2)]);
    assert_eq!(list.base, Some(held));
}

/// A list of another leader says nothing about this one.
#[test]
fn another_term_gets_the_whole_list() {
    let mut journal = TargetHistory::new();
    journal.update(vec![entry(1, 1), entry(2, 1)]);
    let held = ListVersion {
        term: TERM - 1,
        number: 1,
    };
    let list = journal.changes_since(held, TERM).unwrap();
    assert_eq!((list.base, list.targets.len()), (None, 2));
}
