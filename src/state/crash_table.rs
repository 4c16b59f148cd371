use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::{BlockState, CrashOutcome, PartTable, TurnOutcome};
use crate::ids::{Attempt, EntryKey, Fingerprint, TargetId};

/// Number of distinct crashed targets at which a request is blocked.
const MIN_BLOCKING_TARGETS: usize = 2;
/// Duration of a block, in milliseconds.
const BLOCK_MS: u64 = 3_600 * 1_000;
/// Time for which a request stays suspect after its last crash, in milliseconds.
const SUSPECT_MS: u64 = 24 * 3_600 * 1_000;
/// Time after which a turn expires if its holder does not end it, in milliseconds. It is longer
/// than a long generation takes.
const TURN_MS: u64 = 120 * 1_000;
/// Maximum number of suspects. The number is limited because entries receive all of them in a sync.
const MAX_SUSPECTS: usize = 10_000;
/// Maximum number of targets stored per suspect. Further targets would not change its block state.
const MAX_TARGETS: usize = 8;

/// Suspects: requests that crashed a target, and the exclusive turns to run them again.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CrashTable {
    suspects: BTreeMap<Fingerprint, SuspectRecord>,
    /// Incremented by each change that entries must receive.
    version: u64,
    /// Parts that requests of different content have in common.
    #[serde(default)]
    parts: PartTable,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct SuspectRecord {
    targets: SmallVec<[TargetId; 2]>,
    last_ms: u64,
    /// End of the latest block; 0 if the request was never blocked.
    blocked_until_ms: u64,
    turn: Option<SuspectTurn>,
    /// Holder and attempt of the last ended turn. A delayed duplicate of its command is not
    /// granted.
    ended: Option<(EntryKey, Attempt)>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct SuspectTurn {
    holder: EntryKey,
    attempt: Attempt,
    #[serde(rename = "until_ms")]
    expires_at_ms: u64,
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
    /// Records that a request crashed a target.
    pub fn report(
        &mut self,
        now_ms: u64,
        fingerprint: &Fingerprint,
        target: &TargetId,
    ) -> CrashOutcome {
        if !self.suspects.contains_key(fingerprint) && self.suspects.len() >= MAX_SUSPECTS {
            self.remove_oldest();
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
        if record.targets.len() >= MIN_BLOCKING_TARGETS {
            record.blocked_until_ms = now_ms.saturating_add(BLOCK_MS);
        }
        self.version += 1;
        CrashOutcome {
            targets: u32::try_from(record.targets.len()).unwrap_or(u32::MAX),
            state: record.block_state(now_ms),
        }
    }

    /// Requests the turn to run a suspect for an entry. A request that is not a suspect is granted
    /// without a turn.
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
            Some(turn) if now_ms < turn.expires_at_ms => {
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
                    expires_at_ms: now_ms.saturating_add(TURN_MS),
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

    /// Ends all turns of a terminated entry process.
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

    /// Returns the table of parts, for changes.
    pub fn parts_mut(&mut self) -> &mut PartTable {
        &mut self.parts
    }

    /// Returns the table of parts.
    #[must_use]
    pub fn parts(&self) -> &PartTable {
        &self.parts
    }

    /// Removes suspects and parts without a recent crash.
    pub fn expire(&mut self, now_ms: u64) {
        self.parts.expire(now_ms);
        let previous_len = self.suspects.len();
        self.suspects
            .retain(|_, record| record.last_ms.saturating_add(SUSPECT_MS) > now_ms);
        if self.suspects.len() != previous_len {
            self.version += 1;
        }
    }

    fn remove_oldest(&mut self) {
        let oldest = self
            .suspects
            .iter()
            .min_by_key(|(_, record)| record.last_ms)
            .map(|(fingerprint, _)| *fingerprint);
        if let Some(fingerprint) = oldest {
            self.suspects.remove(&fingerprint);
        }
    }

    /// Returns a version number that is incremented whenever [`Self::suspects`] may have changed.
    /// The expiry of a block does not increment it.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns all suspects with their block state at `now_ms`.
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

    /// Returns whether the table has no suspects.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }
}
