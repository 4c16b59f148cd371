use std::{net::SocketAddr, sync::Arc, time::Duration};

use spdlog::prelude::*;
use tokio::net::UdpSocket;

use super::sync_client::SyncClient;
use crate::{
    error::{Error, Result},
    ids::EntryKey,
    sync::{self, PlanConfirmation, PlanNews},
};

/// Maximum size of a datagram; it fits one packet.
const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Delay after a failed receive.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Receiver of news about plans and evacuations from the leader, which confirms what comes into force.
pub struct PlanNewsReceiver {
    socket: UdpSocket,
    key: EntryKey,
    sync_client: Arc<SyncClient>,
}

impl PlanNewsReceiver {
    /// Creates a receiver on a socket whose address the syncs tell the leader.
    #[must_use]
    pub fn new(socket: UdpSocket, key: EntryKey, sync_client: Arc<SyncClient>) -> Self {
        Self {
            socket,
            key,
            sync_client,
        }
    }

    /// Opens the socket of a receiver.
    ///
    /// # Errors
    /// [`Error::Server`] when no port is free.
    pub async fn bind(address: SocketAddr) -> Result<(UdpSocket, SocketAddr)> {
        let failure = |error: std::io::Error| Error::Server {
            reason: format!("{}: {error}", address.ip()),
        };
        let socket = UdpSocket::bind((address.ip(), 0)).await.map_err(failure)?;
        let bound = socket.local_addr().map_err(failure)?;
        Ok((socket, bound))
    }

    /// Runs until the task is dropped.
    pub async fn run(self) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        loop {
            let (length, leader) = match self.socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                Err(error) => {
                    debug!("gateway: cannot receive news of plans; retrying shortly: {error}");
                    tokio::time::sleep(RECEIVE_RETRY_DELAY).await;
                    continue;
                }
            };
            match sync::decode::<PlanNews>("plan news", &buffer[..length]) {
                Ok(news) => self.receive(&news, leader).await,
                Err(error) => debug!("gateway: bad datagram from {leader}: {error}"),
            }
        }
    }

    /// Puts a plan in force and evacuations in effect, and confirms them. A sync does so if that fails.
    async fn receive(&self, news: &PlanNews, leader: SocketAddr) {
        let Some(held) = self.sync_client.apply_news(news) else {
            self.sync_client.sync_now();
            return;
        };
        let confirmation = PlanConfirmation {
            gateway: self.key.clone(),
            version: held.plan_version,
            evacuation_revision: held.evacuation_revision,
        };
        let sent = match sync::encode_compact(&confirmation) {
            Ok(bytes) => self.socket.send_to(&bytes, leader).await,
            Err(error) => {
                debug!("gateway: cannot encode the confirmation of {held}: {error}");
                return;
            }
        };
        // The next sync confirms it as well.
        if let Err(error) = sent {
            debug!("gateway: cannot confirm {held}: {error}");
        }
    }
}
