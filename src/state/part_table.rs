use std::{cmp::Reverse, collections::BTreeMap};

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::{
    ids::Fingerprint,
    sync::{CompletedPart, CrashedPart, PartKind, SuspectPart, TargetCrash},
};

/// Number of crashes that no other part explains at which a part is blocked. Fewer hit parts that
/// merely ran there too.
const MIN_BLOCKING_CRASHES: usize = 3;
/// Number of crashes from which on all gateways are told of a part, so that those at which it
/// completes can say so.
const MIN_PUBLISHED_CRASHES: usize = 2;
/// Time from the publication to the block in milliseconds, in which gateways can clear a part. It
/// covers two syncs of a large fleet.
const VETO_MS: u64 = 1_500;
/// Time for which a complete answer shows that its parts are sound, in milliseconds.
const TRUST_MS: u64 = 10_000;
/// Duration of a block after the last of [`MIN_BLOCKING_CRASHES`] crashes, in milliseconds. Each
/// further crash doubles it.
const BLOCK_MS: u64 = 120_000;
/// Maximum duration of a block, in milliseconds.
const MAX_BLOCK_MS: u64 = 3_600 * 1_000;
/// Time for which evidence is kept after the last crash or the end of the block, in milliseconds.
const EVIDENCE_MS: u64 = 300_000;
/// Maximum number of parts. The oldest one with the fewest crashes yields.
const MAX_PARTS: usize = 2_000;
/// Maximum number of crashes stored per part.
const MAX_CRASHES: usize = 12;
/// Maximum number of parts that gateways are told of.
const MAX_PUBLISHED: usize = 100;

/// Parts of prompts that ran on targets when these crashed.
///
/// Each crash ends many requests, and all but one of them are sound. A part that crashes its targets
/// is in every such crash and never in a complete answer; the others are told from it by complete
/// answers, and by the crashes that it explains. See docs/design.md, section 10.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PartTable {
    parts: BTreeMap<Fingerprint, PartRecord>,
    /// Incremented by each change that gateways must receive.
    version: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct PartRecord {
    kind: PartKind,
    crashes: SmallVec<[PartCrash; 4]>,
    /// Number of requests with the part that the crashes ended.
    runs: u32,
    /// Time of the last known complete answer; 0 if there is none.
    completed_ms: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct PartCrash {
    crash: TargetCrash,
    at_ms: u64,
}

impl PartRecord {
    fn new(kind: PartKind) -> Self {
        Self {
            kind,
            crashes: SmallVec::new(),
            runs: 0,
            completed_ms: 0,
        }
    }

    /// Returns a key by which likelier causes come first: those in more crashes, then the rarer ones,
    /// since a common part runs beside the cause in most crashes, then whole requests.
    fn rank(&self) -> (Reverse<usize>, u32, PartKind) {
        (Reverse(self.crashes.len()), self.runs, self.kind)
    }

    fn last_ms(&self) -> u64 {
        self.crashes.last().map_or(0, |crash| crash.at_ms)
    }

    fn is_trusted(&self, now_ms: u64) -> bool {
        self.completed_ms > 0 && now_ms < self.completed_ms.saturating_add(TRUST_MS)
    }

    fn has_crash(&self, crash: &TargetCrash) -> bool {
        self.crashes.iter().any(|known| known.crash == *crash)
    }

    /// Returns when the block begins and ends if the part is the cause of its crashes.
    fn block(&self) -> Option<(u64, u64)> {
        let published = self.crashes.get(MIN_PUBLISHED_CRASHES - 1)?;
        let last = self.crashes.get(MIN_BLOCKING_CRASHES - 1)?;
        let starts_ms = last.at_ms.max(published.at_ms.saturating_add(VETO_MS));
        let doublings = self.crashes.len() - MIN_BLOCKING_CRASHES;
        let duration_ms = (BLOCK_MS << doublings).min(MAX_BLOCK_MS);
        Some((starts_ms, self.last_ms().saturating_add(duration_ms)))
    }

    fn expires_ms(&self) -> u64 {
        let ends_ms = self.block().map_or(0, |(_, ends_ms)| ends_ms);
        let kept_ms = self.last_ms().max(ends_ms).saturating_add(EVIDENCE_MS);
        let trusted_ms = self.completed_ms.saturating_add(TRUST_MS);
        if self.crashes.is_empty() {
            trusted_ms
        } else {
            kept_ms.max(trusted_ms)
        }
    }
}

impl PartTable {
    /// Records that requests with these parts had not got past the start of their answers when a
    /// target crashed.
    pub fn report(&mut self, now_ms: u64, crash: &TargetCrash, parts: &[CrashedPart]) {
        for CrashedPart { part, kind, runs } in parts {
            if !self.parts.contains_key(part) && self.parts.len() >= MAX_PARTS {
                self.remove_weakest();
            }
            let record = self.parts.entry(*part);
            let record = record.or_insert_with(|| PartRecord::new(*kind));
            if record.is_trusted(now_ms) {
                continue;
            }
            record.runs = record.runs.saturating_add(*runs);
            if record.has_crash(crash) || record.crashes.len() >= MAX_CRASHES {
                continue;
            }
            record.crashes.push(PartCrash {
                crash: crash.clone(),
                at_ms: now_ms,
            });
            if record.crashes.len() >= MIN_PUBLISHED_CRASHES {
                self.version += 1;
            }
        }
    }

    /// Records complete answers to requests with these parts, which clears the parts.
    pub fn clear(&mut self, now_ms: u64, completed: &[CompletedPart]) {
        for part in completed {
            let Some(record) = self.parts.get_mut(&part.part) else {
                continue;
            };
            let completed_ms = now_ms.saturating_sub(part.age_ms);
            record.completed_ms = record.completed_ms.max(completed_ms);
            if record.is_trusted(now_ms) {
                record.crashes.clear();
                record.runs = 0;
                self.version += 1;
            }
        }
    }

    /// Returns whether a complete answer changes the table: its part is known, and is not trusted for most
    /// of the usual time already.
    #[must_use]
    pub fn needs_completion(&self, completed: &CompletedPart, now_ms: u64) -> bool {
        self.parts.get(&completed.part).is_some_and(|record| {
            let completed_ms = now_ms.saturating_sub(completed.age_ms);
            !record.crashes.is_empty()
                || completed_ms >= record.completed_ms.saturating_add(TRUST_MS / 2)
        })
    }

    /// Removes parts without recent crashes or complete answers.
    pub fn expire(&mut self, now_ms: u64) {
        let known = self.parts.len();
        self.parts.retain(|_, record| record.expires_ms() > now_ms);
        if self.parts.len() < known {
            self.version += 1;
        }
    }

    fn remove_weakest(&mut self) {
        let weakest = self
            .parts
            .iter()
            .min_by_key(|(_, record)| (record.crashes.len(), record.last_ms()))
            .map(|(part, _)| *part);
        if let Some(part) = weakest {
            self.parts.remove(&part);
        }
    }

    /// Returns a version number that is incremented whenever [`Self::suspects`] may have changed.
    /// The begin and the end of a block do not increment it.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the parts that gateways are told of, those with the most crashes first.
    ///
    /// A part is blocked for crashes that no likelier cause explains: what comes together with a part
    /// that crashes targets is in the same crashes, but in no others, and runs without it too.
    #[must_use]
    pub fn suspects(&self, now_ms: u64) -> Vec<SuspectPart> {
        let mut records: Vec<_> = self
            .parts
            .iter()
            .filter(|(_, record)| record.crashes.len() >= MIN_PUBLISHED_CRASHES)
            .filter(|(_, record)| !record.is_trusted(now_ms))
            .collect();
        records.sort_by_key(|(part, record)| (record.rank(), **part));
        records.truncate(MAX_PUBLISHED);
        let mut causes: Vec<&PartRecord> = Vec::new();
        let mut suspects = Vec::with_capacity(records.len());
        for (part, record) in records {
            let likelier = causes.iter().copied();
            let likelier = likelier.filter(|cause| cause.rank() < record.rank());
            let likelier: SmallVec<[&PartRecord; 8]> = likelier.collect();
            let is_unexplained =
                |known: &&PartCrash| !likelier.iter().any(|cause| cause.has_crash(&known.crash));
            let unexplained = record.crashes.iter().filter(is_unexplained).count();
            let block = record
                .block()
                .filter(|_| unexplained >= MIN_BLOCKING_CRASHES);
            if block.is_some() {
                causes.push(record);
            }
            suspects.push(SuspectPart {
                part: *part,
                blocked_in_ms: block.map(|(starts_ms, _)| starts_ms.saturating_sub(now_ms)),
                blocked_for_ms: block.map_or(0, |(_, ends_ms)| ends_ms.saturating_sub(now_ms)),
            });
        }
        suspects
    }

    /// Returns the number of known parts.
    #[must_use]
    pub fn len(&self) -> usize {
        self.parts.len()
    }

    /// Returns whether no part is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }
}
