use std::{net::SocketAddr, sync::Arc, time::Duration};

use spdlog::prelude::*;
use tokio::net::UdpSocket;

use super::state::CoordinatorState;
use crate::{
    error::{Error, Result},
    sync::{self, GrantRequest},
};

/// Maximum size of a request; it fits one packet.
const MAX_REQUEST_BYTES: usize = 1_400;
/// Delay after a failed receive.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(20);

/// UDP server that grants tokens to gateways whose requests wait for them. A sync costs the leader
/// ten times as much, and in a large fleet most requests find no tokens at their gateway.
pub struct GrantServer {
    socket: UdpSocket,
    state: Arc<CoordinatorState>,
}

impl GrantServer {
    /// Binds the server to a port.
    ///
    /// # Errors
    /// [`Error::Server`] when the port is taken.
    pub async fn bind(address: SocketAddr, state: Arc<CoordinatorState>) -> Result<Self> {
        let socket = UdpSocket::bind(address).await;
        let socket = socket.map_err(|error| Error::Server {
            reason: format!("{address}: {error}"),
        })?;
        Ok(Self { socket, state })
    }

    /// Runs until the task is dropped.
    pub async fn run(self) {
        let mut buffer = [0; MAX_REQUEST_BYTES];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((length, gateway)) => self.answer(&buffer[..length], gateway).await,
                Err(error) => {
                    debug!("coordinator: receiving a grant request failed: {error}");
                    tokio::time::sleep(RECEIVE_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Answers a grant request. A gateway without a reply asks again or syncs with another
    /// coordinator, so that failures are only logged.
    async fn answer(&self, bytes: &[u8], gateway: SocketAddr) {
        let request: Result<GrantRequest> = sync::decode("grant request", bytes);
        let is_usage_only = request.as_ref().is_ok_and(|request| request.is_usage_only);
        let reply = request.and_then(|request| self.state.grant(&request));
        if is_usage_only && reply.is_ok() {
            return;
        }
        let sent = match reply.and_then(|reply| sync::encode_compact(&reply)) {
            Ok(bytes) => self.socket.send_to(&bytes, gateway).await,
            Err(error) => {
                debug!(
                    "coordinator: a grant request of {gateway} failed, no reply is sent: {error}"
                );
                return;
            }
        };
        if let Err(error) = sent {
            debug!("coordinator: sending a grant reply to {gateway} failed: {error}");
        }
    }
}
