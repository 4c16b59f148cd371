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

/// Time-out of an answer from the leader; a round trip takes a few milliseconds.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(60);
/// Maximum number of queries that a gateway sends per sync interval. Without it, teams over their
/// limit would make each gateway send queries as fast as the network carries them.
const QUERIES_PER_SYNC_INTERVAL: u32 = 25;
/// Maximum size of an answer, which fits into one packet.
const MAX_ANSWER_BYTES: usize = 1_400;

/// Client that requests tokens for waiting requests from the leader over UDP.
pub struct GrantClient {
    socket: UdpSocket,
    key: EntryKey,
    allowance: Arc<SharedAllowance>,
    sync_client: Arc<SyncClient>,
}

impl GrantClient {
    /// Opens a UDP socket for queries and their answers.
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
            let question = GrantRequest {
                gateway: self.key.clone(),
                serial,
                shares,
            };
            match self.request_grants(&question).await {
                Ok(answer) => self.allowance.apply_grants(&answer.grants, reported_at),
                Err(error) => {
                    debug!("gateway: token query failed; sending a sync instead: {error}");
                    self.sync_client.sync_now();
                }
            }
            self.allowance.finish_urgent_reports(&teams);
            tokio::time::sleep(self.sync_client.sync_interval() / QUERIES_PER_SYNC_INTERVAL).await;
        }
    }

    async fn request_grants(&self, question: &GrantRequest) -> Result<GrantReply> {
        let leader = self.sync_client.leader();
        let leader = leader.ok_or(Error::NotLeader { leader: None })?;
        let transport_error = |reason: String| Error::Transport {
            peer: leader.to_string(),
            reason,
        };
        let bytes = sync::encode_compact(question)?;
        let sent = self.socket.send_to(&bytes, leader);
        sent.await
            .map_err(|error| transport_error(error.to_string()))?;
        let answer = tokio::time::timeout(ANSWER_TIMEOUT, self.receive(question.serial)).await;
        answer.map_err(|_| transport_error("no answer within the time-out".to_owned()))?
    }

    /// Waits for the answer to the query `serial` and discards late answers to earlier ones.
    async fn receive(&self, serial: u64) -> Result<GrantReply> {
        let mut buffer = [0; MAX_ANSWER_BYTES];
        loop {
            let received = self.socket.recv_from(&mut buffer).await;
            let (length, _) = received.map_err(|error| Error::Transport {
                peer: "leader".to_owned(),
                reason: error.to_string(),
            })?;
            let answer: GrantReply = sync::decode("token grant answer", &buffer[..length])?;
            if answer.serial == serial {
                return Ok(answer);
            }
        }
    }
}
