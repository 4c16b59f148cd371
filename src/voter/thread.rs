use std::{
    sync::{Arc, atomic::Ordering, mpsc},
    time::{Duration, Instant},
};

use spdlog::prelude::*;

use super::{
    AddressBook, PeerSender, VoterPhase, VoterSettings, VoterStatus, applier::StateApplier,
    driver::VoterDriver, entry_codec, level_reports::LevelReports, pending::PendingTable,
    request::VoterRequest, shared::SharedVoter, snapshot_buffers::SnapshotBuffers,
};
use crate::{
    clock::BootInstant,
    error::Result,
    journal::{DataFolder, OpenedJournal, RecoveredLog},
    raft::{
        MemberContacts, Membership, RaftCore, RaftRole, ReplacementStep, RestoredState,
        SnapshotMeta, VoterId,
    },
    state::ControlState,
    sync,
};

/// Interval between ticks of the core, which needs at least two in a heartbeat interval of 100 ms.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of queued requests added to one batch, so that a long queue does not delay ticks.
const MAX_BATCH_REQUESTS: usize = 1_024;

/// A voter that is ready to run on its thread.
pub struct VoterThread {
    driver: VoterDriver,
    queue: mpsc::Receiver<VoterRequest>,
    // Dropped after the driver, so that the folder stays locked while its files are open.
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
        let restore_started = Instant::now();
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
        let status = initial_status(&id, snapshot.is_some(), &meta);
        let shared = Arc::new(SharedVoter::new(status));
        shared.applied.send_replace(state.applied());
        *shared.state_mut() = state;
        info!(
            "journal: {} restored entries {} to {restored_last} and snapshot {} in {:?}",
            super::member_name(&id),
            meta.index + 1,
            meta.index,
            restore_started.elapsed()
        );
        let started = BootInstant::now();
        let driver = VoterDriver {
            snapshot: snapshot.is_some().then_some(meta.index),
            state_bytes: snapshot.as_ref().map_or(0, |snapshot| snapshot.state.len()),
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
            snapshots: SnapshotBuffers::default(),
            levels: LevelReports::default(),
            restored_last,
            leader_commit: None,
            appended: None,
            effects: Vec::new(),
            contacts: MemberContacts::default(),
            replacement: ReplacementStep::Settled,
            departures: Vec::new(),
            failed_election: None,
            raised_level: None,
        };
        let thread = Self {
            driver,
            queue,
            _lock: lock,
        };
        Ok((thread, shared))
    }

    /// Runs until it receives a stop request, all handles are dropped, or a file operation fails.
    pub fn run(self) {
        // Dropped last, also after a panic: tasks that wait for the stop may reopen the folder.
        let _guard = StopGuard(Arc::clone(&self.driver.shared));
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
            batch.extend(self.queue.try_iter().take(MAX_BATCH_REQUESTS));
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
                next_tick = Instant::now() + TICK_INTERVAL;
            }
            self.driver.process_batch(batch.drain(..), tick)?;
            if stop {
                return Ok(());
            }
        }
    }
}

/// Marks the voter as stopped when it is dropped.
struct StopGuard(Arc<SharedVoter>);

impl Drop for StopGuard {
    fn drop(&mut self) {
        self.0.stop();
    }
}

fn initial_status(id: &VoterId, is_participating: bool, meta: &SnapshotMeta) -> VoterStatus {
    let founding = Some(meta.membership.clone());
    VoterStatus {
        id: id.clone(),
        phase: if is_participating {
            VoterPhase::CatchingUp
        } else {
            VoterPhase::Uninitialized
        },
        role: RaftRole::Follower,
        term: 0,
        leader: None,
        membership: Membership::default(),
        is_membership_committed: false,
        founding: founding.filter(|membership| meta.index == 0 && !membership.voters.is_empty()),
        commit: 0,
        last: 0,
    }
}
