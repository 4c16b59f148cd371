use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::{BlockState, CrashOutcome, TurnOutcome};
use crate::ids::{Attempt, EntryKey, Fingerprint, TargetId};

/// Distinct targets that a request may take down before it is blocked.
const BLOCKING_TARGETS: usize = 2;
/// Time for which a request is blocked, in milliseconds.
const BLOCK_MS: u64 = 3_600 * 1_000;
/// Time for which a request stays suspect after its last crash, in milliseconds.
const SUSPECT_MS: u64 = 24 * 3_600 * 1_000;
/// Time after which a turn ends when its holder does not end it, in milliseconds. It exceeds the
/// time that a long generation takes.
const TURN_MS: u64 = 120 * 1_000;
/// Most suspects kept; entries receive all of them with their sync.
const MAX_SUSPECTS: usize = 10_000;
/// Most targets remembered per suspect; more would not change the verdict.
const MAX_TARGETS: usize = 8;

/// Requests that took targets down, with the turns to run them again.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CrashTable {
    suspects: BTreeMap<Fingerprint, SuspectRecord>,
    /// Changes when an entry must learn of a suspect, a block or its end.
    version: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct SuspectRecord {
    targets: SmallVec<[TargetId; 2]>,
    last_ms: u64,
    /// 0 when the request was never blocked.
    blocked_until_ms: u64,
    turn: Option<SuspectTurn>,
    /// Holder and attempt of the last turn that ended. A late copy of its command gets no turn.
    ended: Option<(EntryKey, Attempt)>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct SuspectTurn {
    holder: EntryKey,
    attempt: Attempt,
    until_ms: u64,
}

impl SuspectRecord {
    fn block_state(&self, now_ms: u64) -> BlockState {
        if now_ms < self.blocked_until_ms {
            BlockState::Blocked
        } else {
            BlockState::Suspect
        }
    }
}

impl CrashTable {
    /// Records that a request took a target down.
    pub fn report(
        &mut self,
        now_ms: u64,
        fingerprint: &Fingerprint,
        target: &TargetId,
    ) -> CrashOutcome {
        if !self.suspects.contains_key(fingerprint) && self.suspects.len() >= MAX_SUSPECTS {
            self.drop_oldest();
        }
        let record = self
            .suspects
            .entry(*fingerprint)
            .or_insert_with(|| SuspectRecord {
                targets: SmallVec::new(),
                last_ms: now_ms,
                blocked_until_ms: 0,
                turn: None,
                ended: None,
            });
        if !record.targets.contains(target) && record.targets.len() < MAX_TARGETS {
            record.targets.push(target.clone());
        }
        record.last_ms = now_ms;
        if record.targets.len() >= BLOCKING_TARGETS {
            record.blocked_until_ms = now_ms.saturating_add(BLOCK_MS);
        }
        self.version += 1;
        CrashOutcome {
            targets: u32::try_from(record.targets.len()).unwrap_or(u32::MAX),
            state: record.block_state(now_ms),
        }
    }

    /// Gives an entry the turn to run a suspect; a request that is not suspect needs none.
    pub fn take_turn(
        &mut self,
        now_ms: u64,
        fingerprint: &Fingerprint,
        holder: &EntryKey,
        attempt: Attempt,
    ) -> TurnOutcome {
        let Some(record) = self.suspects.get_mut(fingerprint) else {
            return TurnOutcome::Granted;
        };
        if record.block_state(now_ms) == BlockState::Blocked {
            return TurnOutcome::Blocked;
        }
        match &record.turn {
            Some(turn) if now_ms < turn.until_ms => {
                if turn.holder == *holder && turn.attempt == attempt {
                    TurnOutcome::Granted
                } else {
                    TurnOutcome::Busy
                }
            }
            _ if record.ended.as_ref() == Some(&(holder.clone(), attempt)) => TurnOutcome::Busy,
            _ => {
                record.turn = Some(SuspectTurn {
                    holder: holder.clone(),
                    attempt,
                    until_ms: now_ms.saturating_add(TURN_MS),
                });
                TurnOutcome::Granted
            }
        }
    }

    /// Ends the turn of this attempt.
    pub fn end_turn(&mut self, fingerprint: &Fingerprint, holder: &EntryKey, attempt: Attempt) {
        if let Some(record) = self.suspects.get_mut(fingerprint)
            && record
                .turn
                .as_ref()
                .is_some_and(|turn| turn.holder == *holder && turn.attempt == attempt)
        {
            record.turn = None;
            record.ended = Some((holder.clone(), attempt));
        }
    }

    /// Ends the turns of a process that is gone.
    pub fn end_all_turns(&mut self, holder: &EntryKey) {
        for record in self.suspects.values_mut() {
            if record
                .turn
                .as_ref()
                .is_some_and(|turn| turn.holder == *holder)
            {
                record.turn = None;
            }
        }
    }

    /// Drops suspects without a recent crash.
    pub fn expire(&mut self, now_ms: u64) {
        let before = self.suspects.len();
        self.suspects
            .retain(|_, record| record.last_ms.saturating_add(SUSPECT_MS) > now_ms);
        if self.suspects.len() != before {
            self.version += 1;
        }
    }

    fn drop_oldest(&mut self) {
        let oldest = self
            .suspects
            .iter()
            .min_by_key(|(_, record)| record.last_ms)
            .map(|(fingerprint, _)| *fingerprint);
        if let Some(fingerprint) = oldest {
            self.suspects.remove(&fingerprint);
        }
    }

    /// Returns a number that grows whenever [`Self::suspects`] may have changed, except when a
    /// block ends by the passing of time.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns all suspects and whether they may run at `now_ms`.
    pub fn suspects(&self, now_ms: u64) -> impl Iterator<Item = (&Fingerprint, BlockState)> {
        self.suspects
            .iter()
            .map(move |(fingerprint, record)| (fingerprint, record.block_state(now_ms)))
    }

    /// Returns the number of suspects.
    #[must_use]
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Tells whether there is no suspect.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }
}
