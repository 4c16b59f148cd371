//! Guards against a journal that loses synced records, or invents others, after a power cut.

#[path = "harness/memory_storage.rs"]
mod memory_storage;

use bytes::Bytes;
use memory_storage::{Faults, MemoryStorage};
use waxwinglatch::{
    error::Result,
    journal::{Journal, JournalEntry, JournalLimits, RecoveredLog, Snapshot, VoteRecord},
    raft::VoterId,
};

/// Seeds per write point; each leaves another part of the unsynced data.
const SEEDS: u64 = 40;
const LIMITS: JournalLimits = JournalLimits { segment_bytes: 600 };

#[derive(Clone, Debug, Default, PartialEq)]
struct Model {
    vote: VoteRecord,
    snapshot: u64,
    entries: Vec<JournalEntry>,
}

impl Model {
    fn of(recovered: &RecoveredLog) -> Self {
        Self {
            vote: recovered.vote.clone(),
            snapshot: recovered.snapshot.as_ref().map_or(0, |found| found.index),
            entries: recovered.entries.clone(),
        }
    }

    fn apply(&mut self, action: &Action) {
        match action {
            Action::Vote(vote) => self.vote = vote.clone(),
            Action::Append(entry) => self.entries.push(entry.clone()),
            Action::Truncate(from) => self.entries.retain(|entry| entry.index < *from),
            Action::Sync => {}
            Action::Snapshot(index) => {
                self.snapshot = *index;
                self.entries.retain(|entry| entry.index > *index);
            }
            Action::Install(index) => {
                self.snapshot = *index;
                self.entries.clear();
            }
        }
    }
}

#[derive(Clone, Debug)]
enum Action {
    Vote(VoteRecord),
    Append(JournalEntry),
    Truncate(u64),
    Sync,
    Snapshot(u64),
    Install(u64),
}

fn entry(index: u64, term: u64) -> Action {
    let body = Bytes::from(vec![u8::try_from(index % 251).unwrap(); 40]);
    Action::Append(JournalEntry { index, term, body })
}

fn vote(term: u64, vm: &str) -> Action {
    let candidate = Some(VoterId::new(vm, 7));
    Action::Vote(VoteRecord { term, candidate })
}

fn workload() -> Vec<Action> {
    let mut actions = vec![vote(1, "vm-1")];
    let batch = |from: u64, to: u64, term: u64| {
        let entries = (from..=to).map(move |index| entry(index, term));
        entries.chain([Action::Sync])
    };
    actions.extend(batch(1, 3, 1));
    actions.extend(batch(4, 12, 1));
    actions.extend([vote(2, "vm-2"), Action::Sync, Action::Truncate(9)]);
    actions.extend(batch(9, 20, 2));
    actions.extend([Action::Snapshot(10)]);
    actions.extend(batch(21, 30, 2));
    actions.extend([Action::Snapshot(25), vote(3, "vm-3"), Action::Sync]);
    actions.extend([Action::Install(50)]);
    actions.extend(batch(51, 60, 3));
    actions
}

fn snapshot(index: u64) -> Snapshot {
    Snapshot {
        index,
        term: if index >= 50 {
            3
        } else if index > 8 {
            2
        } else {
            1
        },
        members: Bytes::from_static(b"members"),
        state: Bytes::from(vec![9; 100]),
    }
}

fn perform(journal: &mut Journal, action: &Action) -> Result<()> {
    match action.clone() {
        Action::Vote(vote) => journal.save_vote(vote),
        Action::Append(entry) => journal.append(entry)?,
        Action::Truncate(from) => journal.truncate(from),
        Action::Sync => journal.sync()?,
        Action::Snapshot(index) => journal.save_snapshot(&snapshot(index), index)?,
        Action::Install(index) => journal.install_snapshot(&snapshot(index))?,
    }
    Ok(())
}

/// Runs the workload until an operation fails. Returns the states that may be found afterwards:
/// those from the last durable action to the last one begun.
fn run(storage: &MemoryStorage) -> Vec<Model> {
    let mut possible = vec![Model::default()];
    let Ok((mut journal, _)) = Journal::open(Box::new(storage.clone()), &"vm-1".into(), LIMITS)
    else {
        return possible;
    };
    for action in workload() {
        let mut next = possible.last().cloned().unwrap_or_default();
        next.apply(&action);
        possible.push(next);
        if perform(&mut journal, &action).is_err() {
            return possible;
        }
        if matches!(
            action,
            Action::Sync | Action::Snapshot(_) | Action::Install(_)
        ) {
            possible.drain(..possible.len() - 1);
        }
    }
    possible
}

#[test]
fn a_power_cut_at_any_operation_keeps_what_was_synced() {
    spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
    let whole = MemoryStorage::default();
    run(&whole);
    let operations = whole.operations();
    assert!(operations > 60, "the workload is too small: {operations}");
    for crash_at in 0..=operations {
        for seed in 0..SEEDS {
            let storage = MemoryStorage::new(Faults {
                crash_at: Some(crash_at),
                // Short writes add write points in the middle of records.
                short_write: (seed % 2 == 1).then_some(33),
                ..Faults::default()
            });
            let possible = run(&storage);
            let place = format!("power cut at operation {crash_at}, seed {seed}");
            check_recovery(&storage.after_crash(seed), &possible, &place);
        }
    }
}

/// A killed process leaves unsynced data in the page cache. What the next start reads from there
/// is acknowledged again, so a later power cut must not take it back.
#[test]
fn what_a_start_after_a_kill_reads_survives_a_power_cut() {
    spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
    let whole = MemoryStorage::default();
    run(&whole);
    for killed_at in 0..=whole.operations() {
        for seed in 0..SEEDS {
            let storage = MemoryStorage::new(Faults {
                crash_at: Some(killed_at),
                ..Faults::default()
            });
            run(&storage);
            storage.set_faults(Faults::default());
            let open = Journal::open(Box::new(storage.clone()), &"vm-1".into(), LIMITS);
            let (_, read) = open.unwrap_or_else(|error| panic!("kill at {killed_at}: {error}"));
            let place = format!("kill at operation {killed_at}, seed {seed}");
            check_recovery(&storage.after_crash(seed), &[Model::of(&read)], &place);
        }
    }
}

fn check_recovery(after: &MemoryStorage, possible: &[Model], place: &str) {
    let open = || Journal::open(Box::new(after.clone()), &"vm-1".into(), LIMITS);
    let (mut journal, recovered) = open().unwrap_or_else(|error| panic!("{place}: {error}"));
    let mut found = Model::of(&recovered);
    assert!(
        possible.contains(&found),
        "{place}: found {found:?}, expected one of {possible:?}"
    );
    // The log must continue where it ended, or a later start would find a gap.
    let last = found
        .entries
        .last()
        .map_or(found.snapshot, |entry| entry.index);
    let next = entry(last + 1, 9);
    found.apply(&next);
    perform(&mut journal, &next).unwrap();
    journal.sync().unwrap();
    drop(journal);
    let (_, again) = open().unwrap_or_else(|error| panic!("{place}, second start: {error}"));
    assert_eq!(Model::of(&again), found, "{place}, second start");
    assert_eq!(again.identity, recovered.identity, "{place}");
}

#[test]
fn segments_and_snapshots_that_are_covered_are_deleted() {
    let storage = MemoryStorage::default();
    run(&storage);
    let names = storage.names();
    let count = |prefix: &str| names.iter().filter(|name| name.starts_with(prefix)).count();
    assert_eq!(count("snapshot-"), 1, "{names:?}");
    assert!(count("segment-") <= 3, "{names:?}");
    assert!(!names.iter().any(|name| name.contains("tmp")), "{names:?}");
}

#[test]
fn one_batch_costs_one_sync() {
    let storage = MemoryStorage::default();
    let open = Journal::open(
        Box::new(storage.clone()),
        &"vm-1".into(),
        JournalLimits::default(),
    );
    let (mut journal, _) = open.unwrap();
    let before = storage.syncs();
    for index in 1..=200 {
        perform(&mut journal, &entry(index, 1)).unwrap();
    }
    journal.sync().unwrap();
    assert_eq!(storage.syncs() - before, 1);
}
