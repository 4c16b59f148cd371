use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};
use serde_bytes::ByteArray;

use super::Outcome;
use crate::ids::RequestId;

/// Time for which a resend finds the first outcome, in milliseconds.
const RETENTION_MS: u64 = 24 * 3_600 * 1_000;
/// Most request ids that are kept. A day at the design scale has 3,300 changes.
const MAX_REQUESTS: usize = 10_000;

/// Digest of the whole change that a request id was used for.
pub type ChangeDigest = ByteArray<32>;

/// Outcomes of operators' changes by request id, bounded in time and number.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RequestTable {
    records: BTreeMap<RequestId, RequestRecord>,
    /// Ids in the order in which they were recorded.
    order: VecDeque<RequestId>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct RequestRecord {
    at_ms: u64,
    digest: ChangeDigest,
    outcome: Outcome,
}

/// What the table knows of a request id.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestLookup {
    /// The id is new, or was dropped.
    New,
    /// The same change was sent before and had this outcome.
    Repeated(Outcome),
    /// The id was used for another change.
    Reused,
}

impl RequestTable {
    /// Looks up a change by its request id.
    #[must_use]
    pub fn find(&self, id: &RequestId, digest: &ChangeDigest) -> RequestLookup {
        match self.records.get(id) {
            None => RequestLookup::New,
            Some(record) if record.digest == *digest => {
                RequestLookup::Repeated(record.outcome.clone())
            }
            Some(_) => RequestLookup::Reused,
        }
    }

    /// Records the outcome of a new request id.
    pub(super) fn record(
        &mut self,
        now_ms: u64,
        id: &RequestId,
        digest: ChangeDigest,
        outcome: Outcome,
    ) {
        let record = RequestRecord {
            at_ms: now_ms,
            digest,
            outcome,
        };
        if self.records.insert(id.clone(), record).is_none() {
            self.order.push_back(id.clone());
        }
        if self.order.len() > MAX_REQUESTS {
            self.drop_oldest();
        }
    }

    /// Drops the ids that are older than the retention.
    pub(super) fn expire(&mut self, now_ms: u64) {
        while self
            .order
            .front()
            .and_then(|id| self.records.get(id))
            .is_some_and(|record| record.at_ms.saturating_add(RETENTION_MS) <= now_ms)
        {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        if let Some(id) = self.order.pop_front() {
            self.records.remove(&id);
        }
    }

    /// Returns the number of ids kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Tells whether no id is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}

/// Digest of a change. Field names are part of it, and all lists keep the operator's order.
#[must_use]
pub fn change_digest<C: Serialize>(change: &C) -> ChangeDigest {
    let mut hasher = blake3::Hasher::new();
    let mut serializer = rmp_serde::Serializer::new(&mut hasher).with_struct_map();
    // Writing to a hasher cannot fail, and the types of changes have no unsupported parts.
    let _ = change.serialize(&mut serializer);
    ByteArray::new(*hasher.finalize().as_bytes())
}
