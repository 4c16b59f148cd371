use std::{net::SocketAddr, sync::Arc, time::Duration};

use spdlog::prelude::*;
use tokio::net::UdpSocket;

use super::follower::GatewayFollower;
use crate::{
    entry::SharedAllowance,
    error::{Error, Result},
    ids::{EntryKey, TeamId},
    sync::{self, GrantReply, GrantRequest},
};

/// Time within which the leader answers; a round trip takes a few milliseconds.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(60);
/// Questions of a gateway between two of its syncs at most. Teams over their limit would otherwise
/// make each gateway ask at the speed of the network.
const QUESTIONS_A_SYNC: u32 = 25;
/// Largest answer; it fits a packet.
const MAX_ANSWER_BYTES: usize = 1_400;

/// Asks the leader for the tokens that waiting requests lack.
pub struct GrantClient {
    socket: UdpSocket,
    key: EntryKey,
    allowance: Arc<SharedAllowance>,
    follower: Arc<GatewayFollower>,
}

impl GrantClient {
    /// Opens a port for answers.
    ///
    /// # Errors
    /// [`Error::Server`] when there is none.
    pub async fn open(
        address: SocketAddr,
        key: EntryKey,
        allowance: Arc<SharedAllowance>,
        follower: Arc<GatewayFollower>,
    ) -> Result<Self> {
        let socket = UdpSocket::bind((address.ip(), 0)).await;
        let socket = socket.map_err(|error| Error::Server {
            reason: format!("{}: {error}", address.ip()),
        })?;
        Ok(Self {
            socket,
            key,
            allowance,
            follower,
        })
    }

    /// Runs until the task is dropped.
    pub async fn run(self) {
        let mut serial = 0;
        loop {
            self.allowance.wait_for_shortage().await;
            let Some((shares, asked_at)) = self.allowance.make_urgent_reports() else {
                continue;
            };
            let teams: Vec<TeamId> = shares.iter().map(|share| share.team.clone()).collect();
            serial += 1;
            let question = GrantRequest {
                gateway: self.key.clone(),
                serial,
                shares,
            };
            match self.ask(&question).await {
                Ok(answer) => self.allowance.apply_grants(&answer.grants, asked_at),
                Err(error) => {
                    debug!("gateway: no answer about tokens: {error}");
                    self.follower.hurry();
                }
            }
            self.allowance.finish_urgent_reports(&teams);
            tokio::time::sleep(self.follower.sync_period() / QUESTIONS_A_SYNC).await;
        }
    }

    async fn ask(&self, question: &GrantRequest) -> Result<GrantReply> {
        let leader = self.follower.leader();
        let leader = leader.ok_or(Error::NotLeader { leader: None })?;
        let failed = |reason: String| Error::Transport {
            peer: leader.to_string(),
            reason,
        };
        let bytes = sync::encode_compact(question)?;
        let sent = self.socket.send_to(&bytes, leader);
        sent.await.map_err(|error| failed(error.to_string()))?;
        let answer = tokio::time::timeout(ANSWER_TIMEOUT, self.receive(question.serial)).await;
        answer.map_err(|_| failed("no answer in time".to_owned()))?
    }

    /// Waits for the answer to a question; those to earlier ones come too late.
    async fn receive(&self, serial: u64) -> Result<GrantReply> {
        let mut buffer = [0; MAX_ANSWER_BYTES];
        loop {
            let received = self.socket.recv_from(&mut buffer).await;
            let (length, _) = received.map_err(|error| Error::Transport {
                peer: "leader".to_owned(),
                reason: error.to_string(),
            })?;
            let answer: GrantReply = sync::decode("answer about tokens", &buffer[..length])?;
            if answer.serial == serial {
                return Ok(answer);
            }
        }
    }
}
