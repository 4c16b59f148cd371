use std::{
    sync::{Arc, atomic::Ordering, mpsc},
    time::{Duration, Instant},
};

use spdlog::prelude::*;

use super::{
    AddressBook, PeerSender, VoterPhase, VoterSettings, VoterStatus, applier::StateApplier,
    driver::VoterDriver, entry_codec, level_reports::LevelReports, pending::PendingTable,
    request::VoterRequest, shared::SharedVoter, snapshots::SnapshotDesk,
};
use crate::{
    error::Result,
    journal::{DataFolder, OpenedJournal, RecoveredLog},
    raft::{Membership, RaftCore, RaftRole, RestoredState, SnapshotMeta, VoterId},
    state::ControlState,
    sync,
};

/// Time between two ticks of the core, which needs two in a heartbeat interval of 100 ms.
const TICK_PERIOD: Duration = Duration::from_millis(20);
/// Requests that one turn takes, so that ticks are not delayed by a long queue.
const TURN_REQUESTS: usize = 1_024;

/// A voter that is ready to run on its thread.
pub struct VoterThread {
    driver: VoterDriver,
    queue: mpsc::Receiver<VoterRequest>,
    // Dropped after the driver, so that the folder is locked as long as its files are open.
    _lock: Option<DataFolder>,
}

impl VoterThread {
    /// Restores a voter from its journal.
    ///
    /// # Errors
    /// [`crate::error::Error::Decode`] when an entry or the state in it cannot be decoded.
    pub fn restore(
        opened: OpenedJournal,
        settings: VoterSettings,
        addresses: Arc<AddressBook>,
        peers: Box<dyn PeerSender>,
        queue: mpsc::Receiver<VoterRequest>,
    ) -> Result<(Self, Arc<SharedVoter>)> {
        let begun = Instant::now();
        let OpenedJournal {
            journal,
            recovered,
            lock,
        } = opened;
        let RecoveredLog {
            identity: id,
            vote,
            snapshot,
            entries,
            ..
        } = recovered;
        let entries = entries.into_iter().map(entry_codec::from_journal);
        let entries = entries.collect::<Result<Vec<_>>>()?;
        let mut state = ControlState::default();
        let mut meta = SnapshotMeta::default();
        if let Some(snapshot) = &snapshot {
            meta.index = snapshot.index;
            meta.term = snapshot.term;
            meta.membership = sync::decode("membership", &snapshot.members)?;
            if !snapshot.state.is_empty() {
                state = ControlState::restore(&snapshot.state)?;
            }
        }
        let restored_last = entries.last().map_or(meta.index, |entry| entry.index);
        let status = first_status(&id, snapshot.is_some(), &meta);
        let shared = Arc::new(SharedVoter::new(status));
        shared.applied.send_replace(state.applied());
        *shared.state_mut() = state;
        info!(
            "journal: {} restored entries {} to {restored_last} and snapshot {} in {:?}",
            super::member_name(&id),
            meta.index + 1,
            meta.index,
            begun.elapsed()
        );
        let started = Instant::now();
        let driver = VoterDriver {
            snapshot: snapshot.is_some().then_some(meta.index),
            state_bytes: snapshot.as_ref().map_or(0, |found| found.state.len()),
            appended_bytes: entries.iter().map(crate::raft::LogEntry::size).sum(),
            applier: StateApplier::new(Arc::clone(&shared), entries.clone()),
            core: RaftCore::new(
                id.clone(),
                RestoredState {
                    term: vote.term,
                    voted_for: vote.candidate,
                    snapshot: meta,
                    entries,
                },
                settings.timing,
                settings.limits,
                rand::random(),
                started.elapsed(),
            ),
            settings,
            id,
            shared: Arc::clone(&shared),
            addresses,
            peers,
            started,
            journal,
            pending: PendingTable::default(),
            snapshots: SnapshotDesk::default(),
            levels: LevelReports::default(),
            restored_last,
            heard_commit: None,
            appended: None,
            effects: Vec::new(),
            raised: None,
        };
        let thread = Self {
            driver,
            queue,
            _lock: lock,
        };
        Ok((thread, shared))
    }

    /// Runs until it is told to stop, all handles are gone, or a file operation fails.
    pub fn run(self) {
        // Dropped last, also after a panic: those who wait for the end may open the folder again.
        let _end = EndMark(Arc::clone(&self.driver.shared));
        let mut voter = self;
        if let Err(error) = voter.serve() {
            error!("journal: {error}; this voter has stopped and acknowledges nothing");
        }
        voter.driver.pending.stop();
    }

    fn serve(&mut self) -> Result<()> {
        let mut next_tick = Instant::now();
        let mut batch = Vec::new();
        loop {
            let wait = next_tick.saturating_duration_since(Instant::now());
            match self.queue.recv_timeout(wait) {
                Ok(request) => batch.push(request),
                Err(mpsc::RecvTimeoutError::Timeout) => {}
                Err(mpsc::RecvTimeoutError::Disconnected) => return Ok(()),
            }
            batch.extend(self.queue.try_iter().take(TURN_REQUESTS));
            let messages = batch
                .iter()
                .filter(|request| matches!(request, VoterRequest::Messages(_)))
                .count();
            let queued = &self.driver.shared.queued_messages;
            queued.fetch_sub(messages, Ordering::Relaxed);
            let stop = batch
                .iter()
                .any(|request| matches!(request, VoterRequest::Stop));
            let tick = Instant::now() >= next_tick;
            if tick {
                next_tick = Instant::now() + TICK_PERIOD;
            }
            self.driver.turn(batch.drain(..), tick)?;
            if stop {
                return Ok(());
            }
        }
    }
}

/// Marks the voter as stopped when it is dropped.
struct EndMark(Arc<SharedVoter>);

impl Drop for EndMark {
    fn drop(&mut self) {
        self.0.stop();
    }
}

fn first_status(id: &VoterId, takes_part: bool, meta: &SnapshotMeta) -> VoterStatus {
    let founding = Some(meta.membership.clone());
    VoterStatus {
        id: id.clone(),
        phase: if takes_part {
            VoterPhase::CatchingUp
        } else {
            VoterPhase::Uninitialized
        },
        role: RaftRole::Follower,
        term: 0,
        leader: None,
        membership: Membership::default(),
        founding: founding.filter(|found| meta.index == 0 && !found.voters.is_empty()),
        commit: 0,
        last: 0,
    }
}
