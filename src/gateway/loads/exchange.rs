use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use spdlog::prelude::*;
use tokio::{net::UdpSocket, sync::Notify};

use super::LoadAggregator;
use crate::{
    gateway::{admission_queues::AdmissionQueues, targets::TargetTable},
    ids::Incarnation,
    sync::{self, LoadMessage, LoadTopology},
};

/// Minimum interval between messages where each gateway sends to every other one, so that changes
/// of the same moment share a message.
const DIRECT_SEND_INTERVAL: Duration = Duration::from_millis(4);
/// Minimum interval between messages where relays are used. A relay sends one message to each
/// member per interval, which bounds the message rate of a data centre.
const RELAY_SEND_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum rate of load messages that a gateway sends; a third of a link of 10 Mbit/s.
const MAX_BYTES_PER_SECOND: f64 = 400_000.0;
/// Maximum interval between checks for loads that are due to be repeated.
const MAX_SEND_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum interval between messages while requests wait, whose figures expire after 100 ms.
const WAITING_SEND_INTERVAL: Duration = Duration::from_millis(40);
/// Maximum size of a message, which fits into one packet.
const MAX_MESSAGE_BYTES: usize = 1_400;

/// Exchange of load changes with other gateways within milliseconds. Without it, gateways that
/// decide a few milliseconds apart would choose the same target.
pub struct LoadExchange {
    socket: UdpSocket,
    started_at: Instant,
    targets: Arc<TargetTable>,
    queues: Arc<AdmissionQueues>,
    aggregator: Mutex<LoadAggregator>,
    message_received: Notify,
}

impl LoadExchange {
    pub fn new(
        socket: UdpSocket,
        incarnation: Incarnation,
        targets: &Arc<TargetTable>,
        queues: &Arc<AdmissionQueues>,
    ) -> Self {
        Self {
            socket,
            started_at: Instant::now(),
            targets: Arc::clone(targets),
            queues: Arc::clone(queues),
            aggregator: Mutex::new(LoadAggregator::new(incarnation)),
            message_received: Notify::new(),
        }
    }

    fn aggregator(&self) -> MutexGuard<'_, LoadAggregator> {
        self.aggregator
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the topology that the leader has assigned.
    pub fn set_topology(&self, topology: LoadTopology) {
        self.aggregator().set_topology(topology);
    }

    /// Runs until the task is dropped.
    pub async fn run(&self) {
        tokio::join!(self.run_sender(), self.run_receiver());
    }

    /// Sends load changes of this gateway and of others, at most once per interval.
    async fn run_sender(&self) {
        loop {
            let changed = async {
                tokio::select! {
                    () = self.targets.own_load_changed() => {}
                    () = self.message_received.notified() => {}
                    () = self.queues.counts_changed() => {}
                }
            };
            // Loads may be due to be repeated even without a change.
            let max_interval = if self.queues.has_waiting() {
                WAITING_SEND_INTERVAL
            } else {
                MAX_SEND_INTERVAL
            };
            let _ = tokio::time::timeout(max_interval, changed).await;
            let interval = self.send_loads().await;
            tokio::time::sleep(interval).await;
        }
    }

    async fn send_loads(&self) -> Duration {
        let now = self.started_at.elapsed();
        let (other_loads, other_waits, messages, interval) = {
            let mut aggregator = self.aggregator();
            aggregator.set_own_loads(self.targets.own_loads());
            aggregator.set_own_waits(self.queues.own_waits());
            let other_loads = aggregator.other_loads(now);
            let other_waits = aggregator.other_waits(now);
            let interval = match aggregator.topology() {
                LoadTopology::Unknown | LoadTopology::Direct { .. } => DIRECT_SEND_INTERVAL,
                LoadTopology::Member { .. } | LoadTopology::Relay { .. } => RELAY_SEND_INTERVAL,
            };
            let messages = aggregator.outgoing_messages(now);
            (other_loads, other_waits, messages, interval)
        };
        self.queues.apply_other_waits(other_waits);
        self.targets.apply_other_loads(&other_loads);
        let mut sent_bytes = 0;
        for (receivers, message) in &messages {
            match sync::encode_compact(message) {
                Ok(bytes) => {
                    sent_bytes += bytes.len() * receivers.len();
                    self.send(&bytes, receivers).await;
                }
                Err(error) => warn!("gateway: cannot encode a load message; skipping it: {error}"),
            }
        }
        interval.max(transfer_time(sent_bytes))
    }

    async fn send(&self, bytes: &[u8], receivers: &[SocketAddr]) {
        for receiver in receivers {
            if let Err(error) = self.socket.send_to(bytes, receiver).await {
                debug!(
                    "gateway: cannot send a load message to {receiver}; \
                     the load is repeated later: {error}"
                );
            }
        }
    }

    async fn run_receiver(&self) {
        let mut buffer = [0; MAX_MESSAGE_BYTES];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((length, sender)) => self.receive(&buffer[..length], sender),
                Err(error) => {
                    debug!("gateway: cannot receive load messages; retrying shortly: {error}");
                    tokio::time::sleep(DIRECT_SEND_INTERVAL).await;
                }
            }
        }
    }

    fn receive(&self, bytes: &[u8], sender: SocketAddr) {
        match sync::decode::<LoadMessage>("load message", bytes) {
            Ok(message) => {
                let now = self.started_at.elapsed();
                self.aggregator().apply_message(&message, sender, now);
                self.message_received.notify_one();
            }
            Err(error) => debug!("gateway: bad load message from {sender}: {error}"),
        }
    }
}

/// Returns the time that messages take at the maximum rate. The next messages wait for it, and the
/// changes until then share them: a relay that sends more than its link carries delays everything.
#[must_use]
#[allow(clippy::cast_precision_loss)] // Messages are far below 2^52 bytes.
pub fn transfer_time(bytes: usize) -> Duration {
    Duration::from_secs_f64(bytes as f64 / MAX_BYTES_PER_SECOND)
}
