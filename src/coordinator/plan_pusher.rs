use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use spdlog::prelude::*;
use tokio::net::UdpSocket;

use super::state::CoordinatorState;
use crate::{
    error::{Error, Result},
    ids::EntryKey,
    sync::{self, PlanConfirmation, PlanNews, ServingState},
};

/// Interval at which gateways without the newest plan are told of it.
const PUSH_INTERVAL: Duration = Duration::from_millis(25);
/// Delay after which a gateway that has not confirmed a plan is told again.
const REPEAT_DELAY: Duration = Duration::from_millis(200);
/// Maximum number of gateways that are told in one interval, which keeps the leader free for their other
/// messages. A fleet of 300 gateways is told within 250 ms.
const MAX_PUSHES: usize = 32;
/// Maximum size of a datagram; it fits one packet.
const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Delay after a failed receive.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Task of the leader that tells gateways of a new plan or evacuation as soon as it is accepted, and receives their
/// confirmations. With the periodic sync alone, each would be acknowledged a sync interval later.
pub struct PlanPusher {
    socket: UdpSocket,
    state: Arc<CoordinatorState>,
}

/// A gateway that lacks the newest plan or evacuation.
#[derive(Clone, Debug)]
pub(super) struct LaggingGateway {
    pub gateway: EntryKey,
    pub address: SocketAddr,
    pub news: PlanNews,
    /// What the gateway has once it has received all of it.
    pub state: ServingState,
}

impl PlanPusher {
    /// Opens a UDP socket for news and confirmations.
    ///
    /// # Errors
    /// [`Error::Server`] when no port is free.
    pub async fn open(address: SocketAddr, state: Arc<CoordinatorState>) -> Result<Self> {
        let socket = UdpSocket::bind((address.ip(), 0)).await;
        let socket = socket.map_err(|error| Error::Server {
            reason: format!("{}: {error}", address.ip()),
        })?;
        Ok(Self { socket, state })
    }

    /// Runs until the task is dropped.
    pub async fn run(self) {
        tokio::join!(self.run_news(), self.run_confirmations());
    }

    async fn run_news(&self) {
        let mut told: HashMap<EntryKey, (ServingState, Duration)> = HashMap::new();
        loop {
            tokio::time::sleep(PUSH_INTERVAL).await;
            let now = self.state.now();
            let is_due = |gateway: &EntryKey, state: ServingState| {
                told.get(gateway).is_none_or(|(known, at)| {
                    *known != state || now.saturating_sub(*at) >= REPEAT_DELAY
                })
            };
            let lagging = self.state.lagging_gateways(MAX_PUSHES, is_due);
            if lagging.is_empty() {
                continue;
            }
            for lagging in lagging {
                self.tell(&lagging).await;
                told.insert(lagging.gateway, (lagging.state, now));
            }
            told.retain(|_, (_, at)| now.saturating_sub(*at) < REPEAT_DELAY);
        }
    }

    /// Tells a gateway. One that is not reached syncs within its interval, so failures are only logged.
    async fn tell(&self, lagging: &LaggingGateway) {
        let sent = match sync::encode_compact(&lagging.news) {
            Ok(bytes) => self.socket.send_to(&bytes, lagging.address).await,
            Err(error) => {
                debug!(
                    "plan: cannot encode the news for {}: {error}",
                    lagging.gateway.vm
                );
                return;
            }
        };
        if let Err(error) = sent {
            debug!(
                "plan: cannot send the news to {}: {error}",
                lagging.gateway.vm
            );
        }
    }

    async fn run_confirmations(&self) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        loop {
            let (length, sender) = match self.socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                Err(error) => {
                    debug!("plan: cannot receive confirmations; retrying shortly: {error}");
                    tokio::time::sleep(RECEIVE_RETRY_DELAY).await;
                    continue;
                }
            };
            match sync::decode::<PlanConfirmation>("plan confirmation", &buffer[..length]) {
                Ok(confirmation) => self.state.confirm_plan(&confirmation),
                Err(error) => debug!("plan: bad datagram from {sender}: {error}"),
            }
        }
    }
}
