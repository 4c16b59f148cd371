use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use serde::{Deserialize, Serialize};

use super::{
    ClaimKey, ClaimOutcome, ClaimRequest, ClaimTicket, RecordedResponse,
    claim_shard::{ClaimRecord, ClaimShard, ClaimState},
};
use crate::ids::{BodyHash, EntryKey, IdempotencyKey};

/// Age at which a key expires permanently, in milliseconds.
const RETENTION_MS: u64 = 24 * 3_600 * 1_000;
/// Maximum time by which a key's timestamp may be ahead of the state's time, in milliseconds.
/// Allows for clock skew between callers and the leader.
const MAX_CLOCK_SKEW_MS: u64 = 5 * 60 * 1_000;
/// Time span of the keys in one shard, in milliseconds. In a full table a shard has about 7,000
/// claims, which are copied in a few milliseconds.
const SHARD_MS: u64 = 5 * 60 * 1_000;

/// Limits of the claim table. All voters of a release use the same limits, since the result of a
/// command depends on them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimLimits {
    /// Maximum number of claims in the table.
    pub max_claims: usize,
    /// Maximum total size of recorded headers and bodies, in bytes.
    pub max_recorded_bytes: usize,
}

impl Default for ClaimLimits {
    /// Returns the production limits: 2 million claims take about 300 MB, and recorded responses up
    /// to 64 MiB more.
    fn default() -> Self {
        Self {
            max_claims: 2_000_000,
            max_recorded_bytes: 64 * 1024 * 1024,
        }
    }
}

/// Claims of idempotency keys and the responses of the requests that ran.
///
/// Claims are sharded by the creation time of their keys. Shards are copy-on-write and shared with
/// clones of the table, so cloning it for a snapshot is fast at any size.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ClaimTable {
    shards: BTreeMap<u64, Arc<ClaimShard>>,
    len: usize,
    /// Keys of open claims by claimant, used when a claimant terminates.
    #[serde(rename = "open")]
    open_claims: BTreeMap<EntryKey, BTreeSet<ClaimKey>>,
    recorded_bytes: usize,
    /// Lower bound of the claims with recorded headers or body; earlier claims have none.
    first_recorded: Option<ClaimKey>,
    #[serde(skip)]
    limits: ClaimLimits,
}

impl ClaimTable {
    /// Creates an empty table with the given limits, for tests.
    #[must_use]
    pub fn with_limits(limits: ClaimLimits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Claims a key. Only one attempt is granted until that attempt is released.
    pub fn claim(&mut self, now_ms: u64, request: &ClaimRequest) -> ClaimOutcome {
        let ticket = &request.ticket;
        match key_age(&ticket.key.key, now_ms) {
            KeyAge::Invalid => return ClaimOutcome::Invalid,
            KeyAge::Expired => return ClaimOutcome::Expired,
            KeyAge::Valid => {}
        }
        match self.get(&ticket.key) {
            None if self.len >= self.limits.max_claims => return ClaimOutcome::TableFull,
            None => {}
            Some(record) => match &record.state {
                // The claimant released this attempt and has already responded to its caller.
                ClaimState::Released if record.matches(ticket) => return ClaimOutcome::InProgress,
                ClaimState::Released => {}
                _ if record.body_hash != request.body_hash => return ClaimOutcome::Reused,
                ClaimState::Open if record.matches(ticket) => return ClaimOutcome::Granted,
                ClaimState::Open => return ClaimOutcome::InProgress,
                ClaimState::Recorded(response) => return ClaimOutcome::Recorded(response.clone()),
                ClaimState::Unknown => return ClaimOutcome::Unknown,
            },
        }
        self.insert(ticket, request.body_hash, ClaimState::Open);
        self.open_claims
            .entry(ticket.claimant.clone())
            .or_default()
            .insert(ticket.key.clone());
        ClaimOutcome::Granted
    }

    /// Records the response of a claim, also if the claim's outcome was unknown until now.
    pub fn complete(&mut self, ticket: &ClaimTicket, response: &RecordedResponse) {
        let is_unfinished =
            |state: &ClaimState| matches!(state, ClaimState::Open | ClaimState::Unknown);
        let response = limit_size(response);
        let size = response.size();
        if !self.transition(ticket, is_unfinished, ClaimState::Recorded(response)) || size == 0 {
            return;
        }
        self.recorded_bytes += size;
        if self
            .first_recorded
            .as_ref()
            .is_none_or(|first| ticket.key < *first)
        {
            self.first_recorded = Some(ticket.key.clone());
        }
        while self.recorded_bytes > self.limits.max_recorded_bytes && self.first_recorded.is_some()
        {
            self.discard_oldest_content();
        }
    }

    /// Releases a claim whose request was not sent at all.
    pub fn release(&mut self, now_ms: u64, ticket: &ClaimTicket) {
        let is_open = |state: &ClaimState| *state == ClaimState::Open;
        // The release may be applied before its claim, which must then not be granted.
        let is_before_claim = self.get(&ticket.key).is_none()
            && self.len < self.limits.max_claims
            && key_age(&ticket.key.key, now_ms) == KeyAge::Valid;
        if is_before_claim {
            self.insert(ticket, BodyHash::default(), ClaimState::Released);
        } else {
            self.transition(ticket, is_open, ClaimState::Released);
        }
    }

    /// Marks the outcome of an open claim as unknown.
    pub fn abandon(&mut self, ticket: &ClaimTicket) {
        let is_open = |state: &ClaimState| *state == ClaimState::Open;
        self.transition(ticket, is_open, ClaimState::Unknown);
    }

    /// Marks the outcome of all open claims of a terminated entry process as unknown.
    pub fn abandon_all(&mut self, claimant: &EntryKey) {
        for key in self.open_claims.remove(claimant).unwrap_or_default() {
            if let Some(record) = self.get_mut(&key) {
                record.state = ClaimState::Unknown;
            }
        }
    }

    /// Removes the shards in which every key is older than the retention period. Claims of such
    /// keys are refused because of their age.
    pub fn expire(&mut self, now_ms: u64) {
        while let Some(first) = self.shards.first_entry()
            && (first.key() + 1) * SHARD_MS + RETENTION_MS <= now_ms
        {
            let shard = first.remove();
            self.len -= shard.0.len();
            for (key, record) in &shard.0 {
                self.recorded_bytes -= record.recorded_size();
                if record.state == ClaimState::Open {
                    self.remove_open(&record.claimant, key);
                }
            }
        }
    }

    /// Returns the number of claims.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether the table has no claims.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the total size of recorded headers and bodies in bytes.
    #[must_use]
    pub fn recorded_bytes(&self) -> usize {
        self.recorded_bytes
    }

    /// Returns the number of open claims of each entry process that has any.
    pub fn open_claim_counts(&self) -> impl Iterator<Item = (&EntryKey, usize)> {
        self.open_claims
            .iter()
            .map(|(claimant, keys)| (claimant, keys.len()))
    }

    fn get(&self, key: &ClaimKey) -> Option<&ClaimRecord> {
        self.shards.get(&shard_number(key))?.0.get(key)
    }

    fn get_mut(&mut self, key: &ClaimKey) -> Option<&mut ClaimRecord> {
        let shard = self.shards.get_mut(&shard_number(key))?;
        Arc::make_mut(shard).0.get_mut(key)
    }

    fn insert(&mut self, ticket: &ClaimTicket, body_hash: BodyHash, state: ClaimState) {
        let record = ClaimRecord {
            claimant: ticket.claimant.clone(),
            attempt: ticket.attempt,
            body_hash,
            state,
        };
        let shard = self.shards.entry(shard_number(&ticket.key)).or_default();
        let previous = Arc::make_mut(shard).0.insert(ticket.key.clone(), record);
        self.len += usize::from(previous.is_none());
    }

    /// Changes the state of this attempt's claim if its present state permits the change. Returns
    /// whether the state was changed.
    fn transition(
        &mut self,
        ticket: &ClaimTicket,
        is_permitted: impl Fn(&ClaimState) -> bool,
        state: ClaimState,
    ) -> bool {
        let is_permitted =
            |record: &ClaimRecord| record.matches(ticket) && is_permitted(&record.state);
        if !self.get(&ticket.key).is_some_and(is_permitted) {
            return false;
        }
        if let Some(record) = self.get_mut(&ticket.key) {
            record.state = state;
        }
        self.remove_open(&ticket.claimant, &ticket.key);
        true
    }

    fn remove_open(&mut self, claimant: &EntryKey, key: &ClaimKey) {
        if let Some(keys) = self.open_claims.get_mut(claimant) {
            keys.remove(key);
            if keys.is_empty() {
                self.open_claims.remove(claimant);
            }
        }
    }

    /// Discards the headers and body of the oldest recorded response and keeps its status.
    fn discard_oldest_content(&mut self) {
        let Some(first) = self.first_recorded.take() else {
            return;
        };
        let shards = self.shards.range(shard_number(&first)..);
        let mut recorded = shards
            .flat_map(|(_, shard)| shard.0.range(&first..))
            .filter(|(_, record)| record.recorded_size() > 0)
            .map(|(key, record)| (key.clone(), record.recorded_size()));
        let oldest = recorded.next();
        self.first_recorded = recorded.next().map(|(key, _)| key);
        let Some((key, size)) = oldest else {
            return;
        };
        self.recorded_bytes -= size;
        if let Some(record) = self.get_mut(&key)
            && let ClaimState::Recorded(response) = &mut record.state
        {
            response.headers = Vec::new();
            response.body = None;
        }
    }
}

/// Omits the headers or the body where they exceed the limits of one response.
fn limit_size(response: &RecordedResponse) -> RecordedResponse {
    let mut response = response.clone();
    if response.header_size() > RecordedResponse::MAX_HEADER_BYTES {
        response.headers = Vec::new();
    }
    if response
        .body
        .as_ref()
        .is_some_and(|body| body.len() > RecordedResponse::MAX_BODY_BYTES)
    {
        response.body = None;
    }
    response
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum KeyAge {
    Valid,
    Expired,
    Invalid,
}

/// Returns the creation time of a key, which a UUID of version 7 has in its first 48 bits as
/// milliseconds since the Unix epoch.
fn created_ms(key: &IdempotencyKey) -> u64 {
    key.as_u64_pair().0 >> 16
}

fn shard_number(key: &ClaimKey) -> u64 {
    created_ms(&key.key) / SHARD_MS
}

fn key_age(key: &IdempotencyKey, now_ms: u64) -> KeyAge {
    let is_v7 = key.get_version_num() == 7 && key.get_variant() == uuid::Variant::RFC4122;
    match created_ms(key) {
        _ if !is_v7 => KeyAge::Invalid,
        created if created > now_ms.saturating_add(MAX_CLOCK_SKEW_MS) => KeyAge::Invalid,
        created if created.saturating_add(RETENTION_MS) <= now_ms => KeyAge::Expired,
        _ => KeyAge::Valid,
    }
}
