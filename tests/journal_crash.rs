//! Guards against a journal that loses synced records or recovers records that were never written
//! after a power cut.

#[path = "harness/memory_storage.rs"]
mod memory_storage;

use bytes::Bytes;
use memory_storage::{Faults, MemoryStorage};
use waxwinglatch::{
    error::Result,
    journal::{Journal, JournalEntry, JournalLimits, RecoveredLog, Snapshot, VoteRecord},
    raft::VoterId,
};

/// Seeds per crash point; each seed leaves another part of the unsynced data on the disk.
const SEEDS: u64 = 40;
const LIMITS: JournalLimits = JournalLimits { segment_bytes: 600 };

/// Expected content of the journal.
#[derive(Clone, Debug, Default, PartialEq)]
struct ModelState {
    vote: VoteRecord,
    snapshot: u64,
    entries: Vec<JournalEntry>,
}

impl ModelState {
    fn from_recovered(recovered: &RecoveredLog) -> Self {
        Self {
            vote: recovered.vote.clone(),
            snapshot: recovered
                .snapshot
                .as_ref()
                .map_or(0, |snapshot| snapshot.index),
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

/// Runs the workload until an operation fails. Returns the states that may be recovered afterwards:
/// from the state after the last durable action to the state after the failed one.
fn run_workload(storage: &MemoryStorage) -> Vec<ModelState> {
    let mut possible = vec![ModelState::default()];
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
fn synced_records_survive_a_power_cut_at_any_operation() {
    spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
    let fault_free = MemoryStorage::default();
    run_workload(&fault_free);
    let operations = fault_free.operations();
    assert!(operations > 60, "the workload is too small: {operations}");
    for crash_at in 0..=operations {
        for seed in 0..SEEDS {
            let storage = MemoryStorage::new(Faults {
                crash_at: Some(crash_at),
                // Short writes add crash points in the middle of records.
                short_write: (seed % 2 == 1).then_some(33),
                ..Faults::default()
            });
            let possible = run_workload(&storage);
            let context = format!("power cut at operation {crash_at}, seed {seed}");
            check_recovery(&storage.after_crash(seed), &possible, &context);
        }
    }
}

/// A killed process leaves unsynced data in the page cache. The next process acknowledges what it
/// reads from there, so a later power cut must not lose it.
#[test]
fn records_read_after_a_kill_survive_a_power_cut() {
    spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
    let fault_free = MemoryStorage::default();
    run_workload(&fault_free);
    for killed_at in 0..=fault_free.operations() {
        for seed in 0..SEEDS {
            let storage = MemoryStorage::new(Faults {
                crash_at: Some(killed_at),
                ..Faults::default()
            });
            run_workload(&storage);
            storage.set_faults(Faults::default());
            let open = Journal::open(Box::new(storage.clone()), &"vm-1".into(), LIMITS);
            let (_, recovered) =
                open.unwrap_or_else(|error| panic!("kill at {killed_at}: {error}"));
            let context = format!("kill at operation {killed_at}, seed {seed}");
            check_recovery(
                &storage.after_crash(seed),
                &[ModelState::from_recovered(&recovered)],
                &context,
            );
        }
    }
}

fn check_recovery(after: &MemoryStorage, possible: &[ModelState], context: &str) {
    let open = || Journal::open(Box::new(after.clone()), &"vm-1".into(), LIMITS);
    let (mut journal, recovered) = open().unwrap_or_else(|error| panic!("{context}: {error}"));
    let mut found = ModelState::from_recovered(&recovered);
    assert!(
        possible.contains(&found),
        "{context}: found {found:?}, expected one of {possible:?}"
    );
    // New entries must follow the recovered ones, or the next recovery would find a gap.
    let last = found
        .entries
        .last()
        .map_or(found.snapshot, |entry| entry.index);
    let next = entry(last + 1, 9);
    found.apply(&next);
    perform(&mut journal, &next).unwrap();
    journal.sync().unwrap();
    drop(journal);
    let (_, reopened) = open().unwrap_or_else(|error| panic!("{context}, second start: {error}"));
    assert_eq!(
        ModelState::from_recovered(&reopened),
        found,
        "{context}, second start"
    );
    assert_eq!(reopened.identity, recovered.identity, "{context}");
}

#[test]
fn obsolete_segments_and_snapshots_are_deleted() {
    let storage = MemoryStorage::default();
    run_workload(&storage);
    let names = storage.names();
    let count = |prefix: &str| names.iter().filter(|name| name.starts_with(prefix)).count();
    assert_eq!(count("snapshot-"), 1, "{names:?}");
    assert!(count("segment-") <= 3, "{names:?}");
    assert!(!names.iter().any(|name| name.contains("tmp")), "{names:?}");
}

#[test]
fn one_batch_needs_one_sync() {
    let storage = MemoryStorage::default();
    let open = Journal::open(
        Box::new(storage.clone()),
        &"vm-1".into(),
        JournalLimits::default(),
    );
    let (mut journal, _) = open.unwrap();
    let previous_syncs = storage.syncs();
    for index in 1..=200 {
        perform(&mut journal, &entry(index, 1)).unwrap();
    }
    journal.sync().unwrap();
    assert_eq!(storage.syncs() - previous_syncs, 1);
}
