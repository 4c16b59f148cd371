use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use futures::StreamExt;
use serde::{Deserialize, Serialize};
use tokio::io::AsyncRead;
use tokio_util::io::StreamReader;

/// Faults that a stand-in commits on demand; set with `PUT /fake/v1/faults`, for tests only.
///
/// Counts go down by one with each request that the fault hits.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// The process aborts when a prompt or body contains this text.
    pub crash_on: Option<String>,
    /// With `crash_on`, the process aborts after this many tokens rather than at once.
    pub crash_after_tokens: u64,
    /// Streams that end without their end mark.
    pub cuts: u32,
    /// Tokens that a cut stream carries.
    pub cut_after_tokens: u64,
    /// Streams that stop without an end.
    pub stalls: u32,
    /// Tokens that a stalled stream carries.
    pub stall_after_tokens: u64,
    /// Responses that carry another request's id.
    pub wrong_ids: u32,
    /// Requests that are refused before they start.
    pub refusals: u32,
    /// Responses whose body is shorter than their length.
    pub short_bodies: u32,
    /// Delay of each response in milliseconds.
    pub late_ms: u64,
}

/// The faults that are left to commit.
#[derive(Clone, Debug, Default)]
pub struct FaultPlan(Arc<Mutex<Faults>>);

/// How a stream ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamFault {
    /// It ends without its end mark after this many tokens.
    Cut(u64),
    /// It stops without an end after this many tokens.
    Stall(u64),
    /// The process aborts after this many tokens.
    Crash(u64),
}

impl FaultPlan {
    /// Replaces all faults.
    pub fn set(&self, faults: Faults) {
        *self.lock() = faults;
    }

    /// Returns the faults that are left.
    pub fn get(&self) -> Faults {
        self.lock().clone()
    }

    /// Aborts the process when `text` is marked and the crash is due at once.
    pub fn crash_at_once(&self, text: &str) {
        if self.crash_due(text) == Some(0) {
            std::process::abort();
        }
    }

    /// Takes the fault of a stream for the prompt `text`. Only crashes hit resumed streams, since
    /// cuts and stalls are faults of an engine and crashes are faults of a prompt.
    pub fn take_stream_fault(&self, text: &str, resumed_at: Option<u64>) -> Option<StreamFault> {
        if let Some(tokens) = self.crash_due(text) {
            return Some(StreamFault::Crash(tokens));
        }
        if resumed_at.is_some() {
            return None;
        }
        let mut faults = self.lock();
        let faults = &mut *faults;
        if take(&mut faults.cuts) {
            return Some(StreamFault::Cut(faults.cut_after_tokens));
        }
        take(&mut faults.stalls).then_some(StreamFault::Stall(faults.stall_after_tokens))
    }

    /// Whether the next response carries another request's id.
    pub fn take_wrong_id(&self) -> bool {
        take(&mut self.lock().wrong_ids)
    }

    /// Whether the next request is refused.
    pub fn take_refusal(&self) -> bool {
        take(&mut self.lock().refusals)
    }

    /// Whether the next body is short.
    pub fn take_short_body(&self) -> bool {
        take(&mut self.lock().short_bodies)
    }

    /// Delay of each response in milliseconds.
    pub fn late_ms(&self) -> u64 {
        self.lock().late_ms
    }

    fn crash_due(&self, text: &str) -> Option<u64> {
        let faults = self.lock();
        let marker = faults.crash_on.as_ref()?;
        text.contains(marker.as_str())
            .then_some(faults.crash_after_tokens)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Faults> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn take(count: &mut u32) -> bool {
    let is_left = *count > 0;
    *count = count.saturating_sub(1);
    is_left
}

/// A body that ends a moment after `text`, so that the head is sent before the server notices that
/// the body is shorter than its length.
pub fn cut_body(text: String) -> impl AsyncRead + Send {
    let first = futures::stream::once(async { Ok::<_, std::io::Error>(Bytes::from(text)) });
    let end = futures::stream::once(async {
        tokio::time::sleep(Duration::from_millis(20)).await;
        Ok(Bytes::new())
    });
    StreamReader::new(first.chain(end).boxed())
}
