use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use spdlog::prelude::*;
use tokio::net::UdpSocket;

use super::{leader_work::LeaderWork, state::CoordinatorState};
use crate::{
    error::{Error, Result},
    ids::{EntryKey, TeamId},
    sync::{self, GrantRequest},
};

/// Maximum size of a request; it fits one packet.
const MAX_REQUEST_BYTES: usize = 1_400;
/// Interval at which waiting requests are checked for tokens.
const PUSH_INTERVAL: Duration = Duration::from_millis(10);
/// Time for which a request can be answered again. Gateways repeat requests that still wait.
const MAX_WAIT: Duration = Duration::from_millis(400);
/// Maximum number of requests of one team that are answered in one check.
const MAX_PUSHES: usize = 8;
/// Delay after a failed receive.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Last request of each gateway for each team, which is answered again when there are tokens for it.
type WaitingRequests = HashMap<(EntryKey, TeamId), WaitingRequest>;

struct WaitingRequest {
    request: GrantRequest,
    gateway: SocketAddr,
    received_at: Instant,
}

impl WaitingRequest {
    /// Returns the request as it would be sent now: it has waited since it was received.
    fn request_now(&self) -> GrantRequest {
        let mut request = self.request.clone();
        let waited = u32::try_from(self.received_at.elapsed().as_millis()).unwrap_or(u32::MAX);
        for share in &mut request.shares {
            share.waits_ms = share.waits_ms.map(|waits| waits.saturating_sub(waited));
        }
        request
    }
}

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
        let mut waiting = HashMap::new();
        let mut pushed_at = Instant::now();
        loop {
            let received = tokio::time::timeout(PUSH_INTERVAL, self.socket.recv_from(&mut buffer));
            match received.await {
                Ok(Ok((length, gateway))) => {
                    self.receive(&buffer[..length], gateway, &mut waiting).await;
                }
                Ok(Err(error)) => {
                    debug!("coordinator: receiving a grant request failed: {error}");
                    tokio::time::sleep(RECEIVE_RETRY_DELAY).await;
                }
                // No request for a moment.
                Err(_) => {}
            }
            if pushed_at.elapsed() >= PUSH_INTERVAL {
                pushed_at = Instant::now();
                self.push_grants(&mut waiting).await;
            }
        }
    }

    async fn receive(&self, bytes: &[u8], gateway: SocketAddr, waiting: &mut WaitingRequests) {
        LeaderWork::add(&self.state.work.grant_datagrams, 1);
        let request: GrantRequest = match sync::decode("grant request", bytes) {
            Ok(request) => request,
            Err(error) => {
                warn!(
                    "coordinator: bad datagram from {gateway}, its tokens come with syncs: {error}"
                );
                return;
            }
        };
        if request.is_usage_only {
            if let Err(error) = self.state.grant(&request) {
                debug!("coordinator: usage report of {gateway} is not counted: {error}");
            }
            return;
        }
        self.answer(&request, gateway, Duration::ZERO).await;
        for share in &request.shares {
            let key = (request.gateway.clone(), share.team.clone());
            let entry = WaitingRequest {
                request: GrantRequest {
                    shares: vec![share.clone()],
                    ..request.clone()
                },
                gateway,
                received_at: Instant::now(),
            };
            waiting.insert(key, entry);
        }
    }

    /// Answers the requests for which there are tokens by now. Gateways do not need to ask again,
    /// which at hundreds of gateways would take longer than the tokens take to be refilled.
    async fn push_grants(&self, waiting: &mut WaitingRequests) {
        waiting.retain(|_, request| request.received_at.elapsed() < MAX_WAIT);
        for _ in 0..MAX_PUSHES {
            let due = self.state.due_waiters();
            let mut is_pushed = false;
            for waiter in &due {
                if let Some(entry) = waiting.get(waiter) {
                    let held = entry.received_at.elapsed();
                    self.answer(&entry.request_now(), entry.gateway, held).await;
                    is_pushed = true;
                }
            }
            if !is_pushed {
                return;
            }
        }
    }

    /// Answers a grant request that arrived before the time `held`. A gateway without a reply asks again
    /// or syncs with another coordinator, so that failures are only logged.
    async fn answer(&self, request: &GrantRequest, gateway: SocketAddr, held: Duration) {
        let reply = self.state.grant(request).map(|mut reply| {
            for grant in &mut reply.grants {
                grant.held_ms = u32::try_from(held.as_millis()).unwrap_or(u32::MAX);
            }
            reply
        });
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
