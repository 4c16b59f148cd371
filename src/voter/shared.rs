use std::sync::{
    Mutex, PoisonError, RwLock, RwLockReadGuard, RwLockWriteGuard, atomic::AtomicUsize,
};

use tokio::sync::watch;

use super::{LeaderLease, VoterPhase, VoterStatus};
use crate::{ids::LogIndex, raft::RaftRole, state::ControlState};

/// What the voter's thread shares with the handles.
pub struct SharedVoter {
    state: RwLock<ControlState>,
    status: RwLock<VoterStatus>,
    lease: Mutex<Option<LeaderLease>>,
    /// Peers' messages in the queue, which are dropped beyond a bound.
    pub queued_messages: AtomicUsize,
    /// Last applied index.
    pub applied: watch::Sender<LogIndex>,
    /// Stage of the voter.
    pub phase: watch::Sender<VoterPhase>,
}

impl SharedVoter {
    pub fn new(status: VoterStatus) -> Self {
        Self {
            state: RwLock::default(),
            lease: Mutex::default(),
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

    /// Changes the status and tells those who wait for another phase.
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

    /// Marks the voter as stopped.
    pub fn stop(&self) {
        self.set_lease(None);
        self.update_status(|status| {
            status.phase = VoterPhase::Stopped;
            status.role = RaftRole::Follower;
            status.leader = None;
        });
    }
}
