use std::collections::{BTreeMap, HashMap};

use compact_str::CompactString;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use super::{ClaimKey, ClaimTicket, RecordedResponse};
use crate::ids::{Attempt, BodyHash, EntryKey, IdempotencyKey};

/// One claim.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct ClaimRecord {
    pub(super) claimant: EntryKey,
    pub(super) attempt: Attempt,
    pub(super) body_hash: BodyHash,
    pub(super) state: ClaimState,
}

impl ClaimRecord {
    pub(super) fn is_of(&self, ticket: &ClaimTicket) -> bool {
        self.claimant == ticket.claimant && self.attempt == ticket.attempt
    }

    /// Returns the bytes that the recorded response takes.
    pub(super) fn recorded_size(&self) -> usize {
        match &self.state {
            ClaimState::Recorded(response) => response.size(),
            _ => 0,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) enum ClaimState {
    /// The request may be running.
    Open,
    /// No byte was sent. The record stays, so that a late copy of the released attempt's claim is
    /// not granted again.
    Released,
    /// The request ran.
    Recorded(RecordedResponse),
    /// The request may have run.
    Unknown,
}

/// Claims whose keys were made in the same few minutes.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct ClaimShard(pub(super) BTreeMap<ClaimKey, ClaimRecord>);

/// Encoding of a shard. Texts that most claims share are written once, which halves a snapshot.
#[derive(Serialize, Deserialize)]
struct EncodedShard<S> {
    names: Vec<CompactString>,
    claimants: Vec<EntryKey>,
    claims: Vec<EncodedClaim<S>>,
}

/// Key, index of team and of route, index of claimant, attempt, body hash and state.
type EncodedClaim<S> = (IdempotencyKey, u32, u32, u32, Attempt, BodyHash, S);

/// Numbers values in the order of their first use.
struct Numbering<T> {
    numbers: HashMap<T, u32>,
    values: Vec<T>,
}

impl<T: Clone + Eq + std::hash::Hash> Numbering<T> {
    fn new() -> Self {
        Self {
            numbers: HashMap::new(),
            values: Vec::new(),
        }
    }

    fn number(&mut self, value: &T) -> u32 {
        if let Some(number) = self.numbers.get(value) {
            return *number;
        }
        let number = u32::try_from(self.values.len()).expect("a shard has fewer claims than u32");
        self.numbers.insert(value.clone(), number);
        self.values.push(value.clone());
        number
    }
}

impl Serialize for ClaimShard {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut names = Numbering::new();
        let mut claimants = Numbering::new();
        let claims = self
            .0
            .iter()
            .map(|(key, record)| {
                (
                    key.key,
                    names.number(&key.team),
                    names.number(&key.route),
                    claimants.number(&record.claimant),
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
        let unknown = || serde::de::Error::custom("a claim refers to a text that is missing");
        let name = |index: u32| encoded.names.get(index as usize).cloned();
        let claimant = |index: u32| encoded.claimants.get(index as usize).cloned();
        let mut claims = BTreeMap::new();
        for (key, team, route, holder, attempt, body_hash, state) in encoded.claims {
            let key = ClaimKey {
                key,
                team: name(team).ok_or_else(unknown)?,
                route: name(route).ok_or_else(unknown)?,
            };
            let record = ClaimRecord {
                claimant: claimant(holder).ok_or_else(unknown)?,
                attempt,
                body_hash,
                state,
            };
            claims.insert(key, record);
        }
        Ok(Self(claims))
    }
}
