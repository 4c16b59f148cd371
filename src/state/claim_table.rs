use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::{ClaimKey, ClaimOutcome, ClaimRequest, ClaimTicket, RecordedResponse};
use crate::ids::{Attempt, BodyHash, EntryKey, IdempotencyKey};

/// Age from which on a key is refused for ever, in milliseconds.
const RETENTION_MS: u64 = 24 * 3_600 * 1_000;
/// How far a key's timestamp may lie ahead of the state's time, in milliseconds; covers the clock
/// difference between callers and the leader.
const MAX_AHEAD_MS: u64 = 5 * 60 * 1_000;

/// Bounds of the claim table. They are the same in every voter of a release.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimLimits {
    /// Most claims in the table.
    pub claims: usize,
    /// Most bytes of recorded headers and bodies.
    pub recorded_bytes: usize,
}

impl Default for ClaimLimits {
    /// 2 million claims take about 300 MB, and the recorded responses 64 MiB more.
    fn default() -> Self {
        Self {
            claims: 2_000_000,
            recorded_bytes: 64 * 1024 * 1024,
        }
    }
}

/// Claims of idempotency keys and the responses of the requests that ran.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ClaimTable {
    /// Sorted by age, since the key's timestamp comes first.
    claims: BTreeMap<ClaimKey, ClaimRecord>,
    /// Claims that still run, for the loss of their claimant.
    open: BTreeMap<EntryKey, BTreeSet<ClaimKey>>,
    /// Claims whose response takes recorded bytes.
    recorded: BTreeSet<ClaimKey>,
    recorded_bytes: usize,
    #[serde(skip)]
    limits: ClaimLimits,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct ClaimRecord {
    claimant: EntryKey,
    attempt: Attempt,
    body_hash: BodyHash,
    state: ClaimState,
}

impl ClaimRecord {
    fn is_of(&self, ticket: &ClaimTicket) -> bool {
        self.claimant == ticket.claimant && self.attempt == ticket.attempt
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum ClaimState {
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
        let is_full = self.claims.len() >= self.limits.claims;
        match self.claims.get(&ticket.key) {
            None if is_full => return ClaimOutcome::TableFull,
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
        let Some(record) = self.claims.get_mut(&ticket.key) else {
            return;
        };
        if !record.is_of(ticket) || !matches!(record.state, ClaimState::Open | ClaimState::Unknown)
        {
            return;
        }
        let response = bounded(response);
        let size = response.size();
        record.state = ClaimState::Recorded(response);
        self.close(ticket);
        if size > 0 {
            self.recorded.insert(ticket.key.clone());
            self.recorded_bytes += size;
        }
        while self.recorded_bytes > self.limits.recorded_bytes {
            self.shrink_oldest();
        }
    }

    /// Frees a claim of which no byte was sent.
    pub fn release(&mut self, now_ms: u64, ticket: &ClaimTicket) {
        let is_full = self.claims.len() >= self.limits.claims;
        match self.claims.get_mut(&ticket.key) {
            Some(record) if record.is_of(ticket) && record.state == ClaimState::Open => {
                record.state = ClaimState::Released;
                self.close(ticket);
            }
            // The release overtook its claim, which must not be granted when it arrives.
            None if !is_full && key_age(&ticket.key.key, now_ms) == KeyAge::Valid => {
                self.insert(ticket, BodyHash::default(), ClaimState::Released);
            }
            _ => {}
        }
    }

    /// Ends a claim whose outcome is not known.
    pub fn abandon(&mut self, ticket: &ClaimTicket) {
        if let Some(record) = self.claims.get_mut(&ticket.key)
            && record.is_of(ticket)
            && record.state == ClaimState::Open
        {
            record.state = ClaimState::Unknown;
            self.close(ticket);
        }
    }

    /// Ends all open claims of a process that is gone.
    pub fn lose_claimant(&mut self, claimant: &EntryKey) {
        for key in self.open.remove(claimant).unwrap_or_default() {
            if let Some(record) = self.claims.get_mut(&key) {
                record.state = ClaimState::Unknown;
            }
        }
    }

    /// Drops claims whose keys are older than the retention; such keys are refused by their age.
    pub fn expire(&mut self, now_ms: u64) {
        while let Some(first) = self.claims.first_entry()
            && key_age(&first.key().key, now_ms) == KeyAge::Expired
        {
            let (key, record) = first.remove_entry();
            match record.state {
                ClaimState::Open => self.forget_open(&record.claimant, &key),
                ClaimState::Recorded(response) if self.recorded.remove(&key) => {
                    self.recorded_bytes -= response.size();
                }
                _ => {}
            }
        }
    }

    /// Returns the number of claims.
    #[must_use]
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Tells whether there is no claim.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Returns the bytes of recorded headers and bodies.
    #[must_use]
    pub fn recorded_bytes(&self) -> usize {
        self.recorded_bytes
    }

    /// Returns the entry processes with open claims and the number of these.
    pub fn open_claimants(&self) -> impl Iterator<Item = (&EntryKey, usize)> {
        self.open
            .iter()
            .map(|(claimant, keys)| (claimant, keys.len()))
    }

    fn insert(&mut self, ticket: &ClaimTicket, body_hash: BodyHash, state: ClaimState) {
        let record = ClaimRecord {
            claimant: ticket.claimant.clone(),
            attempt: ticket.attempt,
            body_hash,
            state,
        };
        self.claims.insert(ticket.key.clone(), record);
    }

    fn close(&mut self, ticket: &ClaimTicket) {
        self.forget_open(&ticket.claimant, &ticket.key);
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
        let oldest = self.recorded.pop_first();
        let record = oldest.and_then(|key| self.claims.get_mut(&key));
        if let Some(ClaimRecord {
            state: ClaimState::Recorded(response),
            ..
        }) = record
        {
            self.recorded_bytes -= response.size();
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

fn key_age(key: &IdempotencyKey, now_ms: u64) -> KeyAge {
    let is_v7 = key.get_version_num() == 7 && key.get_variant() == uuid::Variant::RFC4122;
    // The first 48 bits are the milliseconds since the Unix epoch.
    let created_ms = key.as_u64_pair().0 >> 16;
    match created_ms {
        _ if !is_v7 => KeyAge::Invalid,
        created if created > now_ms.saturating_add(MAX_AHEAD_MS) => KeyAge::Invalid,
        created if created.saturating_add(RETENTION_MS) <= now_ms => KeyAge::Expired,
        _ => KeyAge::Valid,
    }
}
