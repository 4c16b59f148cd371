use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};
use spdlog::prelude::*;
use tokio::net::UdpSocket;

use super::targets::TargetTable;
use crate::{ids::Incarnation, sync};

/// Shortest time between two messages: several changes of one moment go together.
const SHORTEST_PERIOD: Duration = Duration::from_millis(4);
/// Longest time between two messages, which makes up for lost ones.
const LONGEST_PERIOD: Duration = Duration::from_millis(400);
/// Age after which what a peer said no longer counts; it has stopped or is cut off.
const STATE_LIMIT: Duration = Duration::from_millis(1_500);
/// Largest message; it fits a packet.
const MAX_MESSAGE_BYTES: usize = 1_400;

/// What one gateway runs at all targets. A message holds the whole state, so that lost and repeated
/// ones do no harm.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct PeerMessage {
    incarnation: Incarnation,
    serial: u64,
    targets: Vec<PeerLoad>,
}

/// What one gateway runs at one target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerLoad {
    /// The target.
    pub target: crate::ids::TargetId,
    /// Requests that have not ended.
    pub running: u32,
    /// Prompt tokens of requests without a first byte.
    pub unread_tokens: u32,
}

struct PeerState {
    serial: u64,
    heard_at: Instant,
    targets: Vec<PeerLoad>,
}

/// Tells the other gateways at once what this one sends where, and learns the same of them.
/// Decisions of a few milliseconds apart would otherwise fall on the same target.
pub struct LoadExchange {
    socket: UdpSocket,
    incarnation: Incarnation,
    targets: Arc<TargetTable>,
    peers: Mutex<Vec<SocketAddr>>,
    states: Mutex<HashMap<Incarnation, PeerState>>,
}

impl LoadExchange {
    pub fn new(socket: UdpSocket, incarnation: Incarnation, targets: Arc<TargetTable>) -> Self {
        Self {
            socket,
            incarnation,
            targets,
            peers: Mutex::default(),
            states: Mutex::default(),
        }
    }

    /// Replaces the gateways to tell.
    pub fn set_peers(&self, peers: Vec<SocketAddr>) {
        *self.peers.lock().unwrap_or_else(PoisonError::into_inner) = peers;
    }

    /// Runs until the task is dropped.
    pub async fn run(&self) {
        tokio::join!(self.run_sender(), self.run_receiver());
    }

    async fn run_sender(&self) {
        let mut serial = 0;
        loop {
            // A change that nobody waits for is told with the next one.
            let _ = tokio::time::timeout(LONGEST_PERIOD, self.targets.own_changed()).await;
            serial += 1;
            self.send(serial).await;
            tokio::time::sleep(SHORTEST_PERIOD).await;
        }
    }

    async fn send(&self, serial: u64) {
        let message = PeerMessage {
            incarnation: self.incarnation,
            serial,
            targets: self.targets.own_loads(),
        };
        let bytes = match sync::encode(&message) {
            Ok(bytes) if bytes.len() <= MAX_MESSAGE_BYTES => bytes,
            Ok(bytes) => {
                debug!(
                    "gateway: a load message of {} bytes is left out",
                    bytes.len()
                );
                return;
            }
            Err(error) => {
                warn!("gateway: a load message cannot be encoded: {error}");
                return;
            }
        };
        let peers = self
            .peers
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        for peer in peers {
            if let Err(error) = self.socket.send_to(&bytes, peer).await {
                debug!("gateway: {peer} is not told the load: {error}");
            }
        }
    }

    async fn run_receiver(&self) {
        let mut buffer = [0; MAX_MESSAGE_BYTES];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((length, peer)) => self.receive(&buffer[..length], peer),
                Err(error) => {
                    debug!("gateway: no load message: {error}");
                    tokio::time::sleep(SHORTEST_PERIOD).await;
                }
            }
        }
    }

    fn receive(&self, bytes: &[u8], peer: SocketAddr) {
        let message: PeerMessage = match sync::decode("load message", bytes) {
            Ok(message) => message,
            Err(error) => {
                debug!("gateway: {peer}: {error}");
                return;
            }
        };
        let mut states = self.states.lock().unwrap_or_else(PoisonError::into_inner);
        states.retain(|_, state| state.heard_at.elapsed() < STATE_LIMIT);
        let is_old = states
            .get(&message.incarnation)
            .is_some_and(|state| state.serial >= message.serial);
        if is_old || message.incarnation == self.incarnation {
            return;
        }
        let state = PeerState {
            serial: message.serial,
            heard_at: Instant::now(),
            targets: message.targets,
        };
        states.insert(message.incarnation, state);
        let mut sums: HashMap<&str, (u32, u32)> = HashMap::new();
        for load in states.values().flat_map(|state| &state.targets) {
            let sum = sums.entry(load.target.as_str()).or_default();
            sum.0 += load.running;
            sum.1 = sum.1.saturating_add(load.unread_tokens);
        }
        self.targets.apply_others(&sums);
    }
}
