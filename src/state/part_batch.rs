use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use super::{Command, PartTable};
use crate::{
    ids::Fingerprint,
    sync::{CompletedPart, CrashEvidence, CrashedPart, TargetCrash},
};

/// Evidence about parts of requests that waits for its log entries. All gateways report what a crash ended,
/// and each part that completes, at about the same time; an entry for each report would keep the leader
/// from everything else.
#[derive(Debug, Default)]
pub struct PartBatch {
    crashes: HashMap<TargetCrash, BTreeMap<Fingerprint, CrashedPart>>,
    /// Time of the last complete answer with each part.
    completed: BTreeMap<Fingerprint, Duration>,
}

impl PartBatch {
    /// Adds a report that arrived at `now`. Evidence of the same crash is merged.
    pub fn add(&mut self, crashes: &[CrashEvidence], completed: &[CompletedPart], now: Duration) {
        for evidence in crashes {
            let parts = self.crashes.entry(evidence.crash.clone()).or_default();
            merge(parts, &evidence.parts);
        }
        for part in completed {
            let at = now.saturating_sub(Duration::from_millis(part.age_ms));
            let latest = self.completed.entry(part.part).or_insert(at);
            *latest = at.max(*latest);
        }
    }

    /// Returns whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.completed.is_empty()
    }

    /// Takes what waits as commands: one for each crash and one for all complete answers that change the
    /// table.
    pub fn take_commands(&mut self, table: &PartTable, now_ms: u64, now: Duration) -> Vec<Command> {
        let crashes = std::mem::take(&mut self.crashes);
        let mut commands: Vec<Command> = crashes
            .into_iter()
            .map(|(crash, parts)| {
                let parts = parts.into_values().collect();
                Command::ReportParts(CrashEvidence { crash, parts })
            })
            .collect();
        let completed = std::mem::take(&mut self.completed);
        let completed: Vec<CompletedPart> = completed
            .into_iter()
            .map(|(part, at)| {
                let age = now.saturating_sub(at).as_millis();
                let age_ms = u64::try_from(age).unwrap_or(u64::MAX);
                CompletedPart { part, age_ms }
            })
            .filter(|completed| table.needs_completion(completed, now_ms))
            .collect();
        if !completed.is_empty() {
            commands.push(Command::ClearParts(completed));
        }
        commands
    }
}

fn merge(parts: &mut BTreeMap<Fingerprint, CrashedPart>, crashed: &[CrashedPart]) {
    for part in crashed {
        let unknown = CrashedPart { runs: 0, ..*part };
        let known = parts.entry(part.part).or_insert(unknown);
        known.runs = known.runs.saturating_add(part.runs);
    }
}
