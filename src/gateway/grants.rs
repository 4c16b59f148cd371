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
        let mut serial = 0;
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
            };
            match self.request_grants(&request).await {
                Ok(reply) => self.allowance.apply_grants(&reply.grants, reported_at),
                Err(error) => {
                    debug!("gateway: token grant request failed; sending a sync instead: {error}");
                    self.sync_client.sync_now();
                }
            }
            self.allowance.finish_urgent_reports(&teams);
            tokio::time::sleep(self.sync_client.sync_interval() / REQUESTS_PER_SYNC_INTERVAL).await;
        }
    }

    async fn request_grants(&self, request: &GrantRequest) -> Result<GrantReply> {
        let leader = self.sync_client.leader();
        let leader = leader.ok_or(Error::NotLeader { leader: None })?;
        let transport_error = |reason: String| Error::Transport {
            peer: leader.to_string(),
            reason,
        };
        let bytes = sync::encode_compact(request)?;
        let sent = self.socket.send_to(&bytes, leader);
        sent.await
            .map_err(|error| transport_error(error.to_string()))?;
        let reply = tokio::time::timeout(REPLY_TIMEOUT, self.receive(request.serial)).await;
        reply.map_err(|_| transport_error("no reply within the time-out".to_owned()))?
    }

    /// Waits for the reply to the request `serial` and discards late replies to earlier ones.
    async fn receive(&self, serial: u64) -> Result<GrantReply> {
        let mut buffer = [0; MAX_REPLY_BYTES];
        loop {
            let received = self.socket.recv_from(&mut buffer).await;
            let (length, _) = received.map_err(|error| Error::Transport {
                peer: "leader".to_owned(),
                reason: error.to_string(),
            })?;
            let reply: GrantReply = sync::decode("token grant reply", &buffer[..length])?;
            if reply.serial == serial {
                return Ok(reply);
            }
        }
    }
}
