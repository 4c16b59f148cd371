use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use spdlog::prelude::*;
use tokio::{net::UdpSocket, sync::Notify};

use super::LoadBook;
use crate::{
    gateway::targets::TargetTable,
    ids::Incarnation,
    sync::{self, LoadMessage, LoadTopology},
};

/// Shortest time between two messages where each gateway tells every other one: several changes of
/// one moment go together.
const DIRECT_PERIOD: Duration = Duration::from_millis(4);
/// The same where gateways relay. A relay sends one message to each member in this time, so that it
/// bounds the messages of a data centre.
const RELAY_PERIOD: Duration = Duration::from_millis(20);
/// Longest time without a look at what is to be told again.
const LONGEST_PERIOD: Duration = Duration::from_millis(200);
/// Largest message; it fits a packet.
const MAX_MESSAGE_BYTES: usize = 1_400;

/// Tells other gateways at once what this one sends where, and learns the same of them. Decisions
/// of a few milliseconds apart would otherwise fall on the same target.
pub struct LoadExchange {
    socket: UdpSocket,
    started: Instant,
    targets: Arc<TargetTable>,
    book: Mutex<LoadBook>,
    heard: Notify,
}

impl LoadExchange {
    pub fn new(socket: UdpSocket, incarnation: Incarnation, targets: Arc<TargetTable>) -> Self {
        Self {
            socket,
            started: Instant::now(),
            targets,
            book: Mutex::new(LoadBook::new(incarnation)),
            heard: Notify::new(),
        }
    }

    fn book(&self) -> MutexGuard<'_, LoadBook> {
        self.book.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Follows the leader's arrangement.
    pub fn set_topology(&self, topology: LoadTopology) {
        self.book().set_topology(topology);
    }

    /// Runs until the task is dropped.
    pub async fn run(&self) {
        tokio::join!(self.run_rounds(), self.run_receiver());
    }

    /// Passes on what changed, here and elsewhere, at most once a period.
    async fn run_rounds(&self) {
        loop {
            let changed = async {
                tokio::select! {
                    () = self.targets.own_changed() => {}
                    () = self.heard.notified() => {}
                }
            };
            // Without a change there may still be something to tell again.
            let _ = tokio::time::timeout(LONGEST_PERIOD, changed).await;
            let period = self.round().await;
            tokio::time::sleep(period).await;
        }
    }

    async fn round(&self) -> Duration {
        let now = self.started.elapsed();
        let (others, messages, period) = {
            let mut book = self.book();
            book.set_own(self.targets.own_loads());
            let others = book.others(now);
            let period = match book.topology() {
                LoadTopology::Unknown | LoadTopology::Direct { .. } => DIRECT_PERIOD,
                LoadTopology::Member { .. } | LoadTopology::Relay { .. } => RELAY_PERIOD,
            };
            (others, book.outgoing(now), period)
        };
        self.targets.apply_others(&others);
        for (receivers, message) in &messages {
            match sync::encode_compact(message) {
                Ok(bytes) => self.send(&bytes, receivers).await,
                Err(error) => warn!("gateway: a load message cannot be encoded: {error}"),
            }
        }
        period
    }

    async fn send(&self, bytes: &[u8], receivers: &[SocketAddr]) {
        for receiver in receivers {
            if let Err(error) = self.socket.send_to(bytes, receiver).await {
                debug!("gateway: {receiver} is not told the load: {error}");
            }
        }
    }

    async fn run_receiver(&self) {
        let mut buffer = [0; MAX_MESSAGE_BYTES];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((length, sender)) => self.receive(&buffer[..length], sender),
                Err(error) => {
                    debug!("gateway: no load message: {error}");
                    tokio::time::sleep(DIRECT_PERIOD).await;
                }
            }
        }
    }

    fn receive(&self, bytes: &[u8], sender: SocketAddr) {
        match sync::decode::<LoadMessage>("load message", bytes) {
            Ok(message) => {
                let now = self.started.elapsed();
                self.book().accept(&message, sender, now);
                self.heard.notify_one();
            }
            Err(error) => debug!("gateway: {sender}: {error}"),
        }
    }
}
