use std::{collections::HashMap, io};

use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

/// Byte at which a document is split into chunks. JSON objects, and those of similar formats, end
/// with it.
const CHUNK_END: u8 = b'}';
/// Minimum size of a chunk. A reference to a smaller one takes as many bytes as the chunk itself.
const MIN_CHUNK_BYTES: usize = 48;

/// One operation that contributes to the new document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum DocumentEdit {
    /// Copies consecutive chunks of the old document.
    Keep { first: u32, count: u32 },
    /// Inserts bytes that are not in the old document.
    Insert(ByteBuf),
}

/// Difference between two documents, as chunks copied from the old document and inserted bytes. A
/// plan may have hundreds of routes, of which a change affects only a few.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentDelta {
    edits: Vec<DocumentEdit>,
    checksum: u32,
}

impl DocumentDelta {
    /// Returns the difference between `old` and `new`.
    #[must_use]
    pub fn between(old: &[u8], new: &[u8]) -> Self {
        let old = split_chunks(old);
        let mut positions: HashMap<&[u8], u32> = HashMap::new();
        for (position, chunk) in (0..).zip(&old) {
            positions.entry(chunk).or_insert(position);
        }
        let mut edits: Vec<DocumentEdit> = Vec::new();
        for chunk in split_chunks(new) {
            let following = match edits.last() {
                Some(DocumentEdit::Keep { first, count }) => Some(first + count),
                _ => None,
            };
            // Equal chunks may occur at many positions. The one after the last copied chunk is
            // preferred because it extends that copy instead of starting another.
            let is_next = following.is_some_and(|next| old.get(next as usize) == Some(&chunk));
            match (edits.last_mut(), positions.get(chunk)) {
                (Some(DocumentEdit::Keep { count, .. }), _) if is_next => *count += 1,
                (_, Some(position)) => edits.push(DocumentEdit::Keep {
                    first: *position,
                    count: 1,
                }),
                (Some(DocumentEdit::Insert(bytes)), None) => bytes.extend_from_slice(chunk),
                (_, None) => edits.push(DocumentEdit::Insert(ByteBuf::from(chunk))),
            }
        }
        Self {
            edits,
            checksum: crc32fast::hash(new),
        }
    }

    /// Returns the new document, given the old one.
    ///
    /// # Errors
    /// [`io::ErrorKind::InvalidData`] when `old` is not the document that the delta was made from.
    pub fn apply_to(&self, old: &[u8]) -> io::Result<Vec<u8>> {
        let old = split_chunks(old);
        let mismatch = || io::Error::new(io::ErrorKind::InvalidData, "delta of another document");
        let mut new = Vec::new();
        for edit in &self.edits {
            match edit {
                DocumentEdit::Keep { first, count } => {
                    let first = *first as usize;
                    let chunks = old.get(first..first.saturating_add(*count as usize));
                    new.extend(chunks.ok_or_else(mismatch)?.iter().copied().flatten());
                }
                DocumentEdit::Insert(bytes) => new.extend_from_slice(bytes),
            }
        }
        if crc32fast::hash(&new) == self.checksum {
            Ok(new)
        } else {
            Err(mismatch())
        }
    }
}

fn split_chunks(document: &[u8]) -> Vec<&[u8]> {
    let mut chunks = Vec::new();
    let mut rest = document;
    while !rest.is_empty() {
        let start = MIN_CHUNK_BYTES.min(rest.len());
        let end = rest[start..].iter().position(|byte| *byte == CHUNK_END);
        let (chunk, after) = rest.split_at(end.map_or(rest.len(), |end| start + end + 1));
        chunks.push(chunk);
        rest = after;
    }
    chunks
}
