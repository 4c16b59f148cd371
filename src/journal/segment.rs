use bytes::Bytes;

use super::record::{self, HEADER_LENGTH, Record};

const NAME_PREFIX: &str = "segment-";

/// Returns the file name of a segment. Names sort in the order of the sequence numbers.
pub fn name(sequence: u64) -> String {
    format!("{NAME_PREFIX}{sequence:020}")
}

/// Returns the sequence number in a segment's file name.
pub fn sequence(name: &str) -> Option<u64> {
    name.strip_prefix(NAME_PREFIX)?.parse().ok()
}

/// Result of scanning a segment.
pub struct ScannedSegment {
    pub records: Vec<Record>,
    /// Length in bytes of the valid records.
    pub length: usize,
    pub tail: SegmentTail,
}

/// State of the end of a segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SegmentTail {
    /// The segment ends with a complete record.
    Complete,
    /// The last batch is incomplete. It was never synced, so no acknowledged record is lost.
    Torn,
    /// A damaged record is followed by a later batch, so the record had been synced.
    Damaged,
}

/// Reads the records of a segment up to its end or the first invalid record.
pub fn scan(content: &Bytes, sequence: u64) -> ScannedSegment {
    let mut records = Vec::new();
    let mut offset = 0;
    while let Some(decoded) = record::decode_at(content, sequence, offset) {
        offset = decoded.end;
        records.push(decoded.record);
    }
    let tail = if offset == content.len() {
        SegmentTail::Complete
    } else if has_later_batch(content, sequence, offset) {
        SegmentTail::Damaged
    } else {
        SegmentTail::Torn
    };
    ScannedSegment {
        records,
        length: offset,
        tail,
    }
}

/// Returns whether a valid record of a batch that starts after the offset `damaged` exists. Batches
/// are written one after the other with a sync between them, so the damaged record was synced in
/// that case. Later records of the same batch do not show this, since the pages of one batch may
/// reach the disk in any order.
fn has_later_batch(content: &Bytes, sequence: u64, damaged: usize) -> bool {
    let last = content.len().saturating_sub(HEADER_LENGTH);
    (damaged + 1..=last).any(|offset| {
        record::decode_at(content, sequence, offset).is_some_and(|decoded| {
            usize::try_from(decoded.batch_start).is_ok_and(|start| start > damaged)
        })
    })
}
