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

/// Age from which on a key is refused for ever, in milliseconds.
const RETENTION_MS: u64 = 24 * 3_600 * 1_000;
/// How far a key's timestamp may lie ahead of the state's time, in milliseconds; covers the clock
/// difference between callers and the leader.
const MAX_AHEAD_MS: u64 = 5 * 60 * 1_000;
/// Time that the keys of one shard span, in milliseconds. A full table has some 7,000 claims in
/// each, which are copied in a few milliseconds.
const SHARD_MS: u64 = 5 * 60 * 1_000;

/// Bounds of the claim table. They are the same in every voter of a release.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimLimits {
    /// Most claims in the table.
    pub max_claims: usize,
    /// Most bytes of recorded headers and bodies.
    pub max_recorded_bytes: usize,
}

impl Default for ClaimLimits {
    /// 2 million claims take about 300 MB, and the recorded responses 64 MiB more.
    fn default() -> Self {
        Self {
            max_claims: 2_000_000,
            max_recorded_bytes: 64 * 1024 * 1024,
        }
    }
}

/// Claims of idempotency keys and the responses of the requests that ran.
///
/// The claims lie in shards by the age of their keys. Shards are shared with clones of the table
/// and copied when they change, so that a clone for a snapshot takes little time at any size.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ClaimTable {
    shards: BTreeMap<u64, Arc<ClaimShard>>,
    len: usize,
    /// Claims that still run, for the loss of their claimant.
    open: BTreeMap<EntryKey, BTreeSet<ClaimKey>>,
    recorded_bytes: usize,
    /// No claim before this key has recorded bytes.
    first_recorded: Option<ClaimKey>,
    #[serde(skip)]
    limits: ClaimLimits,
}

impl ClaimTable {
    /// Creates an empty table with other bounds, for tests.
    #[must_use]
    pub fn with_limits(limits: ClaimLimits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Claims a key, at most once until it is released.
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
                // The attempt was released; its claimant has already answered its caller.
                ClaimState::Released if record.is_of(ticket) => return ClaimOutcome::InProgress,
                ClaimState::Released => {}
                _ if record.body_hash != request.body_hash => return ClaimOutcome::Reused,
                ClaimState::Open if record.is_of(ticket) => return ClaimOutcome::Granted,
                ClaimState::Open => return ClaimOutcome::InProgress,
                ClaimState::Recorded(response) => return ClaimOutcome::Recorded(response.clone()),
                ClaimState::Unknown => return ClaimOutcome::Unknown,
            },
        }
        self.insert(ticket, request.body_hash, ClaimState::Open);
        self.open
            .entry(ticket.claimant.clone())
            .or_default()
            .insert(ticket.key.clone());
        ClaimOutcome::Granted
    }

    /// Records the response of a claim, also when its outcome was given up as unknown before.
    pub fn complete(&mut self, ticket: &ClaimTicket, response: &RecordedResponse) {
        let can_end = |state: &ClaimState| matches!(state, ClaimState::Open | ClaimState::Unknown);
        let response = bounded(response);
        let size = response.size();
        if !self.end(ticket, can_end, ClaimState::Recorded(response)) || size == 0 {
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
            self.shrink_oldest();
        }
    }

    /// Frees a claim of which no byte was sent.
    pub fn release(&mut self, now_ms: u64, ticket: &ClaimTicket) {
        let is_open = |state: &ClaimState| *state == ClaimState::Open;
        // When the release overtook its claim, that must not be granted when it arrives.
        let is_early = self.get(&ticket.key).is_none()
            && self.len < self.limits.max_claims
            && key_age(&ticket.key.key, now_ms) == KeyAge::Valid;
        if is_early {
            self.insert(ticket, BodyHash::default(), ClaimState::Released);
        } else {
            self.end(ticket, is_open, ClaimState::Released);
        }
    }

    /// Ends a claim whose outcome is not known.
    pub fn abandon(&mut self, ticket: &ClaimTicket) {
        let is_open = |state: &ClaimState| *state == ClaimState::Open;
        self.end(ticket, is_open, ClaimState::Unknown);
    }

    /// Ends all open claims of a process that is gone.
    pub fn abandon_all(&mut self, claimant: &EntryKey) {
        for key in self.open.remove(claimant).unwrap_or_default() {
            if let Some(record) = self.get_mut(&key) {
                record.state = ClaimState::Unknown;
            }
        }
    }

    /// Drops the shards of which every key is older than the retention; such keys are refused by
    /// their age.
    pub fn expire(&mut self, now_ms: u64) {
        while let Some(first) = self.shards.first_entry()
            && (first.key() + 1) * SHARD_MS + RETENTION_MS <= now_ms
        {
            let shard = first.remove();
            self.len -= shard.0.len();
            for (key, record) in &shard.0 {
                self.recorded_bytes -= record.recorded_size();
                if record.state == ClaimState::Open {
                    self.forget_open(&record.claimant, key);
                }
            }
        }
    }

    /// Returns the number of claims.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Tells whether there is no claim.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the bytes of recorded headers and bodies.
    #[must_use]
    pub fn recorded_bytes(&self) -> usize {
        self.recorded_bytes
    }

    /// Returns the entry processes with open claims and the number of these.
    pub fn open_claim_counts(&self) -> impl Iterator<Item = (&EntryKey, usize)> {
        self.open
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
        let before = Arc::make_mut(shard).0.insert(ticket.key.clone(), record);
        self.len += usize::from(before.is_none());
    }

    /// Gives the claim of this attempt another state, if its present one allows that.
    fn end(
        &mut self,
        ticket: &ClaimTicket,
        can_end: impl Fn(&ClaimState) -> bool,
        state: ClaimState,
    ) -> bool {
        let can_end = |record: &ClaimRecord| record.is_of(ticket) && can_end(&record.state);
        if !self.get(&ticket.key).is_some_and(can_end) {
            return false;
        }
        if let Some(record) = self.get_mut(&ticket.key) {
            record.state = state;
        }
        self.forget_open(&ticket.claimant, &ticket.key);
        true
    }

    fn forget_open(&mut self, claimant: &EntryKey, key: &ClaimKey) {
        if let Some(keys) = self.open.get_mut(claimant) {
            keys.remove(key);
            if keys.is_empty() {
                self.open.remove(claimant);
            }
        }
    }

    /// Keeps only the status of the oldest recorded response.
    fn shrink_oldest(&mut self) {
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

/// Drops what exceeds the bounds of one response.
fn bounded(response: &RecordedResponse) -> RecordedResponse {
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

/// Time at which a key was made: its first 48 bits are the milliseconds since the Unix epoch.
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
        created if created > now_ms.saturating_add(MAX_AHEAD_MS) => KeyAge::Invalid,
        created if created.saturating_add(RETENTION_MS) <= now_ms => KeyAge::Expired,
        _ => KeyAge::Valid,
    }
}
