use bytes::Bytes;

use crate::{
    ids::{LogIndex, Term, VmId},
    raft::VoterId,
};

/// Length of a record's header in bytes: body length, checksum, start of the batch and kind.
pub const HEADER_LENGTH: usize = 4 + 4 + 4 + 1;
/// Maximum length of a body in bytes, so that a damaged length field is detected before memory is
/// allocated.
pub const MAX_BODY_LENGTH: usize = 64 << 20;

const KIND_HEADER: u8 = 1;
const KIND_VOTE: u8 = 2;
const KIND_ENTRY: u8 = 3;
const KIND_TRUNCATE: u8 = 4;
const KIND_RESET: u8 = 5;
/// Version of the segment format.
const FORMAT_VERSION: u32 = 1;

/// A voter's current term and its vote in that term.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VoteRecord {
    /// The latest term that the voter has seen.
    pub term: Term,
    /// Candidate that the voter voted for in that term, if any.
    pub candidate: Option<VoterId>,
}

/// One entry of the replicated log. Its body is opaque to the journal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JournalEntry {
    /// Position in the log.
    pub index: LogIndex,
    /// Term of the leader that created the entry.
    pub term: Term,
    /// Encoded payload.
    pub body: Bytes,
}

/// One record of a segment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    /// First record of each segment. It repeats the vote, so that older segments can be deleted.
    Header { sequence: u64, vote: VoteRecord },
    /// A changed term or vote.
    Vote(VoteRecord),
    /// A log entry, which follows the previous one.
    Entry(JournalEntry),
    /// Discards the entries from index `from` on, which conflict with those of a new leader.
    Truncate { from: LogIndex },
    /// Discards all entries, since a snapshot up to index `base` replaces them.
    Reset { base: LogIndex },
}

impl Record {
    /// Appends the encoded record to `out`. `sequence` and `offset` are the segment and the
    /// position at which the record will be stored, and `batch_start` is the offset of the batch
    /// that is synced together.
    pub fn encode(&self, out: &mut Vec<u8>, sequence: u64, offset: u64, batch_start: u32) {
        let start = out.len();
        out.extend_from_slice(&[0; HEADER_LENGTH]);
        let kind = self.encode_body(out);
        let length = u32::try_from(out.len() - start - HEADER_LENGTH).unwrap_or(u32::MAX);
        out[start..start + 4].copy_from_slice(&length.to_le_bytes());
        out[start + 8..start + 12].copy_from_slice(&batch_start.to_le_bytes());
        out[start + 12] = kind;
        let checksum = checksum(sequence, offset, &out[start..]);
        out[start + 4..start + 8].copy_from_slice(&checksum.to_le_bytes());
    }

    fn encode_body(&self, out: &mut Vec<u8>) -> u8 {
        match self {
            Self::Header { sequence, vote } => {
                out.extend_from_slice(&FORMAT_VERSION.to_le_bytes());
                out.extend_from_slice(&sequence.to_le_bytes());
                encode_vote(vote, out);
                KIND_HEADER
            }
            Self::Vote(vote) => {
                encode_vote(vote, out);
                KIND_VOTE
            }
            Self::Entry(entry) => {
                out.extend_from_slice(&entry.index.to_le_bytes());
                out.extend_from_slice(&entry.term.to_le_bytes());
                out.extend_from_slice(&entry.body);
                KIND_ENTRY
            }
            Self::Truncate { from } => {
                out.extend_from_slice(&from.to_le_bytes());
                KIND_TRUNCATE
            }
            Self::Reset { base } => {
                out.extend_from_slice(&base.to_le_bytes());
                KIND_RESET
            }
        }
    }

    fn decode_body(kind: u8, mut body: Bytes) -> Option<Self> {
        let body = &mut body;
        let record = match kind {
            KIND_HEADER if take_u32(body)? == FORMAT_VERSION => Self::Header {
                sequence: take_u64(body)?,
                vote: decode_vote(body)?,
            },
            KIND_VOTE => Self::Vote(decode_vote(body)?),
            KIND_ENTRY => Self::Entry(JournalEntry {
                index: take_u64(body)?,
                term: take_u64(body)?,
                body: std::mem::take(body),
            }),
            KIND_TRUNCATE => Self::Truncate {
                from: take_u64(body)?,
            },
            KIND_RESET => Self::Reset {
                base: take_u64(body)?,
            },
            _ => return None,
        };
        body.is_empty().then_some(record)
    }
}

/// A record decoded from a segment.
pub struct DecodedRecord {
    pub record: Record,
    pub batch_start: u32,
    pub end: usize,
}

/// Decodes the record at `offset`; returns `None` if there is no complete and valid record.
pub fn decode_at(content: &Bytes, sequence: u64, offset: usize) -> Option<DecodedRecord> {
    let header = content.get(offset..offset + HEADER_LENGTH)?;
    let read_u32 = |at: usize| u32::from_le_bytes([0, 1, 2, 3].map(|byte| header[at + byte]));
    let length = usize::try_from(read_u32(0)).ok()?;
    let end = offset + HEADER_LENGTH + length;
    if length > MAX_BODY_LENGTH || end > content.len() {
        return None;
    }
    if checksum(sequence, offset as u64, &content[offset..end]) != read_u32(4) {
        return None;
    }
    let body = content.slice(offset + HEADER_LENGTH..end);
    Some(DecodedRecord {
        record: Record::decode_body(header[12], body)?,
        batch_start: read_u32(8),
        end,
    })
}

/// Returns the checksum of a record and its position, so that stale data from another position is
/// not accepted as a record.
fn checksum(sequence: u64, offset: u64, record: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&sequence.to_le_bytes());
    hasher.update(&offset.to_le_bytes());
    hasher.update(&record[..4]);
    hasher.update(&record[8..]);
    hasher.finalize()
}

fn encode_vote(vote: &VoteRecord, out: &mut Vec<u8>) {
    out.extend_from_slice(&vote.term.to_le_bytes());
    if let Some(candidate) = &vote.candidate {
        out.extend_from_slice(&candidate.incarnation.to_le_bytes());
        out.extend_from_slice(candidate.vm.as_bytes());
    }
}

fn decode_vote(body: &mut Bytes) -> Option<VoteRecord> {
    let term = take_u64(body)?;
    if body.is_empty() {
        let candidate = None;
        return Some(VoteRecord { term, candidate });
    }
    let incarnation = take_u64(body)?;
    let vm = VmId::from_utf8(std::mem::take(body)).ok()?;
    let candidate = Some(VoterId::new(vm, incarnation));
    Some(VoteRecord { term, candidate })
}

fn take_u64(body: &mut Bytes) -> Option<u64> {
    let bytes = body.get(..8)?.try_into().ok()?;
    let _ = body.split_to(8);
    Some(u64::from_le_bytes(bytes))
}

fn take_u32(body: &mut Bytes) -> Option<u32> {
    let bytes = body.get(..4)?.try_into().ok()?;
    let _ = body.split_to(4);
    Some(u32::from_le_bytes(bytes))
}
