use std::{collections::VecDeque, time::Duration};

/// Prompts that are cached per engine.
const CACHED_PREFIXES: usize = 12;
pub const SLOTS: u32 = 16;
const PREFILL_MS_PER_TOKEN: f64 = 0.06;
const DECODE_MS: f64 = 2200.0;
/// Prompt: a shared prefix and a part of its own.
pub const PREFIX_TOKENS: u32 = 4000;
pub const OWN_TOKENS: u32 = 200;

/// A stand-in engine: requests wait for a slot, prompts are processed one at a time, and output is
/// slowed down by a full batch.
pub struct Engine {
    pub slowdown: f64,
    pub running: u32,
    pub queue: VecDeque<usize>,
    prefill_free_at: Duration,
    /// Prefixes by last use, the latest last.
    cache: VecDeque<usize>,
}

/// What came of starting a request.
pub struct Started {
    pub first_byte: Duration,
    pub end: Duration,
    pub cached_tokens: u32,
}

impl Engine {
    pub fn new(slowdown: f64) -> Self {
        Self {
            slowdown,
            running: 0,
            queue: VecDeque::new(),
            prefill_free_at: Duration::ZERO,
            cache: VecDeque::new(),
        }
    }

    pub fn load(&self) -> u32 {
        self.running + u32::try_from(self.queue.len()).unwrap()
    }

    pub fn start(&mut self, prefix: usize, now: Duration) -> Started {
        self.running += 1;
        let known = self.cache.iter().position(|cached| *cached == prefix);
        if let Some(place) = known {
            self.cache.remove(place);
        } else if self.cache.len() == CACHED_PREFIXES {
            self.cache.pop_front();
        }
        self.cache.push_back(prefix);
        let cached_tokens = if known.is_some() { PREFIX_TOKENS } else { 0 };
        let tokens = f64::from(PREFIX_TOKENS + OWN_TOKENS - cached_tokens);
        let prefill =
            Duration::from_secs_f64(tokens * PREFILL_MS_PER_TOKEN * self.slowdown / 1000.0);
        let first_byte = self.prefill_free_at.max(now) + prefill;
        self.prefill_free_at = first_byte;
        let batch = 1.0 + 0.5 * f64::from(self.running) / f64::from(SLOTS);
        let decode = Duration::from_secs_f64(DECODE_MS * batch * self.slowdown / 1000.0);
        Started {
            first_byte,
            end: first_byte + decode,
            cached_tokens,
        }
    }
}
