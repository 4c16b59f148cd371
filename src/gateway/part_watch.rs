use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use crate::{
    ids::{Fingerprint, TargetId, VmId},
    sync::{
        CompletedPart, CrashEvidence, CrashedPart, PartKind, PartSection, SuspectPart, TargetCrash,
    },
};

/// Time for which a complete answer shows that its parts are sound; as in the table of the log.
const TRUST_TIME: Duration = Duration::from_secs(10);
/// Minimum interval at which complete answers with a suspect part are reported again.
const CLEAR_INTERVAL: Duration = Duration::from_millis(2_500);
/// Maximum number of parts with complete answers that are remembered. The oldest yield.
const MAX_COMPLETED: usize = 8_192;
/// Maximum number of parts in the evidence of one crash. Requests that broke first come first.
const MAX_CRASHED: usize = 96;
/// Maximum number of crashes that wait to be reported. The oldest yield.
const MAX_EVIDENCE: usize = 32;
/// Time over which the gateways' blocks end one after the other. The first requests that crash a
/// target again then renew the block before other gateways send such requests too.
const RELEASE_SPREAD: Duration = Duration::from_secs(20);

/// Parts of a request that a crash may be due to.
pub type RequestParts = smallvec::SmallVec<[(Fingerprint, PartKind); 4]>;

/// A gateway's view of the parts that crash targets: what it has seen itself and what the leader
/// told it. It does no network I/O; see docs/design.md, section 10.
#[derive(Debug)]
pub struct PartWatch {
    /// Share of [`RELEASE_SPREAD`] after which this gateway's blocks end.
    release_share: f64,
    /// Parts of broken requests by target, until it is known whether the target is down.
    broken: HashMap<TargetId, CrashEvidence>,
    evidence: VecDeque<CrashEvidence>,
    completed: HashMap<Fingerprint, PartCompletion>,
    suspects: HashMap<Fingerprint, BlockPeriod>,
    version: u64,
}

#[derive(Clone, Copy, Debug)]
struct PartCompletion {
    at: Duration,
    reported_at: Option<Duration>,
}

/// When a suspect part is blocked; `None` while it may run.
type BlockPeriod = Option<(Duration, Duration)>;

/// What a gateway tells the leader about parts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PartReport {
    /// Crashes since the last report.
    pub crashes: Vec<CrashEvidence>,
    /// Suspect parts with complete answers.
    pub completed: Vec<CompletedPart>,
}

impl PartWatch {
    /// Creates the watch of a gateway on a VM.
    #[must_use]
    pub fn new(vm: &VmId) -> Self {
        Self {
            release_share: f64::from(crc32fast::hash(vm.as_bytes())) / f64::from(u32::MAX),
            broken: HashMap::new(),
            evidence: VecDeque::new(),
            completed: HashMap::new(),
            suspects: HashMap::new(),
            version: 0,
        }
    }

    /// Returns the version of the leader's suspects.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns whether a request with these parts must not run.
    #[must_use]
    pub fn is_blocked(&self, parts: &RequestParts, now: Duration) -> bool {
        let blocks = parts
            .iter()
            .filter_map(|(part, _)| *self.suspects.get(part)?);
        let mut blocks = blocks;
        blocks.any(|(from, until)| (from..until).contains(&now))
    }

    /// Records a request that broke near the start of its answer. Returns whether it is the first one
    /// of its target, so that the target has to be probed.
    pub fn record_break(&mut self, crash: TargetCrash, parts: &RequestParts) -> bool {
        let is_first = !self.broken.contains_key(&crash.target);
        let evidence = self.broken.entry(crash.target.clone());
        let evidence = evidence.or_insert_with(|| CrashEvidence {
            crash,
            parts: Vec::new(),
        });
        for (part, kind) in parts {
            let known = evidence.parts.iter();
            match known
                .map(|known| known.part)
                .position(|known| known == *part)
            {
                Some(index) => evidence.parts[index].runs += 1,
                None if evidence.parts.len() < MAX_CRASHED => evidence.parts.push(CrashedPart {
                    part: *part,
                    kind: *kind,
                    runs: 1,
                }),
                None => {}
            }
        }
        is_first
    }

    /// Records the result of the probe of a target. Returns whether there is evidence to report.
    pub fn finish_probe(&mut self, target: &TargetId, is_down: bool, now: Duration) -> bool {
        let Some(mut evidence) = self.broken.remove(target).filter(|_| is_down) else {
            return false;
        };
        evidence
            .parts
            .retain(|crashed| !self.is_trusted(&crashed.part, now));
        if evidence.parts.is_empty() {
            return false;
        }
        if self.evidence.len() >= MAX_EVIDENCE {
            self.evidence.pop_front();
        }
        self.evidence.push_back(evidence);
        true
    }

    fn is_trusted(&self, part: &Fingerprint, now: Duration) -> bool {
        let completion = self.completed.get(part);
        completion.is_some_and(|completion| now.saturating_sub(completion.at) < TRUST_TIME)
    }

    /// Records a complete answer. Returns whether the leader should be told at once.
    pub fn record_complete(&mut self, parts: &RequestParts, now: Duration) -> bool {
        if self.completed.len() + parts.len() > MAX_COMPLETED {
            self.expire_completed(now);
        }
        let mut clears = false;
        for (part, _) in parts {
            let completion = PartCompletion {
                at: now,
                reported_at: None,
            };
            let completion = self.completed.entry(*part).or_insert(completion);
            completion.at = now;
            clears |= self.suspects.contains_key(part) && completion.is_due(now);
        }
        clears
    }

    /// Removes completions that no longer count, and the older half of the others if these are too
    /// many.
    fn expire_completed(&mut self, now: Duration) {
        let is_recent =
            |completion: &PartCompletion, limit| now.saturating_sub(completion.at) < limit;
        let completed = &mut self.completed;
        completed.retain(|_, completion| is_recent(completion, TRUST_TIME));
        if completed.len() > MAX_COMPLETED / 2 {
            completed.retain(|_, completion| is_recent(completion, TRUST_TIME / 2));
        }
        if completed.len() > MAX_COMPLETED / 2 {
            completed.clear();
        }
    }

    /// Applies the leader's suspects. Returns whether one of them had a complete answer here, so that
    /// the leader should be told at once.
    pub fn apply_section(&mut self, section: &PartSection, now: Duration) -> bool {
        self.version = section.version;
        let period = |suspect: &SuspectPart| {
            let from = now + Duration::from_millis(suspect.blocked_in_ms?);
            let until = now + Duration::from_millis(suspect.blocked_for_ms);
            Some((from, until + RELEASE_SPREAD.mul_f64(self.release_share)))
        };
        let suspects = section.suspects.iter();
        self.suspects = suspects
            .map(|suspect| (suspect.part, period(suspect)))
            .collect();
        !self.due_completions(now).is_empty()
    }

    fn due_completions(&self, now: Duration) -> Vec<Fingerprint> {
        let suspects = self.suspects.keys();
        let due = suspects.filter(|part| {
            let completion = self.completed.get(*part);
            completion.is_some_and(|completion| completion.is_due(now))
        });
        due.copied().collect()
    }

    /// Returns what the leader has to be told, and counts it as told.
    pub fn take_report(&mut self, now: Duration) -> PartReport {
        let due = self.due_completions(now);
        let completed = due.into_iter().filter_map(|part| {
            let completion = self.completed.get_mut(&part)?;
            completion.reported_at = Some(now);
            let age = now.saturating_sub(completion.at);
            Some(CompletedPart {
                part,
                age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
            })
        });
        PartReport {
            completed: completed.collect(),
            crashes: self.evidence.drain(..).collect(),
        }
    }

    /// Takes a report back that did not reach the leader.
    pub fn put_back(&mut self, report: PartReport) {
        for part in report.completed {
            if let Some(completion) = self.completed.get_mut(&part.part) {
                completion.reported_at = None;
            }
        }
        for evidence in report.crashes.into_iter().rev() {
            if self.evidence.len() < MAX_EVIDENCE {
                self.evidence.push_front(evidence);
            }
        }
    }
}

impl PartCompletion {
    /// Returns whether the completion still counts and was not reported lately.
    fn is_due(&self, now: Duration) -> bool {
        let is_recent = now.saturating_sub(self.at) < TRUST_TIME;
        let is_new = self.reported_at.is_none_or(|reported| {
            reported < self.at && now.saturating_sub(reported) >= CLEAR_INTERVAL
        });
        is_recent && is_new
    }
}
