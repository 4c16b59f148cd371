use std::time::Instant;

use bytes::Bytes;
use spdlog::prelude::*;

use super::driver::VoterDriver;
use crate::{
    error::Result,
    ids::LogIndex,
    journal::Snapshot,
    raft::{RaftInput, SnapshotMeta},
    state::ControlState,
    sync,
};

impl VoterDriver {
    /// Starts to encode a snapshot when the log has grown by the configured size, or when a change of the voters is
    /// committed, which a restarted voter would not know otherwise.
    pub fn start_snapshot(&mut self) -> Result<()> {
        let applied = self.shared.state().applied();
        // A large state is saved less often, as far as the limit of the log in memory allows.
        let min_bytes = (self.state_bytes / 2).min(self.settings.limits.log_bytes / 4);
        let has_grown = self.appended_bytes > self.settings.snapshot_bytes.max(min_bytes);
        let change = self.core.last_voter_change();
        let is_change_unsaved =
            change.is_some_and(|change| change <= applied && self.snapshot < Some(change));
        let is_due = has_grown || is_change_unsaved;
        if is_due && !self.snapshots.is_encoding() && self.snapshot.is_some_and(|at| at < applied) {
            self.appended_bytes = 0;
            self.applier.set_paused(true);
            self.snapshots.encode(&self.shared)?;
        }
        Ok(())
    }

    pub fn save_snapshot(&mut self, index: LogIndex, state: Bytes) -> Result<()> {
        self.applier.set_paused(false);
        let Some(meta) = self.core.snapshot_meta(index) else {
            // A snapshot from the leader has replaced the log in the meantime.
            return Ok(());
        };
        let save_started = Instant::now();
        let paused_entries = self.core.commit_index().saturating_sub(index);
        let bytes = state.len();
        let snapshot = Snapshot {
            index: meta.index,
            term: meta.term,
            members: sync::encode(&meta.membership)?.into(),
            state,
        };
        self.journal.save_snapshot(&snapshot, index)?;
        self.state_bytes = bytes;
        info!(
            "journal: saved a snapshot of {bytes} bytes up to entry {index} in {:?}; {paused_entries} entries were \
             committed while it was encoded",
            save_started.elapsed()
        );
        // The entries since the previous snapshot stay in memory for slightly slower members.
        let index = self.snapshot.replace(index).unwrap_or_default();
        self.step(RaftInput::Compacted { index });
        self.shared.update_status(|status| status.founding = None);
        Ok(())
    }

    pub fn install(&mut self, meta: &SnapshotMeta, state: Bytes) -> Result<()> {
        let restored = if state.is_empty() {
            ControlState::default()
        } else {
            ControlState::restore(&state)?
        };
        let snapshot = Snapshot {
            index: meta.index,
            term: meta.term,
            members: sync::encode(&meta.membership)?.into(),
            state,
        };
        self.journal.install_snapshot(&snapshot)?;
        info!(
            "journal: installed the leader's snapshot up to entry {}",
            meta.index
        );
        self.snapshot = Some(meta.index);
        self.state_bytes = snapshot.state.len();
        self.appended_bytes = 0;
        self.applier.replace(meta.index, restored);
        self.pending.resolve_replaced(meta.index);
        self.shared.update_status(|status| status.founding = None);
        Ok(())
    }
}
