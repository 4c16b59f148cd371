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

use super::counted_stream::{CountedStream, EmptyBytes};
use crate::ids::TargetId;

/// Result of a connection attempt.
pub type Result<T> = std::result::Result<T, ConnectFailure>;

/// Reason why a connection to a target failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectFailure {
    /// Nothing listens at the address, or the target accepts no more connections.
    Refused,
    /// The target did not answer in time; a SYN packet may have been lost.
    Unanswered,
}

/// Time-out of a connection attempt. A round trip takes a few milliseconds; a lost SYN packet,
/// which is sent again after a second, is not waited for.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Idle time after which a connection is not reused if the target states no limit.
const DEFAULT_IDLE_LIMIT: Duration = Duration::from_secs(4);
/// Share of the idle limit stated by a target after which it may already be closing the connection.
const IDLE_LIMIT_SHARE: f64 = 0.7;
/// Time without acknowledgement after which the kernel closes a connection (`TCP_USER_TIMEOUT`), so
/// that a dead peer is detected.
const ACK_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Maximum size of the buffer of a connection, and thus of the head of an answer. A longer head is no
/// answer.
const MAX_BUFFER_BYTES: usize = 64 << 10;

type TargetSender = SendRequest<Full<Bytes>>;

/// A connection to a target, either idle or used by one exchange.
pub struct TargetConnection {
    pub sender: TargetSender,
    /// Whether an earlier exchange was completed on the connection.
    pub is_reused: bool,
    empty: EmptyBytes,
    task: AbortHandle,
    idle_limit: Duration,
    idle_since: Instant,
}

impl TargetConnection {
    /// Records that a head or content of an answer has arrived.
    pub fn record_content(&self) {
        self.empty.reset();
    }

    /// Sets the idle limit from the time for which the target keeps an idle connection open.
    pub fn set_keep_alive(&mut self, keep_alive: Option<Duration>) {
        if let Some(limit) = keep_alive {
            self.idle_limit = limit.mul_f64(IDLE_LIMIT_SHARE);
        }
    }
}

impl Drop for TargetConnection {
    /// Closes the connection at once, so that the target stops processing an abandoned request.
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Pool of idle connections to targets. Each target accepts a limited number of connections from
/// all gateways together and opening one costs it time, so connections are reused.
#[derive(Default)]
pub struct TargetConnections {
    idle: Mutex<HashMap<TargetId, Vec<TargetConnection>>>,
}

impl TargetConnections {
    /// Takes an idle connection from the pool or opens a new one.
    ///
    /// # Errors
    /// [`ConnectFailure`] when the target does not accept a connection.
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
            let is_within_limit = connection.idle_since.elapsed() < connection.idle_limit;
            if is_within_limit && connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    /// Returns a connection to the pool after its exchange is complete.
    pub fn put_back(&self, target: &TargetId, mut connection: TargetConnection) {
        if connection.sender.is_closed() {
            return;
        }
        connection.idle_since = Instant::now();
        connection.is_reused = true;
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.entry(target.clone()).or_default().push(connection);
    }

    /// Closes idle connections to targets that no longer exist, and those past their idle limit.
    pub fn close_expired(&self, is_known: impl Fn(&TargetId) -> bool) {
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
        debug!("gateway: cannot connect to target {address}: {reason}");
        ConnectFailure::Refused
    };
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = stream
        .map_err(|_| ConnectFailure::Unanswered)?
        .map_err(|error| refused(error.to_string()))?;
    if let Err(error) = stream.set_nodelay(true) {
        debug!(
            "gateway: cannot set TCP_NODELAY for target {address}; small packets may be delayed: {error}"
        );
    }
    let socket = socket2::SockRef::from(&stream);
    if let Err(error) = socket.set_tcp_user_timeout(Some(ACK_TIMEOUT)) {
        debug!(
            "gateway: cannot set TCP_USER_TIMEOUT for target {address}; \
             a dead connection is detected late: {error}"
        );
    }
    let empty = EmptyBytes::default();
    let stream = CountedStream::new(stream, empty.clone());
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_BUFFER_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|error| refused(error.to_string()))?;
    let task = tokio::spawn(async move {
        if let Err(error) = connection.await {
            debug!("gateway: the connection to target {address} failed: {error}");
        }
    });
    Ok(TargetConnection {
        sender,
        is_reused: false,
        empty,
        task: task.abort_handle(),
        idle_limit: DEFAULT_IDLE_LIMIT,
        idle_since: Instant::now(),
    })
}
