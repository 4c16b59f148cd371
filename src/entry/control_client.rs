use std::{
    net::SocketAddr,
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant},
};

use reqwest::Client;
use serde::Serialize;

use super::control_peers::{ControlPeers, check_response};
use crate::{
    client,
    error::{Error, Result},
    ids::{Attempt, EntryKey},
    state::Outcome,
    sync::{
        self, CLAIMS_PATH, CRASHES_PATH, ClaimMessage, CommandReply, CrashMessage, SECRET_HEADER,
    },
};

/// Timeout of a claim message, after which another control daemon is tried.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Timeout of a crash message; the leader holds the reply to a report for up to 2 s.
const CRASH_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Delay between two attempts, which limits the request rate to a fleet without a leader.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Sends claim and crash messages to the leader.
pub struct ControlClient {
    key: EntryKey,
    control: ControlPeers,
    secret: String,
    client: Client,
    attempts: AtomicU64,
}

impl ControlClient {
    pub fn new(key: EntryKey, control: Vec<SocketAddr>, secret: String, client: Client) -> Self {
        Self {
            key,
            control: ControlPeers::new(control),
            secret,
            client,
            attempts: AtomicU64::new(0),
        }
    }

    /// Returns the key that identifies this incarnation of the entry process.
    pub fn key(&self) -> &EntryKey {
        &self.key
    }

    /// Returns a number that is unique among the attempts of this process.
    pub fn next_attempt(&self) -> Attempt {
        self.attempts.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Sends a claim message repeatedly until the leader replies or `limit` has passed.
    ///
    /// # Errors
    /// [`Error::Transport`] or [`Error::NotLeader`] when no leader replied; the command may be committed later.
    pub async fn send_claim(&self, message: &ClaimMessage, limit: Duration) -> Result<Outcome> {
        self.send(CLAIMS_PATH, message, MESSAGE_TIMEOUT, limit)
            .await
    }

    /// Sends a crash message repeatedly until the leader replies or `limit` has passed.
    ///
    /// # Errors
    /// [`Error::Transport`] or [`Error::NotLeader`] when no leader replied; the command may be committed later.
    pub async fn send_crash(&self, message: &CrashMessage, limit: Duration) -> Result<Outcome> {
        self.send(CRASHES_PATH, message, CRASH_TIMEOUT, limit).await
    }

    async fn send<M: Serialize>(
        &self,
        path: &str,
        message: &M,
        timeout: Duration,
        limit: Duration,
    ) -> Result<Outcome> {
        let body = sync::encode(message)?;
        let deadline = Instant::now() + limit;
        loop {
            let control = self.control.current();
            let remaining = deadline.saturating_duration_since(Instant::now());
            match self
                .send_once(control, path, body.clone(), timeout.min(remaining))
                .await
            {
                Ok(outcome) => return Ok(outcome),
                Err(error) if Instant::now() + RETRY_DELAY >= deadline => return Err(error),
                Err(error) => {
                    self.control.record_failure(control, &error);
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    async fn send_once(
        &self,
        control: SocketAddr,
        path: &str,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<Outcome> {
        let transport = |error: reqwest::Error| Error::Transport {
            peer: control.to_string(),
            reason: error.to_string(),
        };
        let response = self
            .client
            .post(format!("http://{control}{path}"))
            .header(SECRET_HEADER, &self.secret)
            .timeout(timeout)
            .body(body)
            .send()
            .await
            .map_err(transport)?;
        let response = check_response(control, response)?;
        let peer = control.to_string();
        let bytes = client::read_body(&peer, response, client::MAX_MESSAGE_BYTES).await?;
        sync::decode::<CommandReply>("command reply", &bytes).map(|reply| reply.outcome)
    }
}
