use std::{collections::HashMap, io};

use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

/// Byte at which a document is split into pieces: objects of JSON, and of the like, end with it.
const PIECE_END: u8 = b'}';
/// Shortest piece; smaller ones cost as much to name as to repeat.
const SHORTEST_PIECE: usize = 48;

/// One step from an old document to a new one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum DocumentEdit {
    /// Takes pieces of the old document.
    Keep { first: u32, count: u32 },
    /// Takes bytes that the old document lacks.
    Insert(ByteBuf),
}

/// How a document follows from another one, as pieces that are kept and bytes that are new. A plan
/// may have hundreds of routes, of which a change touches a few.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentDelta {
    edits: Vec<DocumentEdit>,
    checksum: u32,
}

impl DocumentDelta {
    /// Returns the steps from `old` to `new`.
    #[must_use]
    pub fn between(old: &[u8], new: &[u8]) -> Self {
        let old = pieces(old);
        let mut places: HashMap<&[u8], u32> = HashMap::new();
        for (place, piece) in (0..).zip(&old) {
            places.entry(piece).or_insert(place);
        }
        let mut edits: Vec<DocumentEdit> = Vec::new();
        for piece in pieces(new) {
            let following = match edits.last() {
                Some(DocumentEdit::Keep { first, count }) => Some(first + count),
                _ => None,
            };
            // The piece after the last one goes first, since equal pieces may stand in many places.
            let is_next = following.is_some_and(|next| old.get(next as usize) == Some(&piece));
            match (edits.last_mut(), places.get(piece)) {
                (Some(DocumentEdit::Keep { count, .. }), _) if is_next => *count += 1,
                (_, Some(place)) => edits.push(DocumentEdit::Keep {
                    first: *place,
                    count: 1,
                }),
                (Some(DocumentEdit::Insert(bytes)), None) => bytes.extend_from_slice(piece),
                (_, None) => edits.push(DocumentEdit::Insert(ByteBuf::from(piece))),
            }
        }
        Self {
            edits,
            checksum: crc32fast::hash(new),
        }
    }

    /// Returns the new document.
    ///
    /// # Errors
    /// [`io::ErrorKind::InvalidData`] when `old` is not the document that this one was made from.
    pub fn apply_to(&self, old: &[u8]) -> io::Result<Vec<u8>> {
        let old = pieces(old);
        let foreign = || io::Error::new(io::ErrorKind::InvalidData, "a change of another document");
        let mut new = Vec::new();
        for edit in &self.edits {
            match edit {
                DocumentEdit::Keep { first, count } => {
                    let first = *first as usize;
                    let kept = old.get(first..first.saturating_add(*count as usize));
                    new.extend(kept.ok_or_else(foreign)?.iter().copied().flatten());
                }
                DocumentEdit::Insert(bytes) => new.extend_from_slice(bytes),
            }
        }
        if crc32fast::hash(&new) == self.checksum {
            Ok(new)
        } else {
            Err(foreign())
        }
    }
}

fn pieces(document: &[u8]) -> Vec<&[u8]> {
    let mut pieces = Vec::new();
    let mut rest = document;
    while !rest.is_empty() {
        let start = SHORTEST_PIECE.min(rest.len());
        let end = rest[start..].iter().position(|byte| *byte == PIECE_END);
        let (piece, after) = rest.split_at(end.map_or(rest.len(), |end| start + end + 1));
        pieces.push(piece);
        rest = after;
    }
    pieces
}
