use std::collections::{BTreeMap, HashMap};

use compact_str::CompactString;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use super::{ClaimKey, ClaimTicket, RecordedResponse};
use crate::ids::{Attempt, BodyHash, EntryKey, IdempotencyKey};

/// State of one claimed key.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct ClaimRecord {
    pub(super) claimant: EntryKey,
    pub(super) attempt: Attempt,
    pub(super) body_hash: BodyHash,
    pub(super) state: ClaimState,
}

impl ClaimRecord {
    pub(super) fn matches(&self, ticket: &ClaimTicket) -> bool {
        self.claimant == ticket.claimant && self.attempt == ticket.attempt
    }

    /// Returns the size of the recorded headers and body in bytes.
    pub(super) fn recorded_size(&self) -> usize {
        match &self.state {
            ClaimState::Recorded(response) => response.size(),
            _ => 0,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) enum ClaimState {
    /// The claim is granted and the request may be running.
    Open,
    /// The claim was released before any byte was sent. The record is retained so that a delayed
    /// duplicate of the released claim command is not granted.
    Released,
    /// The request ran, with this response.
    Recorded(RecordedResponse),
    /// It is not known whether the request ran.
    Unknown,
}

/// Claims whose keys were created within the same time span.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct ClaimShard(pub(super) BTreeMap<ClaimKey, ClaimRecord>);

/// Encoding of a shard. Team, route and claimant are deduplicated and referred to by index, which
/// halves the size of a snapshot.
#[derive(Serialize, Deserialize)]
struct EncodedShard<S> {
    names: Vec<CompactString>,
    claimants: Vec<EntryKey>,
    claims: Vec<EncodedClaim<S>>,
}

/// Idempotency key, index of the team, index of the route, index of the claimant, attempt, body
/// hash and state.
type EncodedClaim<S> = (IdempotencyKey, u32, u32, u32, Attempt, BodyHash, S);

/// Collects distinct values and assigns indexes in the order of first use.
struct ValueInterner<T> {
    indexes: HashMap<T, u32>,
    values: Vec<T>,
}

impl<T: Clone + Eq + std::hash::Hash> ValueInterner<T> {
    fn new() -> Self {
        Self {
            indexes: HashMap::new(),
            values: Vec::new(),
        }
    }

    fn intern(&mut self, value: &T) -> u32 {
        if let Some(index) = self.indexes.get(value) {
            return *index;
        }
        let index = u32::try_from(self.values.len()).expect("a shard has fewer than 2^32 values");
        self.indexes.insert(value.clone(), index);
        self.values.push(value.clone());
        index
    }
}

impl Serialize for ClaimShard {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut names = ValueInterner::new();
        let mut claimants = ValueInterner::new();
        let claims = self
            .0
            .iter()
            .map(|(key, record)| {
                (
                    key.key,
                    names.intern(&key.team),
                    names.intern(&key.route),
                    claimants.intern(&record.claimant),
                    record.attempt,
                    record.body_hash,
                    &record.state,
                )
            })
            .collect();
        let encoded = EncodedShard {
            names: names.values,
            claimants: claimants.values,
            claims,
        };
        encoded.serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for ClaimShard {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let encoded = EncodedShard::<ClaimState>::deserialize(deserializer)?;
        let invalid_index = || serde::de::Error::custom("a claim refers to a text that is missing");
        let name = |index: u32| encoded.names.get(index as usize).cloned();
        let claimant = |index: u32| encoded.claimants.get(index as usize).cloned();
        let mut claims = BTreeMap::new();
        for (key, team_index, route_index, claimant_index, attempt, body_hash, state) in
            encoded.claims
        {
            let key = ClaimKey {
                key,
                team: name(team_index).ok_or_else(invalid_index)?,
                route: name(route_index).ok_or_else(invalid_index)?,
            };
            let record = ClaimRecord {
                claimant: claimant(claimant_index).ok_or_else(invalid_index)?,
                attempt,
                body_hash,
                state,
            };
            claims.insert(key, record);
        }
        Ok(Self(claims))
    }
}
