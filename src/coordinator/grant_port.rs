use std::{net::SocketAddr, sync::Arc, time::Duration};

use spdlog::prelude::*;
use tokio::net::UdpSocket;

use super::state::CoordinatorState;
use crate::{
    error::{Error, Result},
    sync::{self, GrantRequest},
};

/// Largest question; it fits a packet.
const MAX_QUESTION_BYTES: usize = 1_400;
/// Wait after a failed receive.
const RECEIVE_DELAY: Duration = Duration::from_millis(20);

/// Answers gateways whose requests lack tokens, over UDP. A sync costs the leader ten times as much,
/// and in a large fleet most requests find no tokens at their gateway.
pub struct GrantPort {
    socket: UdpSocket,
    desk: Arc<CoordinatorState>,
}

impl GrantPort {
    /// Opens the port.
    ///
    /// # Errors
    /// [`Error::Server`] when the port is taken.
    pub async fn open(address: SocketAddr, desk: Arc<CoordinatorState>) -> Result<Self> {
        let socket = UdpSocket::bind(address).await;
        let socket = socket.map_err(|error| Error::Server {
            reason: format!("{address}: {error}"),
        })?;
        Ok(Self { socket, desk })
    }

    /// Runs until the task is dropped.
    pub async fn run(self) {
        let mut buffer = [0; MAX_QUESTION_BYTES];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((length, gateway)) => self.answer(&buffer[..length], gateway).await,
                Err(error) => {
                    debug!("coordinator: no question for tokens: {error}");
                    tokio::time::sleep(RECEIVE_DELAY).await;
                }
            }
        }
    }

    /// A gateway that gets no answer asks again, or syncs with another coordinator.
    async fn answer(&self, bytes: &[u8], gateway: SocketAddr) {
        let question: Result<GrantRequest> = sync::decode("question for tokens", bytes);
        let answer = question.and_then(|question| self.desk.grant(&question));
        let sent = match answer.and_then(|answer| sync::encode_compact(&answer)) {
            Ok(bytes) => self.socket.send_to(&bytes, gateway).await,
            Err(error) => {
                debug!("coordinator: {gateway} gets no tokens: {error}");
                return;
            }
        };
        if let Err(error) = sent {
            debug!("coordinator: {gateway} is not answered: {error}");
        }
    }
}
