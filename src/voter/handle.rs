use std::{
    sync::{Arc, Mutex, PoisonError, RwLock, mpsc},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use tokio::sync::{oneshot, watch};

use crate::{
    error::{Error, Result},
    ids::{LogIndex, Term},
    state::{Command, ControlState, Outcome, StampedCommand},
};

/// Proof of leadership, good until an instant of this process's monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct LeaderLease {
    /// Term in which this voter leads.
    pub term: Term,
    /// Instant at which the proof lapses; no effect may happen later on its strength.
    pub until: Instant,
}

impl LeaderLease {
    /// Tells whether the proof still holds.
    #[must_use]
    pub fn holds(&self) -> bool {
        Instant::now() < self.until
    }
}

type Proposal = (Command, oneshot::Sender<Result<Outcome>>);

/// Handle of the thread that owns the log and the state.
#[derive(Clone)]
pub struct VoterHandle {
    proposals: Arc<Mutex<mpsc::Sender<Proposal>>>,
    state: Arc<RwLock<ControlState>>,
    applied: watch::Receiver<LogIndex>,
}

impl VoterHandle {
    /// Starts a voter that is alone and keeps its log in memory.
    ///
    /// # Panics
    /// When the operating system refuses to start a thread.
    #[must_use]
    pub fn new() -> Self {
        let (sender, receiver) = mpsc::channel::<Proposal>();
        let state = Arc::new(RwLock::new(ControlState::default()));
        let (applied_sender, applied) = watch::channel(0);
        let shared = Arc::clone(&state);
        thread::Builder::new()
            .name("voter".to_owned())
            .spawn(move || {
                for (command, answer) in receiver {
                    let mut state = shared.write().unwrap_or_else(PoisonError::into_inner);
                    let index = state.applied() + 1;
                    let outcome = state.apply(
                        index,
                        &StampedCommand {
                            at_ms: wall_ms(),
                            command,
                        },
                    );
                    drop(state);
                    applied_sender.send_replace(index);
                    let _ = answer.send(Ok(outcome));
                }
            })
            .expect("a thread can be started");
        Self {
            proposals: Arc::new(Mutex::new(sender)),
            state,
            applied,
        }
    }

    /// Proposes a command and waits until it is committed and applied.
    ///
    /// # Errors
    /// [`Error::NotLeader`] when the command is certainly not committed,
    /// [`Error::Unconfirmed`] when it may be committed later.
    pub async fn propose(&self, command: Command) -> Result<Outcome> {
        let (sender, answer) = oneshot::channel();
        self.proposals
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .send((command, sender))
            .map_err(|_| Error::Stopped { part: "voter" })?;
        answer.await.map_err(|_| Error::Stopped { part: "voter" })?
    }

    /// Reads what this voter has applied, which may be behind the leader.
    pub fn local<T>(&self, query: impl FnOnce(&ControlState) -> T) -> T {
        query(&self.state.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Reads a state that includes every entry committed before the call.
    ///
    /// # Errors
    /// [`Error::NotLeader`] when this voter does not lead.
    pub async fn read<T>(&self, query: impl FnOnce(&ControlState) -> T + Send) -> Result<T> {
        self.propose(Command::Noop).await?;
        Ok(self.local(query))
    }

    /// Returns the current proof of leadership.
    #[must_use]
    pub fn lease(&self) -> Option<LeaderLease> {
        Some(LeaderLease {
            term: 1,
            until: Instant::now() + Duration::from_millis(640),
        })
    }

    /// Returns a receiver of the last applied index.
    #[must_use]
    pub fn watch(&self) -> watch::Receiver<LogIndex> {
        self.applied.clone()
    }
}

impl Default for VoterHandle {
    fn default() -> Self {
        Self::new()
    }
}

fn wall_ms() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
