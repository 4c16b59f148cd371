//! Replication: conflicts, limits and snapshots.

mod raft_sim;

use std::time::Duration;

use bytes::Bytes;
use raft_sim::{Fleet, MS, Network, voter};
use waxwinglatch::raft::{
    EntryPayload, LogEntry, MessageBody, RaftEffect, RaftInput, RaftLimits, RaftMessage,
    RefusalReason, SnapshotMeta,
};

fn log(terms: &[(u64, usize)]) -> Vec<LogEntry> {
    let terms = terms.iter().flat_map(|(term, count)| vec![*term; *count]);
    let entry = |(term, index)| LogEntry {
        term,
        index,
        payload: EntryPayload::Noop,
    };
    terms.zip(1..).map(entry).collect()
}

/// Guards against a search that goes back one entry at a time: a conflict costs at most one
/// rejection for each term in the conflicting part, and one for the empty log.
#[test]
fn a_conflict_is_found_term_by_term() {
    let mut fleet = Fleet::new(3, 1);
    // One message carries the whole log, so that none is rejected because of reordering.
    fleet.limits = RaftLimits::default();
    let logs = [
        log(&[(1, 50), (4, 50)]),
        log(&[(1, 50), (4, 50)]),
        log(&[(1, 50), (2, 30), (3, 30)]),
    ];
    for (vm, entries) in logs.into_iter().enumerate() {
        fleet.crash(vm);
        fleet.nodes[vm].disk.restored.term = 4;
        fleet.nodes[vm].disk.restored.entries = entries;
        fleet.start(vm);
    }
    fleet.run_to_leader();
    fleet.run(500 * MS);
    assert_eq!(fleet.core(2).commit_index(), 101);
    assert!(fleet.rejections <= 3, "{} rejections", fleet.rejections);
}

/// Guards against unbounded memory: the bytes in flight to a member that does not answer are
/// limited, and the leader refuses proposals when the log is full until it is compacted.
#[test]
fn bytes_in_flight_and_in_memory_are_bounded() {
    let mut fleet = Fleet::new(3, 2);
    fleet.limits.log_bytes = 4_000;
    (0..3).for_each(|vm| {
        fleet.crash(vm);
        fleet.start(vm);
    });
    let leader = fleet.run_to_leader();
    let unresponsive = (leader + 1) % 3;
    fleet.run(200 * MS);
    let mut core = fleet.core(leader).clone();
    let now = Duration::from_secs(60);
    let mut bytes = 0;
    for token in 0..50 {
        let payload = Bytes::from_static(&[0; 8]);
        core.step(now, RaftInput::Propose { token, payload });
        let (index, term) = (core.last_index(), core.term());
        for effect in core.step(now, RaftInput::Persisted { index, term }) {
            let RaftEffect::Send { message } = effect else {
                continue;
            };
            if let MessageBody::AppendRequest { entries, .. } = message.body
                && message.to == voter(unresponsive, 1)
            {
                bytes += entries.iter().map(LogEntry::size).sum::<usize>();
            }
        }
    }
    assert!(
        bytes > 0 && bytes <= fleet.limits.in_flight_bytes,
        "{bytes}"
    );

    (0..200).for_each(|token| fleet.propose(leader, token));
    assert!(
        fleet
            .refusals
            .values()
            .all(|reason| *reason == RefusalReason::LogFull)
    );
    assert!(
        (70..130).contains(&fleet.refusals.len()),
        "{}",
        fleet.refusals.len()
    );
    fleet.run(500 * MS);
    fleet.snapshot(leader);
    fleet.propose(leader, 1_000);
    assert!(fleet.proposed.contains_key(&1_000));
}

/// Guards against a member that never catches up with a compacted log, also when snapshot chunks
/// are lost.
#[test]
fn a_slow_member_receives_a_snapshot_in_chunks() {
    let mut fleet = Fleet::new(3, 3);
    let leader = fleet.run_to_leader();
    let slow = (leader + 1) % 3;
    fleet.blocked_links = (0..3).flat_map(|vm| [(slow, vm), (vm, slow)]).collect();
    for token in 0..1_000 {
        fleet.propose(leader, token);
        fleet.run(MS);
    }
    fleet.run(200 * MS);
    fleet.snapshot(leader);
    fleet.blocked_links.clear();
    fleet.network = Network {
        loss: 0.2,
        ..Network::default()
    };
    fleet.run(20_000 * MS);
    assert_eq!(fleet.snapshots_installed, 1);
    assert_eq!(fleet.nodes[slow].applied.len(), 8_000);
}

/// Guards against an encoding that other processes cannot read.
#[test]
fn messages_are_unchanged_after_encoding_and_decoding() {
    let command = LogEntry {
        term: 1,
        index: 1,
        payload: EntryPayload::Command(Bytes::from_static(b"command")),
    };
    let bodies = [
        MessageBody::AppendRequest {
            round: 1,
            prev_index: 0,
            prev_term: 0,
            entries: vec![command],
            commit: 0,
        },
        MessageBody::SnapshotRequest {
            round: 1,
            meta: SnapshotMeta::default(),
            offset: 0,
            bytes: Bytes::from(vec![200; 1_000]),
            last: false,
        },
    ];
    for body in bodies {
        let message = RaftMessage {
            from: voter(0, 1),
            to: voter(1, 2),
            term: 3,
            body,
        };
        let encoded = rmp_serde::to_vec_named(&message).expect("encodes");
        assert!(
            encoded.len() < 1_300,
            "bytes are not encoded as one byte string: {}",
            encoded.len()
        );
        let decoded: RaftMessage = rmp_serde::from_slice(&encoded).expect("decodes");
        assert_eq!(decoded, message);
    }
}
