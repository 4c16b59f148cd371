use std::{
    sync::{Arc, atomic::Ordering, mpsc},
    thread,
    time::{Duration, Instant},
};

use tokio::sync::{Semaphore, oneshot, watch};

use super::{
    AddressBook, LeaderLease, PeerMessages, PeerSender, VoterPhase, VoterSettings, VoterStatus,
    request::{Answer, VoterRequest},
    shared::SharedVoter,
    thread::VoterThread,
};
use crate::{
    error::{Error, Result},
    ids::LogIndex,
    journal::OpenedJournal,
    raft::{MemberChange, Membership, RaftRole},
    state::{Command, ControlState, Outcome},
};

/// Proposals and reads that may wait at once; more are refused at their deadline.
const MAX_WAITING: usize = 4_096;
/// Batches of peers' messages that may wait at once; more are dropped, as on a lossy network.
const MAX_QUEUED_MESSAGES: usize = 256;
/// Extra time for an answer when the thread is held up by the disk.
const ANSWER_MARGIN: Duration = Duration::from_millis(200);

/// Handle of the thread that owns the log and the state.
#[derive(Clone)]
pub struct VoterHandle {
    queue: mpsc::Sender<VoterRequest>,
    shared: Arc<SharedVoter>,
    addresses: Arc<AddressBook>,
    waiting: Arc<Semaphore>,
    timeout: Duration,
}

impl VoterHandle {
    /// Restores the voter from its journal and starts its thread.
    ///
    /// # Errors
    /// [`Error::File`] when no thread can be started, [`Error::Decode`] when the log is of a later
    /// release.
    pub fn start(
        journal: OpenedJournal,
        settings: VoterSettings,
        addresses: Arc<AddressBook>,
        peers: Box<dyn PeerSender>,
    ) -> Result<Self> {
        let (sender, receiver) = mpsc::channel();
        let timeout = settings.proposal_timeout;
        let book = Arc::clone(&addresses);
        let (voter, shared) = VoterThread::restore(journal, settings, book, peers, receiver)?;
        thread::Builder::new()
            .name("voter".to_owned())
            .spawn(move || voter.run())
            .map_err(|source| Error::file("voter thread", source))?;
        Ok(Self {
            queue: sender,
            shared,
            addresses,
            waiting: Arc::new(Semaphore::new(MAX_WAITING)),
            timeout,
        })
    }

    /// Proposes a command and waits until it is committed and applied.
    ///
    /// # Errors
    /// [`Error::NotLeader`] and [`Error::Refused`] when the command is certainly not committed,
    /// [`Error::Unconfirmed`] when it may be committed later.
    pub async fn propose(&self, command: Command) -> Result<Outcome> {
        self.propose_within(command, self.timeout).await
    }

    /// Proposes a command and waits for at most `timeout`.
    ///
    /// # Errors
    /// As [`VoterHandle::propose`].
    pub async fn propose_within(&self, command: Command, timeout: Duration) -> Result<Outcome> {
        let command = Box::new(command);
        let ask = |deadline, answer| VoterRequest::Propose {
            command,
            deadline,
            answer,
        };
        self.ask(timeout, ask).await
    }

    /// Changes the membership and waits until the change is committed.
    ///
    /// # Errors
    /// As [`VoterHandle::propose`].
    pub async fn change_membership(&self, change: MemberChange) -> Result<()> {
        let ask = |deadline, answer| VoterRequest::Change {
            change,
            deadline,
            answer,
        };
        self.ask(self.timeout, ask).await.map(|_| ())
    }

    /// Reads a state that includes every entry committed before the call.
    ///
    /// # Errors
    /// [`Error::NotLeader`] when this voter does not lead or cannot prove it in time.
    pub async fn read<T>(&self, query: impl FnOnce(&ControlState) -> T + Send) -> Result<T> {
        let ask = |deadline, answer| VoterRequest::Read { deadline, answer };
        match self.ask(self.timeout, ask).await {
            Ok(_) => Ok(self.read_local(query)),
            // A read has no effect, so its outcome is never in doubt.
            Err(Error::Unconfirmed { .. }) => Err(Error::NotLeader { leader: None }),
            Err(error) => Err(error),
        }
    }

    /// Reads what this voter has applied, which may be behind the leader. After a restart it may
    /// even be behind what this voter showed before, until [`VoterPhase::Ready`].
    pub fn read_local<T>(&self, query: impl FnOnce(&ControlState) -> T) -> T {
        query(&self.shared.state())
    }

    /// Returns the current proof of leadership.
    #[must_use]
    pub fn lease(&self) -> Option<LeaderLease> {
        self.shared.lease().filter(LeaderLease::is_valid)
    }

    /// Returns a receiver of the last applied index.
    #[must_use]
    pub fn watch_applied(&self) -> watch::Receiver<LogIndex> {
        self.shared.applied.subscribe()
    }

    /// Returns what this voter knows about itself and the log.
    #[must_use]
    pub fn status(&self) -> VoterStatus {
        self.shared.status()
    }

    /// Returns a receiver of the voter's phase.
    #[must_use]
    pub fn watch_phase(&self) -> watch::Receiver<VoterPhase> {
        self.shared.phase.subscribe()
    }

    /// Returns the addresses of the members.
    #[must_use]
    pub fn addresses(&self) -> &Arc<AddressBook> {
        &self.addresses
    }

    /// Hands messages of a peer to the voter. They are dropped when the voter is behind.
    pub fn receive(&self, messages: PeerMessages) {
        self.addresses.update(&messages.sender);
        self.addresses.insert_missing(&messages.others);
        if self.shared.queued_messages.fetch_add(1, Ordering::Relaxed) >= MAX_QUEUED_MESSAGES
            || self
                .queue
                .send(VoterRequest::Messages(Box::new(messages)))
                .is_err()
        {
            self.shared.queued_messages.fetch_sub(1, Ordering::Relaxed);
        }
    }

    /// Begins to take part, with the founding membership or, when joining, an empty one. Does
    /// nothing when the voter already takes part.
    ///
    /// # Errors
    /// [`Error::Stopped`] when the voter has stopped.
    pub async fn initialize(&self, membership: Membership) -> Result<()> {
        let (answer, begun) = oneshot::channel();
        let stopped = || Error::Stopped { part: "voter" };
        self.queue
            .send(VoterRequest::Initialize { membership, answer })
            .map_err(|_| stopped())?;
        begun.await.map_err(|_| stopped())?
    }

    /// Hands leadership over, if this voter leads, and waits for at most `limit`.
    pub async fn transfer_leadership(&self, limit: Duration) {
        let deadline = Instant::now() + limit;
        let leads = || self.status().role == RaftRole::Leader;
        if leads() && self.queue.send(VoterRequest::Transfer).is_ok() {
            while leads() && Instant::now() < deadline {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
    }

    /// Stops the voter and waits until its folder is free.
    pub async fn stop(&self) {
        let mut phase = self.watch_phase();
        if self.queue.send(VoterRequest::Stop).is_ok() {
            // Fails only when the sender is gone, and this handle keeps it.
            let _ = phase.wait_for(|phase| *phase == VoterPhase::Stopped).await;
        }
    }

    async fn ask(
        &self,
        timeout: Duration,
        request: impl FnOnce(Instant, Answer) -> VoterRequest,
    ) -> Result<Outcome> {
        let deadline = Instant::now() + timeout;
        let not_leader = || Error::NotLeader { leader: None };
        let permit = tokio::time::timeout(timeout, self.waiting.acquire()).await;
        let _permit = permit.ok().and_then(Result::ok).ok_or_else(not_leader)?;
        let (sender, answer) = oneshot::channel();
        self.queue
            .send(request(deadline, sender))
            .map_err(|_| Error::Stopped { part: "voter" })?;
        let unconfirmed = |reason: &str| Error::Unconfirmed {
            reason: reason.to_owned(),
        };
        match tokio::time::timeout_at((deadline + ANSWER_MARGIN).into(), answer).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) => Err(unconfirmed("the voter stopped")),
            Err(_) => Err(unconfirmed("the voter is held up by its disk")),
        }
    }
}
