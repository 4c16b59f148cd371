use std::sync::{
    Mutex, PoisonError, RwLock, RwLockReadGuard, RwLockWriteGuard, atomic::AtomicUsize,
};

use tokio::sync::watch;

use super::{LeaderLease, VoterAbsence, VoterPhase, VoterStatus};
use crate::{ids::LogIndex, raft::RaftRole, state::ControlState};

/// State that the voter thread shares with the handles.
pub struct SharedVoter {
    state: RwLock<ControlState>,
    status: RwLock<VoterStatus>,
    lease: Mutex<Option<LeaderLease>>,
    absence: Mutex<Option<VoterAbsence>>,
    /// Number of queued batches of peer messages, which is limited.
    pub queued_messages: AtomicUsize,
    /// Index of the last applied entry.
    pub applied: watch::Sender<LogIndex>,
    /// Phase of the voter.
    pub phase: watch::Sender<VoterPhase>,
}

impl SharedVoter {
    pub fn new(status: VoterStatus) -> Self {
        Self {
            state: RwLock::default(),
            lease: Mutex::default(),
            absence: Mutex::default(),
            queued_messages: AtomicUsize::new(0),
            applied: watch::channel(0).0,
            phase: watch::channel(status.phase).0,
            status: RwLock::new(status),
        }
    }

    pub fn state(&self) -> RwLockReadGuard<'_, ControlState> {
        self.state.read().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn state_mut(&self) -> RwLockWriteGuard<'_, ControlState> {
        self.state.write().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn status(&self) -> VoterStatus {
        self.status
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Updates the status and notifies the watchers of the phase when it has changed.
    pub fn update_status(&self, update: impl FnOnce(&mut VoterStatus)) {
        let mut status = self.status.write().unwrap_or_else(PoisonError::into_inner);
        update(&mut status);
        let phase = status.phase;
        drop(status);
        self.phase
            .send_if_modified(|known| std::mem::replace(known, phase) != phase);
    }

    pub fn lease(&self) -> Option<LeaderLease> {
        *self.lease.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn set_lease(&self, lease: Option<LeaderLease>) {
        *self.lease.lock().unwrap_or_else(PoisonError::into_inner) = lease;
    }

    pub fn absence(&self) -> Option<VoterAbsence> {
        *self.absence.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn set_absence(&self, absence: Option<VoterAbsence>) {
        *self.absence.lock().unwrap_or_else(PoisonError::into_inner) = absence;
    }

    /// Marks the voter as stopped.
    pub fn stop(&self) {
        self.set_lease(None);
        self.set_absence(None);
        self.update_status(|status| {
            status.phase = VoterPhase::Stopped;
            status.role = RaftRole::Follower;
            status.leader = None;
        });
    }
}
