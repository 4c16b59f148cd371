use std::{collections::HashMap, time::Duration};

use crate::ids::TargetId;

/// Time after which an attempt that no target has answered is suspicious. Round trips take a few
/// milliseconds, and the events of running streams come several times within it.
const SUSPICION_TIME: Duration = Duration::from_millis(300);
/// Number of targets that must have been tried; one alone may be lost by itself.
const MIN_TRIED_TARGETS: usize = 2;

/// Watch over the links of a gateway to all targets together; see docs/design/stranded.md.
///
/// Attempts that stay unanswered raise a suspicion. Only connection attempts that fail then confirm it.
#[derive(Debug, Default)]
pub struct LinkWatch {
    heard_at: Duration,
    /// When each target was first tried after any was last heard.
    tried: HashMap<TargetId, Duration>,
    /// When the links were lost.
    lost_at: Option<Duration>,
}

/// Loss of all links.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkLoss {
    /// Number of targets that were tried without an answer.
    pub tried: usize,
    /// Time since a target was last heard.
    pub silence: Duration,
}

impl LinkWatch {
    /// Creates a watch over links that work.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a request or a connection to a target begins.
    pub fn record_attempt(&mut self, target: &TargetId, now: Duration) {
        if !self.tried.contains_key(target) {
            self.tried.insert(target.clone(), now);
        }
    }

    /// Records that a target was heard. Returns how long the links were lost if they were.
    pub fn record_heard(&mut self, now: Duration) -> Option<Duration> {
        self.heard_at = now;
        self.tried.clear();
        let lost_at = self.lost_at.take()?;
        Some(now.saturating_sub(lost_at))
    }

    /// Returns whether the links may be lost, given the number of known targets.
    #[must_use]
    pub fn is_suspicious(&self, known: usize, now: Duration) -> bool {
        let is_due = |at: &&Duration| now.saturating_sub(**at) >= SUSPICION_TIME;
        let unanswered = self.tried.values().filter(is_due).count();
        unanswered >= MIN_TRIED_TARGETS.min(known).max(1)
    }

    /// Records that connection attempts to several targets have failed. Returns the loss if it begins now;
    /// a target that was heard meanwhile disproves it.
    pub fn record_unreachable(&mut self, known: usize, now: Duration) -> Option<LinkLoss> {
        if self.lost_at.is_some() || !self.is_suspicious(known, now) {
            return None;
        }
        self.lost_at = Some(now);
        Some(LinkLoss {
            tried: self.tried.len(),
            silence: now.saturating_sub(self.heard_at),
        })
    }

    /// Returns whether all links are lost.
    #[must_use]
    pub fn is_cut_off(&self) -> bool {
        self.lost_at.is_some()
    }
}
