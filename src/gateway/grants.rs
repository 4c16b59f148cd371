use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use spdlog::prelude::*;
use tokio::net::UdpSocket;

use super::{grant_pacing::GrantPacing, grant_work::GrantWork, sync_client::SyncClient};
use crate::{
    allowance::ShareReport,
    entry::SharedAllowance,
    error::{Error, Result},
    ids::{EntryKey, TeamId},
    sync::{self, GrantReply, GrantRequest},
};

/// Maximum number of grant requests that a gateway sends per sync interval. Without it, teams over
/// their limit would make each gateway send requests as fast as the network carries them.
const REQUESTS_PER_SYNC_INTERVAL: u32 = 25;
/// Delay after which tokens are requested again for a request in the leader's queue.
const SHORTAGE_RETRY_DELAY: Duration = Duration::from_millis(120);
/// Time after the timeout in which late replies are applied; tokens of older ones come with the next sync.
const MAX_REPLY_DELAY: Duration = Duration::from_secs(1);
/// Delay after a failed receive.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Delay after which used tokens are reported, so that the requests of a moment share a datagram.
const USAGE_REPORT_DELAY: Duration = Duration::from_millis(200);
/// Maximum number of shares in one request, which fits into one packet.
const MAX_REPORTED_SHARES: usize = 14;
/// Maximum size of a reply, which fits into one packet.
const MAX_REPLY_BYTES: usize = 1_400;

/// Client that obtains tokens for waiting requests from the leader over UDP.
pub struct GrantClient {
    socket: UdpSocket,
    key: EntryKey,
    allowance: Arc<SharedAllowance>,
    sync_client: Arc<SyncClient>,
    last_serial: AtomicU64,
    pending: Arc<Mutex<PendingRequests>>,
    pacing: Arc<Mutex<LeaderPacing>>,
    work: Arc<GrantWork>,
}

/// Pace of the requests to one leader.
#[derive(Default)]
struct LeaderPacing {
    leader: Option<SocketAddr>,
    pacing: GrantPacing,
}

/// Requests to which replies are applied, by serial number.
type PendingRequests = BTreeMap<u64, PendingRequest>;

struct PendingRequest {
    teams: Vec<TeamId>,
    reported_at: Duration,
    /// Whether a reply has come. The leader replies again when it has tokens for a request that waits.
    is_answered: bool,
}

impl GrantClient {
    /// Opens a UDP socket for grant requests and their replies.
    ///
    /// # Errors
    /// [`Error::Server`] when no port is free.
    pub async fn open(
        address: SocketAddr,
        key: EntryKey,
        allowance: Arc<SharedAllowance>,
        sync_client: Arc<SyncClient>,
    ) -> Result<Self> {
        let socket = UdpSocket::bind((address.ip(), 0)).await;
        let socket = socket.map_err(|error| Error::Server {
            reason: format!("{}: {error}", address.ip()),
        })?;
        Ok(Self {
            socket,
            key,
            allowance,
            sync_client,
            last_serial: AtomicU64::new(0),
            pending: Arc::default(),
            pacing: Arc::default(),
            work: Arc::default(),
        })
    }

    /// Runs until the task is dropped.
    pub async fn run(self) {
        tokio::join!(
            self.run_requests(),
            self.run_replies(),
            self.run_usage(),
            self.run_reports(),
            self.work.run()
        );
    }

    /// Reports used tokens to the leader shortly after their use. With the periodic sync alone, a
    /// second of use would be missing from the burst of each team, since only tokens that the leader
    /// knows to be used are refilled.
    async fn run_usage(&self) {
        loop {
            self.allowance.wait_for_usage().await;
            tokio::time::sleep(USAGE_REPORT_DELAY).await;
            let shares = self.allowance.make_usage_reports();
            for shares in shares.chunks(MAX_REPORTED_SHARES) {
                let request = GrantRequest {
                    gateway: self.key.clone(),
                    serial: 0,
                    shares: shares.to_vec(),
                    is_usage_only: true,
                };
                // The next sync repeats the cumulative counters.
                if let Err(error) = self.send(&request).await {
                    debug!("gateway: cannot report used tokens to the leader: {error}");
                }
            }
        }
    }

    /// Reports all shares to the leader while a delegate answers the syncs, which carry them otherwise.
    async fn run_reports(&self) {
        loop {
            tokio::time::sleep(self.sync_client.sync_interval()).await;
            if !self.sync_client.is_delegated() {
                continue;
            }
            let (shares, reported_at) = self.allowance.make_reports();
            for shares in shares.chunks(MAX_REPORTED_SHARES) {
                let serial = self.add_pending(Vec::new(), reported_at);
                let request = GrantRequest {
                    gateway: self.key.clone(),
                    serial,
                    shares: shares.to_vec(),
                    is_usage_only: false,
                };
                if let Err(error) = self.send(&request).await {
                    debug!("gateway: cannot report tokens to the leader: {error}");
                }
                self.forget_later(serial);
            }
        }
    }

    fn add_pending(&self, teams: Vec<TeamId>, reported_at: Duration) -> u64 {
        let serial = self.last_serial.fetch_add(1, Ordering::Relaxed) + 1;
        let pending = PendingRequest {
            teams,
            reported_at,
            is_answered: false,
        };
        self.pending().insert(serial, pending);
        serial
    }

    /// Forgets a report for which no reply is awaited.
    fn forget_later(&self, serial: u64) {
        let pending = Arc::clone(&self.pending);
        tokio::spawn(async move {
            tokio::time::sleep(MAX_REPLY_DELAY).await;
            let mut pending = pending.lock().unwrap_or_else(PoisonError::into_inner);
            pending.remove(&serial);
        });
    }

    async fn run_requests(&self) {
        loop {
            self.allowance.wait_for_shortage().await;
            let Some((shares, reported_at)) = self.allowance.make_urgent_reports() else {
                continue;
            };
            // A data centre that returns cold has tens of targets with a limit of their own.
            for shares in shares.chunks(MAX_REPORTED_SHARES) {
                self.request_tokens(shares, reported_at).await;
            }
            let min_interval = self.sync_client.sync_interval() / REQUESTS_PER_SYNC_INTERVAL;
            let interval = self
                .pacing()
                .pacing
                .interval(min_interval, &mut rand::rng());
            tokio::time::sleep(interval).await;
        }
    }

    /// Requests tokens for some waiting requests.
    async fn request_tokens(&self, shares: &[ShareReport], reported_at: Duration) {
        let teams: Vec<TeamId> = shares.iter().map(|share| share.team.clone()).collect();
        self.work.add_reports(teams.len());
        let serial = self.add_pending(teams, reported_at);
        let request = GrantRequest {
            gateway: self.key.clone(),
            serial,
            shares: shares.to_vec(),
            is_usage_only: false,
        };
        GrantWork::add(&self.work.requests);
        let sent = self.send(&request).await;
        if let Ok(leader) = &sent {
            self.follow_leader(*leader);
        }
        if let Err(error) = sent {
            GrantWork::add(&self.work.failures);
            debug!("gateway: cannot request tokens: {error}");
            self.sync_client.sync_now();
        }
        self.end_after_timeout(serial);
    }

    /// Applies replies, also late ones: a leader that takes long to answer has granted the tokens.
    async fn run_replies(&self) {
        let mut buffer = [0; MAX_REPLY_BYTES];
        loop {
            let (length, sender) = match self.socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                Err(error) => {
                    debug!("gateway: cannot receive token grants; retrying shortly: {error}");
                    tokio::time::sleep(RECEIVE_RETRY_DELAY).await;
                    continue;
                }
            };
            match sync::decode::<GrantReply>("token grant reply", &buffer[..length]) {
                Ok(reply) => {
                    let answered = self.pending().get_mut(&reply.serial).map(|pending| {
                        let is_first = !std::mem::replace(&mut pending.is_answered, true);
                        (pending.teams.clone(), pending.reported_at, is_first)
                    });
                    if let Some((teams, reported_at, is_first)) = answered {
                        GrantWork::add(&self.work.replies);
                        let age = self.allowance.now().saturating_sub(reported_at);
                        if is_first {
                            self.pacing().pacing.record_reply(age);
                        }
                        self.work.record_reply_age(age);
                        self.allowance.apply_grants(&reply.grants, reported_at);
                        self.finish_reports(teams);
                    }
                }
                Err(error) => debug!("gateway: bad datagram from {sender}: {error}"),
            }
        }
    }

    /// Lets the teams of a request be reported again when it is not answered in time. Its reply is
    /// still applied when it comes later.
    fn end_after_timeout(&self, serial: u64) {
        let allowance = Arc::clone(&self.allowance);
        let pending = Arc::clone(&self.pending);
        let work = Arc::clone(&self.work);
        let pacing = Arc::clone(&self.pacing);
        let sync_client = Arc::clone(&self.sync_client);
        let (leader, timeout) = {
            let pacing = self.pacing();
            (pacing.leader, pacing.pacing.timeout())
        };
        tokio::spawn(async move {
            tokio::time::sleep(timeout).await;
            let teams = {
                let pending = pending.lock().unwrap_or_else(PoisonError::into_inner);
                let unanswered = pending.get(&serial).filter(|request| !request.is_answered);
                unanswered.map(|request| request.teams.clone())
            };
            if let Some(teams) = teams {
                // Another coordinator may lead by now.
                sync_client.look_for_leader();
                GrantWork::add(&work.timeouts);
                let mut pacing = pacing.lock().unwrap_or_else(PoisonError::into_inner);
                if pacing.leader == leader && leader.is_some() {
                    pacing.pacing.record_timeout();
                }
                drop(pacing);
                allowance.retry_urgent_reports(&teams);
            }
            tokio::time::sleep(MAX_REPLY_DELAY).await;
            let mut pending = pending.lock().unwrap_or_else(PoisonError::into_inner);
            pending.remove(&serial);
        });
    }

    /// Starts anew with another leader: how late the former one was says nothing of it.
    fn follow_leader(&self, leader: SocketAddr) {
        let mut pacing = self.pacing();
        if pacing.leader != Some(leader) {
            *pacing = LeaderPacing {
                leader: Some(leader),
                pacing: GrantPacing::new(),
            };
        }
    }

    fn pacing(&self) -> MutexGuard<'_, LeaderPacing> {
        self.pacing.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn pending(&self) -> MutexGuard<'_, PendingRequests> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Ends a report. Teams whose request waits in the leader's queue are reported again after a delay, in
    /// case the grant is lost.
    fn finish_reports(&self, teams: Vec<TeamId>) {
        let queued = self.allowance.queued_teams(&teams);
        let (queued, others): (Vec<_>, Vec<_>) =
            teams.into_iter().partition(|team| queued.contains(team));
        self.allowance.finish_urgent_reports(&others);
        if queued.is_empty() {
            return;
        }
        let allowance = Arc::clone(&self.allowance);
        tokio::spawn(async move {
            tokio::time::sleep(SHORTAGE_RETRY_DELAY).await;
            allowance.finish_urgent_reports(&queued);
        });
    }

    async fn send(&self, request: &GrantRequest) -> Result<SocketAddr> {
        let leader = self.sync_client.leader();
        let leader = leader.ok_or(Error::NotLeader { leader: None })?;
        let bytes = sync::encode_compact(request)?;
        let sent = self.socket.send_to(&bytes, leader).await;
        sent.map_err(|error| transport_error(leader, &error.to_string()))?;
        Ok(leader)
    }
}

fn transport_error(peer: SocketAddr, reason: &str) -> Error {
    Error::Transport {
        peer: peer.to_string(),
        reason: reason.to_owned(),
    }
}
