use bytes::Bytes;

use super::record::{self, HEADER_LENGTH, Record};

const NAME_PREFIX: &str = "segment-";

/// File name of a segment; names sort in the order of the sequence numbers.
pub fn name(sequence: u64) -> String {
    format!("{NAME_PREFIX}{sequence:020}")
}

/// Sequence number in a segment's file name.
pub fn sequence(name: &str) -> Option<u64> {
    name.strip_prefix(NAME_PREFIX)?.parse().ok()
}

/// What reading a segment found.
pub struct ScannedSegment {
    pub records: Vec<Record>,
    /// Bytes that hold whole records.
    pub length: usize,
    pub tail: SegmentTail,
}

/// How a segment ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SegmentTail {
    /// After a whole record.
    Whole,
    /// In the middle of a batch that was never synced, so nothing acknowledged is lost.
    Torn,
    /// With a damaged record that was synced, because later batches follow it.
    Damaged,
}

/// Reads the records of a segment up to its end or the first damaged record.
pub fn scan(content: &Bytes, sequence: u64) -> ScannedSegment {
    let mut records = Vec::new();
    let mut offset = 0;
    while let Some(found) = record::decode_at(content, sequence, offset) {
        offset = found.end;
        records.push(found.record);
    }
    let tail = if offset == content.len() {
        SegmentTail::Whole
    } else if synced_record_follows(content, sequence, offset) {
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

/// Tells whether a batch that begins after `damaged` left a whole record. Batches are written one
/// after the other with a sync between them, so the damaged record was then synced. Pages of one
/// batch may reach the disk in any order, so later records of the same batch prove nothing.
fn synced_record_follows(content: &Bytes, sequence: u64, damaged: usize) -> bool {
    let last = content.len().saturating_sub(HEADER_LENGTH);
    (damaged + 1..=last).any(|offset| {
        record::decode_at(content, sequence, offset).is_some_and(|found| {
            usize::try_from(found.batch_start).is_ok_and(|start| start > damaged)
        })
    })
}
