use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering, mpsc},
    thread,
    time::{Duration, Instant},
};

use tokio::sync::{Semaphore, oneshot, watch};

use super::{
    AddressBook, LeaderLease, PeerMessages, PeerSender, VoterPhase, VoterSettings, VoterStatus,
    driver::unix_time_ms,
    request::{AnswerSender, VoterRequest},
    shared::SharedVoter,
    thread::VoterThread,
};
use crate::{
    error::{Error, Result},
    ids::LogIndex,
    journal::OpenedJournal,
    raft::{MemberChange, Membership, RaftRole, VoterId},
    state::{Command, ControlState, Outcome},
    sync::{AbsenceReport, PartSection},
};

/// Maximum number of concurrent proposals, changes and reads; further ones wait for a free slot
/// until their deadline and are then refused.
const MAX_PENDING_REQUESTS: usize = 4_096;
/// Maximum number of queued batches of peer messages; further ones are dropped, as on a lossy
/// network.
const MAX_QUEUED_MESSAGES: usize = 256;
/// Additional time for an answer after the deadline, when the disk delays the thread.
const ANSWER_MARGIN: Duration = Duration::from_millis(200);

/// Handle of the voter thread, which owns the log and the state.
#[derive(Clone)]
pub struct VoterHandle {
    queue: mpsc::Sender<VoterRequest>,
    shared: Arc<SharedVoter>,
    addresses: Arc<AddressBook>,
    permits: Arc<Semaphore>,
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
        let voter_addresses = Arc::clone(&addresses);
        let (voter, shared) =
            VoterThread::restore(journal, settings, voter_addresses, peers, receiver)?;
        thread::Builder::new()
            .name("voter".to_owned())
            .spawn(move || voter.run())
            .map_err(|source| Error::file("voter thread", source))?;
        Ok(Self {
            queue: sender,
            shared,
            addresses,
            permits: Arc::new(Semaphore::new(MAX_PENDING_REQUESTS)),
            timeout,
        })
    }

    /// Proposes a command and waits until it is committed and applied.
    ///
    /// # Errors
    /// [`Error::NotLeader`] and [`Error::Refused`] when the command will certainly not be
    /// committed, [`Error::Unconfirmed`] when it may be committed later.
    pub async fn propose(&self, command: Command) -> Result<Outcome> {
        self.propose_within(command, self.timeout).await
    }

    /// Proposes a command and waits for at most `timeout`.
    ///
    /// # Errors
    /// As [`VoterHandle::propose`].
    pub async fn propose_within(&self, command: Command, timeout: Duration) -> Result<Outcome> {
        let command = Box::new(command);
        let request = |deadline, answer| VoterRequest::Propose {
            command,
            deadline,
            answer,
        };
        self.send_request(timeout, request).await
    }

    /// Changes the membership and waits until the change is committed.
    ///
    /// # Errors
    /// As [`VoterHandle::propose`].
    pub async fn change_membership(&self, change: MemberChange) -> Result<()> {
        let request = |deadline, answer| VoterRequest::Change {
            change,
            deadline,
            answer,
        };
        self.send_request(self.timeout, request).await.map(|_| ())
    }

    /// Gives the seat of a voter that stops as planned to a learner, and waits until the voter is removed.
    ///
    /// # Errors
    /// [`Error::NotLeader`] when this voter does not lead, [`Error::Refused`] when no learner took the seat within
    /// `limit`, [`Error::Unconfirmed`] when the voter stopped.
    pub async fn release_seat(&self, id: VoterId, limit: Duration) -> Result<()> {
        let request = |deadline, answer| VoterRequest::Release {
            id,
            deadline,
            answer,
        };
        self.send_request(limit, request).await.map(|_| ())
    }

    /// Performs a linearizable read: the state includes every entry committed before the call.
    ///
    /// # Errors
    /// [`Error::NotLeader`] when this voter is not the leader or cannot confirm it in time.
    pub async fn read<T>(&self, query: impl FnOnce(&ControlState) -> T + Send) -> Result<T> {
        let request = |deadline, answer| VoterRequest::Read { deadline, answer };
        match self.send_request(self.timeout, request).await {
            Ok(_) => Ok(self.read_local(query)),
            // A read has no effect, so it is never unconfirmed.
            Err(Error::Unconfirmed { .. }) => Err(Error::NotLeader { leader: None }),
            Err(error) => Err(error),
        }
    }

    /// Reads the state that this voter has applied, which may be behind the leader. After a restart
    /// it may be older than a state read before the restart, until [`VoterPhase::Ready`].
    pub fn read_local<T>(&self, query: impl FnOnce(&ControlState) -> T) -> T {
        query(&self.shared.state())
    }

    /// Returns the suspect parts of requests if the receiver has another version.
    #[must_use]
    pub fn part_section(&self, version: u64) -> Option<PartSection> {
        self.read_local(|state| {
            let parts = state.crashes().parts();
            (parts.version() != version).then(|| PartSection {
                version: parts.version(),
                suspects: parts.suspects(state.now_ms().max(unix_time_ms())),
            })
        })
    }

    /// Returns the leader lease of this voter, if it is valid.
    #[must_use]
    pub fn lease(&self) -> Option<LeaderLease> {
        self.shared.lease().filter(LeaderLease::is_valid)
    }

    /// Returns the system address of the leader that this voter follows, or its own if it leads.
    #[must_use]
    pub fn followed_leader(&self) -> Option<SocketAddr> {
        let leader = self.status().leader?;
        self.addresses.system_address(&leader.vm)
    }

    /// Returns what this voter can say of a time without a leader; `None` while it leads, may support a
    /// leader, or is not a voter.
    #[must_use]
    pub fn absence(&self) -> Option<AbsenceReport> {
        // Read before the status, which is published later: a voter that has followed another leader since
        // would report its membership with an older time.
        let absence = self.shared.absence()?;
        let status = self.status();
        let voters = status.membership.voters;
        let is_voter = voters.contains(&status.id);
        is_voter.then(|| absence.report(status.id, voters))
    }

    /// Returns a receiver of the last applied index.
    #[must_use]
    pub fn watch_applied(&self) -> watch::Receiver<LogIndex> {
        self.shared.applied.subscribe()
    }

    /// Returns the status of this voter and its log.
    #[must_use]
    pub fn status(&self) -> VoterStatus {
        self.shared.status()
    }

    /// Returns a receiver of the phase of this voter.
    #[must_use]
    pub fn watch_phase(&self) -> watch::Receiver<VoterPhase> {
        self.shared.phase.subscribe()
    }

    /// Returns the addresses of the control daemons.
    #[must_use]
    pub fn addresses(&self) -> &Arc<AddressBook> {
        &self.addresses
    }

    /// Tells the voter that a daemon has announced itself: a voter of another data folder on its VM has lost its own.
    pub fn sight(&self, member: VoterId) {
        // Fails only once the voter has stopped.
        let _ = self.queue.send(VoterRequest::Sighted(member));
    }

    /// Queues messages of a peer for the voter. They are dropped when the queue is full.
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

    /// Starts to participate, with the founding membership or, when joining, an empty one. Does
    /// nothing when the voter already participates.
    ///
    /// # Errors
    /// [`Error::Stopped`] when the voter has stopped.
    pub async fn initialize(&self, membership: Membership) -> Result<()> {
        let (answer, reply) = oneshot::channel();
        let stopped = || Error::Stopped { part: "voter" };
        self.queue
            .send(VoterRequest::Initialize { membership, answer })
            .map_err(|_| stopped())?;
        reply.await.map_err(|_| stopped())?
    }

    /// Transfers leadership if this voter is the leader, and waits for at most `limit`.
    pub async fn transfer_leadership(&self, limit: Duration) {
        let deadline = Instant::now() + limit;
        let is_leader = || self.status().role == RaftRole::Leader;
        if is_leader() && self.queue.send(VoterRequest::Transfer).is_ok() {
            while is_leader() && Instant::now() < deadline {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
    }

    /// Stops the voter and waits until its data folder is unlocked.
    pub async fn stop(&self) {
        let mut phase = self.watch_phase();
        if self.queue.send(VoterRequest::Stop).is_ok() {
            // Cannot fail, because this handle keeps the sender alive.
            let _ = phase.wait_for(|phase| *phase == VoterPhase::Stopped).await;
        }
    }

    async fn send_request(
        &self,
        timeout: Duration,
        request: impl FnOnce(Instant, AnswerSender) -> VoterRequest,
    ) -> Result<Outcome> {
        let deadline = Instant::now() + timeout;
        let not_leader = || Error::NotLeader { leader: None };
        let permit = tokio::time::timeout(timeout, self.permits.acquire()).await;
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
