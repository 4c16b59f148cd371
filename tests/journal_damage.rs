//! Guards against a journal that opens with damaged data, and against acknowledging writes after a
//! disk fault.

#[path = "harness/memory_storage.rs"]
mod memory_storage;

use std::{fs, path::Path};

use bytes::Bytes;
use memory_storage::{Faults, MemoryStorage};
use rstest::rstest;
use tempfile::TempDir;
use waxwinglatch::{
    error::{Error, Result},
    journal::{DataFolder, Journal, JournalEntry, JournalLimits, RecoveredLog, Snapshot, Storage},
};

const LIMITS: JournalLimits = JournalLimits {
    segment_bytes: 2_000,
};

fn open(storage: &MemoryStorage) -> Result<(Journal, RecoveredLog)> {
    Journal::open(Box::new(storage.clone()), &"vm-1".into(), LIMITS)
}

fn append(journal: &mut Journal, index: u64) -> Result<()> {
    let body = Bytes::from(vec![b'x'; 100]);
    journal.append(JournalEntry {
        index,
        term: 1,
        body,
    })?;
    journal.sync()
}

/// Returns the storage of a journal in which each entry is a batch of its own.
fn filled_storage(entries: u64) -> MemoryStorage {
    let storage = MemoryStorage::default();
    let (mut journal, _) = open(&storage).unwrap();
    for index in 1..=entries {
        append(&mut journal, index).unwrap();
    }
    storage
}

fn segments(storage: &MemoryStorage) -> Vec<String> {
    let names = storage.names().into_iter();
    names.filter(|name| name.starts_with("segment-")).collect()
}

#[test]
fn a_torn_tail_is_truncated_after_the_last_complete_record() {
    let storage = filled_storage(10);
    let newest = segments(&storage).pop().unwrap();
    storage.edit(&newest, |content| content.truncate(content.len() - 7));
    let (mut journal, recovered) = open(&storage).unwrap();
    assert_eq!(recovered.entries.len(), 9);
    assert!(recovered.dropped_bytes > 0);
    append(&mut journal, 10).unwrap();
    assert_eq!(open(&storage).unwrap().1.entries.len(), 10);
}

#[rstest]
#[case::older_segment(0, 700)]
#[case::newest_segment(1, 300)]
#[case::head(0, 6)]
fn damage_before_synced_records_is_refused(#[case] segment: usize, #[case] offset: usize) {
    let storage = filled_storage(25);
    let name = segments(&storage).remove(segment);
    storage.edit(&name, |content| content[offset] ^= 0x10);
    let Err(Error::Corrupt {
        path,
        offset: found,
        ..
    }) = open(&storage)
    else {
        panic!("opening a damaged journal must fail");
    };
    assert!(path.ends_with(&name), "{}", path.display());
    let found = usize::try_from(found).unwrap();
    assert!(
        found <= offset && offset - found < 130,
        "reported offset {found}, damage at {offset}"
    );
}

#[rstest]
#[case::oldest(0)]
#[case::middle(1)]
fn a_missing_segment_is_refused(#[case] segment: usize) {
    let mut storage = filled_storage(50);
    let name = segments(&storage).remove(segment);
    storage.remove(&name).unwrap();
    assert!(matches!(open(&storage), Err(Error::Corrupt { .. })));
}

#[test]
fn an_identity_without_a_log_is_refused() {
    let mut storage = filled_storage(3);
    for name in segments(&storage) {
        storage.remove(&name).unwrap();
    }
    assert!(matches!(open(&storage), Err(Error::Corrupt { .. })));
}

#[test]
fn a_damaged_snapshot_is_refused() {
    let storage = filled_storage(30);
    let (mut journal, _) = open(&storage).unwrap();
    let state = Bytes::from(vec![5; 500]);
    let members = Bytes::new();
    let snapshot = Snapshot {
        index: 20,
        term: 1,
        members,
        state,
    };
    journal.save_snapshot(&snapshot, 20).unwrap();
    assert_eq!(open(&storage).unwrap().1.snapshot, Some(snapshot));
    let name = "snapshot-00000000000000000020";
    storage.edit(name, |content| content[200] ^= 1);
    assert!(matches!(open(&storage), Err(Error::Corrupt { path, .. }) if path.ends_with(name)));
}

#[test]
fn nothing_is_acknowledged_after_a_failed_sync() {
    let storage = filled_storage(3);
    let (mut journal, _) = open(&storage).unwrap();
    storage.set_faults(Faults {
        fail_sync: Some(storage.syncs() + 1),
        ..Faults::default()
    });
    assert!(append(&mut journal, 4).is_err());
    // The next sync would succeed, but the kernel has already discarded the unwritten data.
    for index in 5..8 {
        assert!(matches!(
            append(&mut journal, index),
            Err(Error::Stopped { .. })
        ));
    }
    assert_eq!(open(&storage).unwrap().1.entries.len(), 3);
}

#[test]
fn a_full_disk_stops_the_journal_and_keeps_synced_entries() {
    let storage = MemoryStorage::default();
    let (mut journal, _) = open(&storage).unwrap();
    storage.set_faults(Faults {
        capacity: Some(5_000),
        ..Faults::default()
    });
    let synced = (1..1_000)
        .take_while(|&index| append(&mut journal, index).is_ok())
        .count();
    assert!(matches!(
        append(&mut journal, 99),
        Err(Error::Stopped { .. })
    ));
    storage.set_faults(Faults::default());
    let (mut journal, recovered) = open(&storage).unwrap();
    assert_eq!(recovered.entries.len(), synced);
    append(&mut journal, synced as u64 + 1).unwrap();
}

#[test]
fn a_second_process_cannot_use_the_folder() {
    let folder = TempDir::new().unwrap();
    let first = DataFolder::open(folder.path()).unwrap();
    let Err(error) = DataFolder::open(folder.path()) else {
        panic!("opening a locked folder must fail");
    };
    assert!(error.to_string().contains("another process"), "{error}");
    drop(first);
    DataFolder::open(folder.path()).unwrap();
}

#[test]
fn a_damaged_log_is_renamed_and_the_voter_gets_a_new_incarnation() {
    let folder = TempDir::new().unwrap();
    let open = || {
        let data = DataFolder::open(folder.path()).unwrap();
        data.open_journal(&"vm-1".into(), LIMITS).unwrap()
    };
    let mut first = open();
    for index in 1..=5 {
        append(&mut first.journal, index).unwrap();
    }
    let identity = first.recovered.identity.clone();
    drop(first);
    assert_eq!(open().recovered.identity, identity);
    let path = folder.path().join("journal/segment-00000000000000000001");
    flip_byte(&path, 100);
    let second = open().recovered;
    assert_ne!(second.identity.incarnation, identity.incarnation);
    assert!(second.entries.is_empty());
    assert!(folder.path().join("damaged-1/identity.json").exists());
}

fn flip_byte(path: &Path, offset: usize) {
    let mut content = fs::read(path).unwrap();
    content[offset] ^= 1;
    fs::write(path, content).unwrap();
}
