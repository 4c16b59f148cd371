use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use reqwest::Client;
use spdlog::prelude::*;
use tokio::{runtime::Handle, sync::mpsc};

use super::raft_api::MESSAGE_PATH;
use crate::{
    client,
    error::{Error, Result},
    ids::{CommandLevel, VmId},
    raft::{LogEntry, MessageBody, RaftMessage},
    sync::{self, SECRET_HEADER},
    voter::{AddressBook, PeerMessages, PeerSender},
};

/// Maximum number of messages queued for one peer. Further ones are dropped; the Raft core resends
/// them.
const MAX_QUEUED_MESSAGES: usize = 1_024;
/// Size of log entries and snapshots at which a batch is sent.
const BATCH_BYTES: usize = 2 << 20;
/// Timeout of a batch. It is shorter than the shortest election timeout, so that one lost
/// connection does not cause an election.
const SEND_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay after a failed batch, so that a peer that refuses connections is not flooded.
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// Interval of batches that contain the addresses of other members.
const ADDRESS_INTERVAL: Duration = Duration::from_secs(1);

/// Sends messages to the other members. Each has its own connection and queue, so that a slow or
/// unreachable member does not delay the others.
pub struct HttpPeerSender {
    context: Arc<SenderContext>,
    runtime: Handle,
    queues: HashMap<VmId, mpsc::Sender<RaftMessage>>,
}

struct SenderContext {
    addresses: Arc<AddressBook>,
    secret: String,
    level: CommandLevel,
}

impl HttpPeerSender {
    /// Creates a sender whose tasks run on the current runtime.
    ///
    /// # Panics
    /// Outside a runtime.
    #[must_use]
    pub fn new(addresses: Arc<AddressBook>, secret: String, level: CommandLevel) -> Self {
        Self::on(Handle::current(), addresses, secret, level)
    }

    /// Creates a sender whose tasks run on a runtime.
    #[must_use]
    pub fn on(
        runtime: Handle,
        addresses: Arc<AddressBook>,
        secret: String,
        level: CommandLevel,
    ) -> Self {
        Self {
            context: Arc::new(SenderContext {
                addresses,
                secret,
                level,
            }),
            runtime,
            queues: HashMap::new(),
        }
    }

    fn queue(&mut self, vm: &VmId) -> Result<&mpsc::Sender<RaftMessage>> {
        if !self.queues.contains_key(vm) {
            let (sender, receiver) = mpsc::channel(MAX_QUEUED_MESSAGES);
            let connection = PeerConnection {
                context: Arc::clone(&self.context),
                vm: vm.clone(),
                // A client of its own, whose pool then contains a single connection.
                client: client::http_client()?,
                addresses_sent_at: None,
                is_reachable: true,
            };
            self.runtime.spawn(connection.run(receiver));
            self.queues.insert(vm.clone(), sender);
        }
        Ok(&self.queues[vm])
    }
}

impl PeerSender for HttpPeerSender {
    fn send(&mut self, message: RaftMessage) {
        let vm = message.to.vm.clone();
        match self.queue(&vm) {
            // A full queue drops the message, as a lossy network would.
            Ok(queue) => drop(queue.try_send(message)),
            Err(error) => error!("raft: no client for {vm}: {error}"),
        }
    }
}

struct PeerConnection {
    context: Arc<SenderContext>,
    vm: VmId,
    client: Client,
    addresses_sent_at: Option<Instant>,
    is_reachable: bool,
}

impl PeerConnection {
    async fn run(mut self, mut queue: mpsc::Receiver<RaftMessage>) {
        while let Some(first) = queue.recv().await {
            let mut size = message_size(&first);
            let mut messages = vec![first];
            while size < BATCH_BYTES
                && let Ok(message) = queue.try_recv()
            {
                size += message_size(&message);
                messages.push(message);
            }
            let Some(address) = self.context.addresses.system_address(&self.vm) else {
                continue;
            };
            let result = self.send(address, messages).await;
            if result.is_ok() != self.is_reachable {
                self.is_reachable = result.is_ok();
                match &result {
                    Ok(()) => info!("raft: {} is reachable", self.vm),
                    Err(error) => warn!("raft: {} is not reachable: {error}", self.vm),
                }
            }
            if result.is_err() {
                // Messages queued in the meantime are outdated; the Raft core resends what is
                // needed.
                while queue.try_recv().is_ok() {}
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }

    async fn send(&mut self, address: SocketAddr, messages: Vec<RaftMessage>) -> Result<()> {
        let sends_addresses = self
            .addresses_sent_at
            .is_none_or(|at| at.elapsed() > ADDRESS_INTERVAL);
        let addresses = &self.context.addresses;
        let batch = PeerMessages {
            sender: addresses.own().clone(),
            id: messages[0].from.clone(),
            level: self.context.level,
            others: if sends_addresses {
                addresses.others()
            } else {
                Vec::new()
            },
            messages,
        };
        self.client
            .post(format!("http://{address}{MESSAGE_PATH}"))
            .header(SECRET_HEADER, &self.context.secret)
            .timeout(SEND_TIMEOUT)
            .body(sync::encode(&batch)?)
            .send()
            .await
            .and_then(reqwest::Response::error_for_status)
            .map_err(|error| Error::Transport {
                peer: address.to_string(),
                reason: error.to_string(),
            })?;
        if sends_addresses {
            self.addresses_sent_at = Some(Instant::now());
        }
        Ok(())
    }
}

fn message_size(message: &RaftMessage) -> usize {
    match &message.body {
        MessageBody::AppendRequest { entries, .. } => entries.iter().map(LogEntry::size).sum(),
        MessageBody::SnapshotRequest { bytes, .. } => bytes.len(),
        _ => 0,
    }
}
