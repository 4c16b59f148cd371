use std::{net::SocketAddr, sync::Arc, time::Duration};

use spdlog::prelude::*;
use tokio::net::UdpSocket;

use super::sync_client::SyncClient;
use crate::{
    entry::SharedAllowance,
    error::{Error, Result},
    ids::{EntryKey, TeamId},
    sync::{self, GrantReply, GrantRequest},
};

/// Time-out of a reply from the leader; a round trip takes a few milliseconds.
const REPLY_TIMEOUT: Duration = Duration::from_millis(60);
/// Maximum number of grant requests that a gateway sends per sync interval. Without it, teams over
/// their limit would make each gateway send requests as fast as the network carries them.
const REQUESTS_PER_SYNC_INTERVAL: u32 = 25;
/// Delay after which tokens are requested again for a team that the leader had none for.
const SHORTAGE_RETRY_DELAY: Duration = Duration::from_millis(120);
/// Minimum and maximum delay after a request that the leader did not answer.
const MIN_FAILURE_DELAY: Duration = Duration::from_millis(60);
const MAX_FAILURE_DELAY: Duration = Duration::from_millis(500);
/// Delay after which used tokens are reported, so that the requests of a moment share a datagram.
const USAGE_REPORT_DELAY: Duration = Duration::from_millis(100);
/// Maximum size of a reply, which fits into one packet.
const MAX_REPLY_BYTES: usize = 1_400;

/// Client that obtains tokens for waiting requests from the leader over UDP.
pub struct GrantClient {
    socket: UdpSocket,
    key: EntryKey,
    allowance: Arc<SharedAllowance>,
    sync_client: Arc<SyncClient>,
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
        })
    }

    /// Runs until the task is dropped.
    pub async fn run(self) {
        tokio::join!(self.run_requests(), self.run_usage());
    }

    /// Reports used tokens to the leader shortly after their use. With the periodic sync alone, a
    /// second of use would be missing from the burst of each team, since only tokens that the leader
    /// knows to be used are refilled.
    async fn run_usage(&self) {
        loop {
            self.allowance.wait_for_usage().await;
            tokio::time::sleep(USAGE_REPORT_DELAY).await;
            let shares = self.allowance.make_usage_reports();
            if shares.is_empty() {
                continue;
            }
            let request = GrantRequest {
                gateway: self.key.clone(),
                serial: 0,
                shares,
                is_usage_only: true,
            };
            // The next sync repeats the cumulative counters.
            if let Err(error) = self.send(&request).await {
                debug!("gateway: cannot report used tokens to the leader: {error}");
            }
        }
    }

    async fn run_requests(&self) {
        let mut serial = 0;
        let mut failures = 0_u32;
        loop {
            self.allowance.wait_for_shortage().await;
            let Some((shares, reported_at)) = self.allowance.make_urgent_reports() else {
                continue;
            };
            let teams: Vec<TeamId> = shares.iter().map(|share| share.team.clone()).collect();
            serial += 1;
            let request = GrantRequest {
                gateway: self.key.clone(),
                serial,
                shares,
                is_usage_only: false,
            };
            let retry_delay = match self.request_grants(&request).await {
                Ok(reply) => {
                    failures = 0;
                    self.allowance.apply_grants(&reply.grants, reported_at);
                    SHORTAGE_RETRY_DELAY
                }
                Err(error) => {
                    debug!("gateway: token grant request failed: {error}");
                    if failures == 0 {
                        self.sync_client.sync_now();
                    }
                    failures += 1;
                    MIN_FAILURE_DELAY
                        .saturating_mul(2_u32.saturating_pow(failures - 1))
                        .min(MAX_FAILURE_DELAY)
                }
            };
            self.finish_reports(teams, retry_delay);
            tokio::time::sleep(self.sync_client.sync_interval() / REQUESTS_PER_SYNC_INTERVAL).await;
        }
    }

    /// Ends a report. Teams that still lack tokens are reported again after a delay: hundreds of
    /// gateways that ask for a team over its limit would keep the leader from serving the others.
    fn finish_reports(&self, teams: Vec<TeamId>, retry_delay: Duration) {
        let short = self.allowance.short_teams(&teams);
        let (short, served): (Vec<_>, Vec<_>) =
            teams.into_iter().partition(|team| short.contains(team));
        self.allowance.finish_urgent_reports(&served);
        if short.is_empty() {
            return;
        }
        let allowance = Arc::clone(&self.allowance);
        tokio::spawn(async move {
            tokio::time::sleep(retry_delay).await;
            allowance.finish_urgent_reports(&short);
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

    async fn request_grants(&self, request: &GrantRequest) -> Result<GrantReply> {
        let leader = self.send(request).await?;
        let reply = tokio::time::timeout(REPLY_TIMEOUT, self.receive(request.serial)).await;
        reply.map_err(|_| transport_error(leader, "no reply within the time-out"))?
    }

    /// Waits for the reply to the request `serial`. Late replies to earlier requests and datagrams
    /// that are no reply are discarded.
    async fn receive(&self, serial: u64) -> Result<GrantReply> {
        let mut buffer = [0; MAX_REPLY_BYTES];
        loop {
            let received = self.socket.recv_from(&mut buffer).await;
            let (length, sender) = received.map_err(|error| Error::Transport {
                peer: "leader".to_owned(),
                reason: error.to_string(),
            })?;
            match sync::decode::<GrantReply>("token grant reply", &buffer[..length]) {
                Ok(reply) if reply.serial == serial => return Ok(reply),
                Ok(_) => {}
                Err(error) => debug!("gateway: bad datagram from {sender}: {error}"),
            }
        }
    }
}

fn transport_error(peer: SocketAddr, reason: &str) -> Error {
    Error::Transport {
        peer: peer.to_string(),
        reason: reason.to_owned(),
    }
}
