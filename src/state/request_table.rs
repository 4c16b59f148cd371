use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};
use serde_bytes::ByteArray;

use super::Outcome;
use crate::ids::RequestId;

/// Time for which the outcome of a request is retained for resends, in milliseconds.
const RETENTION_MS: u64 = 24 * 3_600 * 1_000;
/// Maximum number of retained request ids. At the design scale there are 3,300 changes a day.
const MAX_REQUESTS: usize = 10_000;

/// Digest of the complete change that a request id was used for.
pub type ChangeDigest = ByteArray<32>;

/// Outcomes of operators' requests by request id, limited by age and number.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RequestTable {
    records: BTreeMap<RequestId, RequestRecord>,
    /// Request ids, oldest first.
    #[serde(rename = "order")]
    ids_by_age: VecDeque<RequestId>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct RequestRecord {
    at_ms: u64,
    digest: ChangeDigest,
    outcome: Outcome,
}

/// Result of looking up a request id.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestLookup {
    /// The id is new or no longer retained.
    New,
    /// The same change was received before, with this outcome.
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
            self.ids_by_age.push_back(id.clone());
        }
        if self.ids_by_age.len() > MAX_REQUESTS {
            self.remove_oldest();
        }
    }

    /// Removes the ids that are older than the retention period.
    pub(super) fn expire(&mut self, now_ms: u64) {
        while self
            .ids_by_age
            .front()
            .and_then(|id| self.records.get(id))
            .is_some_and(|record| record.at_ms.saturating_add(RETENTION_MS) <= now_ms)
        {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        if let Some(id) = self.ids_by_age.pop_front() {
            self.records.remove(&id);
        }
    }

    /// Returns the number of retained ids.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether the table is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}

/// Returns the digest of a change. It covers field names and the order of list elements.
#[must_use]
pub fn change_digest<C: Serialize>(change: &C) -> ChangeDigest {
    let mut hasher = blake3::Hasher::new();
    let mut serializer = rmp_serde::Serializer::new(&mut hasher).with_struct_map();
    // Writing to a hasher cannot fail, and all types of changes can be serialized.
    let _ = change.serialize(&mut serializer);
    ByteArray::new(*hasher.finalize().as_bytes())
}
