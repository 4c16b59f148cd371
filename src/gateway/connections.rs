use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use spdlog::prelude::*;
use tokio::{net::TcpStream, task::AbortHandle};

use crate::ids::TargetId;

/// Outcome of a call of this module.
pub type Result<T> = std::result::Result<T, ConnectFailure>;

/// Why there is no connection to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectFailure {
    /// Nothing listens there, or the target takes no more connections.
    Refused,
    /// No answer came; an opening packet may be lost.
    Unanswered,
}

/// Time within which a connection to a target is established; round trips take a few milliseconds
/// and one lost opening packet is sent again after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Idle time after which a connection is not used again when the target names no limit.
const DEFAULT_IDLE: Duration = Duration::from_secs(4);
/// Part of a target's stated idle limit after which it may already be closing the connection.
const IDLE_SHARE: f64 = 0.7;
/// Time without acknowledgement after which the kernel gives a connection up, so that one that
/// fell silent is noticed.
const SILENCE_LIMIT: Duration = Duration::from_millis(1_500);

type TargetSender = SendRequest<Full<Bytes>>;

/// A connection to a target on which no exchange runs, or the one that it was taken for.
pub struct TargetConnection {
    pub sender: TargetSender,
    /// Whether an exchange completed on it before.
    pub is_reused: bool,
    task: AbortHandle,
    idle_limit: Duration,
    idle_since: Instant,
}

impl TargetConnection {
    /// Notes how long the target keeps the connection when idle.
    pub fn set_keep_alive(&mut self, keep_alive: Option<Duration>) {
        if let Some(limit) = keep_alive {
            self.idle_limit = limit.mul_f64(IDLE_SHARE);
        }
    }
}

impl Drop for TargetConnection {
    /// Closes the connection at once, so that the target stops working on what is not wanted.
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Idle connections to targets. Each target accepts a limited number from all gateways together and
/// new ones take its time, so that connections are kept.
#[derive(Default)]
pub struct TargetConnections {
    idle: Mutex<HashMap<TargetId, Vec<TargetConnection>>>,
}

impl TargetConnections {
    /// Takes an idle connection or opens one.
    ///
    /// # Errors
    /// [`ConnectFailure`] when the target accepts no connection.
    pub async fn take(&self, target: &TargetId, address: SocketAddr) -> Result<TargetConnection> {
        match self.take_idle(target) {
            Some(connection) => Ok(connection),
            None => connect(address).await,
        }
    }

    fn take_idle(&self, target: &TargetId) -> Option<TargetConnection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(target)?;
        while let Some(connection) = connections.pop() {
            let is_fresh = connection.idle_since.elapsed() < connection.idle_limit;
            if is_fresh && connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection whose exchange is complete.
    pub fn keep(&self, target: &TargetId, mut connection: TargetConnection) {
        if connection.sender.is_closed() {
            return;
        }
        connection.idle_since = Instant::now();
        connection.is_reused = true;
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.entry(target.clone()).or_default().push(connection);
    }

    /// Closes idle connections of targets that are gone and those that have been idle too long.
    pub fn sweep(&self, is_known: impl Fn(&TargetId) -> bool) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|target, connections| {
            connections.retain(|connection| {
                connection.idle_since.elapsed() < connection.idle_limit
                    && !connection.sender.is_closed()
            });
            is_known(target) && !connections.is_empty()
        });
    }
}

async fn connect(address: SocketAddr) -> Result<TargetConnection> {
    let refused = |reason: String| {
        debug!("gateway: no connection to {address}: {reason}");
        ConnectFailure::Refused
    };
    let opened = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = opened
        .map_err(|_| ConnectFailure::Unanswered)?
        .map_err(|error| refused(error.to_string()))?;
    if let Err(error) = stream.set_nodelay(true) {
        debug!("gateway: {address}: small packets may wait: {error}");
    }
    let socket = socket2::SockRef::from(&stream);
    if let Err(error) = socket.set_tcp_user_timeout(Some(SILENCE_LIMIT)) {
        debug!("gateway: {address}: a silent connection is noticed late: {error}");
    }
    let (sender, connection) = http1::Builder::new()
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|error| refused(error.to_string()))?;
    let task = tokio::spawn(async move {
        if let Err(error) = connection.await {
            debug!("gateway: a connection to {address} ended: {error}");
        }
    });
    Ok(TargetConnection {
        sender,
        is_reused: false,
        task: task.abort_handle(),
        idle_limit: DEFAULT_IDLE,
        idle_since: Instant::now(),
    })
}
