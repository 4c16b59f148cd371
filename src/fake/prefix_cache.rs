use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

/// Bytes of a prompt that one block covers, which is 16 tokens.
pub const BLOCK_BYTES: usize = 64;
/// Events that are kept for readers; older ones are lost, which readers see as a gap.
const KEPT_EVENTS: usize = 10_000;

/// A change of the prefix cache, at `GET /engine/v1/events`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Grows by one with each event; a gap means that events were lost.
    pub sequence: u64,
    /// Whether the block was stored or evicted.
    pub kind: CacheEventKind,
    /// Model of the block.
    pub model: String,
    /// Hash of the prompt up to the end of the block.
    pub block: String,
}

/// What happened to a block.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEventKind {
    /// The block can be reused.
    Stored,
    /// The block is gone.
    Evicted,
}

type BlockKey = (String, String);

/// Prompt prefixes that an engine holds in limited memory; the least recently used go first.
pub struct PrefixCache {
    capacity: usize,
    delay: Duration,
    gap: u64,
    clock: u64,
    blocks: HashMap<BlockKey, u64>,
    events: VecDeque<(Instant, CacheEvent)>,
    sequence: u64,
}

impl PrefixCache {
    pub fn new(capacity: usize, delay: Duration, gap: u64) -> Self {
        Self {
            capacity,
            delay,
            gap,
            clock: 0,
            blocks: HashMap::new(),
            events: VecDeque::new(),
            sequence: 0,
        }
    }

    /// Runs a prompt through the cache and returns the number of its bytes that were held.
    pub fn use_prompt(&mut self, model: &str, prompt: &str) -> usize {
        let mut hasher = blake3::Hasher::new();
        let mut held = 0;
        let mut is_prefix = true;
        for block in prompt.as_bytes().chunks_exact(BLOCK_BYTES) {
            hasher.update(block);
            let hash = hasher.finalize().to_hex()[..16].to_owned();
            let key = (model.to_owned(), hash);
            self.clock += 1;
            let known = self.blocks.insert(key.clone(), self.clock).is_some();
            is_prefix &= known;
            if is_prefix {
                held += BLOCK_BYTES;
            }
            if !known {
                self.publish(CacheEventKind::Stored, key);
                self.evict();
            }
        }
        held
    }

    /// Returns the published events after number `after`.
    pub fn events(&self, after: u64) -> Vec<CacheEvent> {
        self.events
            .iter()
            .filter(|(at, event)| event.sequence > after && at.elapsed() >= self.delay)
            .map(|(_, event)| event.clone())
            .collect()
    }

    fn evict(&mut self) {
        if self.blocks.len() <= self.capacity {
            return;
        }
        let oldest = self
            .blocks
            .iter()
            .min_by_key(|(_, used)| **used)
            .map(|(key, _)| key.clone());
        if let Some(key) = oldest {
            self.blocks.remove(&key);
            self.publish(CacheEventKind::Evicted, key);
        }
    }

    fn publish(&mut self, kind: CacheEventKind, (model, block): BlockKey) {
        self.sequence += 1;
        if self.gap > 0 && self.sequence.is_multiple_of(self.gap) {
            return;
        }
        let event = CacheEvent {
            sequence: self.sequence,
            kind,
            model,
            block,
        };
        self.events.push_back((Instant::now(), event));
        if self.events.len() > KEPT_EVENTS {
            self.events.pop_front();
        }
    }
}
