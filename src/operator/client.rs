use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use reqwest::{Client, Method, RequestBuilder};
use serde::{Serialize, de::DeserializeOwned};
use serde_json::Value;
use spdlog::prelude::*;

use super::AdminAnswer;
use crate::{
    client::http_client,
    code::ResultCode,
    error::{Error, Result},
};

/// Timeout of one HTTP request to one daemon. A request that waits on the server must ask for a
/// shorter wait.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(4);
/// Pause after each daemon has been tried once, for example during an election.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Response of a control daemon.
#[derive(Clone, Debug)]
pub enum AdminReply {
    /// The request succeeded and returned this body.
    Success(Value),
    /// The request was refused.
    Refused(Box<AdminAnswer>),
}

impl AdminReply {
    /// Decodes the body of a successful response; a refusal is returned as `Ok(Err(_))`.
    ///
    /// # Errors
    /// [`Error::Decode`] when the body does not match the type.
    pub fn decode<T: DeserializeOwned>(self) -> Result<Result<T, Box<AdminAnswer>>> {
        match self {
            Self::Refused(answer) => Ok(Err(answer)),
            Self::Success(body) => {
                serde_json::from_value(body)
                    .map(Ok)
                    .map_err(|error| Error::Decode {
                        what: "answer of the control daemon",
                        reason: error.to_string(),
                    })
            }
        }
    }
}

/// Client of the administration API. It locates the leader and retries requests whose outcome is
/// unknown. A retry has the same body and thus the same request id.
pub struct OperatorClient {
    http: Client,
    addresses: Vec<SocketAddr>,
    token: String,
    timeout: Duration,
}

/// Outcome of one attempt.
enum AttemptOutcome {
    /// A daemon answered; the request is not retried.
    Final(AdminReply),
    /// Another daemon leads; this is its address, if known.
    Redirect(Option<SocketAddr>),
    /// The request may have taken effect.
    Unconfirmed(String),
    /// The connection failed, so the request had no effect.
    NotSent(String),
}

impl OperatorClient {
    /// Creates a client for the control daemons at these addresses; `timeout` limits each
    /// request, including its retries.
    ///
    /// # Errors
    /// [`Error::Server`] when the TLS library cannot be set up.
    pub fn new(addresses: Vec<SocketAddr>, token: String, timeout: Duration) -> Result<Self> {
        Ok(Self {
            http: http_client()?,
            addresses,
            token,
            timeout,
        })
    }

    /// Sends a GET request to the leader.
    ///
    /// # Errors
    /// See [`OperatorClient::send`].
    pub async fn get(&self, path: &str) -> Result<AdminReply> {
        self.send(Method::GET, path, None::<&()>).await
    }

    /// Sends a request to the leader and retries it until its outcome is known or the timeout
    /// expires.
    ///
    /// # Errors
    /// [`Error::Transport`] when no daemon acted on the request,
    /// [`Error::Unconfirmed`] when a change may have taken effect.
    pub async fn send<B: Serialize>(
        &self,
        method: Method,
        path: &str,
        body: Option<&B>,
    ) -> Result<AdminReply> {
        let deadline = Instant::now() + self.timeout;
        let mut unconfirmed = None;
        let mut last_failure = "no address is set".to_owned();
        let mut leader_hint = None;
        let mut addresses = self.addresses.iter().copied().cycle();
        let mut attempts = 0;
        while Instant::now() < deadline {
            let Some(address) = leader_hint.take().or_else(|| addresses.next()) else {
                break;
            };
            attempts += 1;
            match self.attempt(&method, address, path, body).await {
                AttemptOutcome::Final(reply) => return Ok(reply),
                AttemptOutcome::Redirect(leader) => {
                    leader_hint = leader.filter(|leader| *leader != address);
                    last_failure = format!("{address} does not lead");
                    debug!("admin: {last_failure}; leader hint: {leader_hint:?}");
                }
                AttemptOutcome::Unconfirmed(reason) => {
                    last_failure = format!("{address}: {reason}");
                    unconfirmed = Some(last_failure.clone());
                }
                AttemptOutcome::NotSent(reason) => last_failure = format!("{address}: {reason}"),
            }
            // Leader hints can form a loop during an election, so attempts at a hinted address
            // count towards the delay as well.
            if attempts >= self.addresses.len() {
                attempts = 0;
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
        Err(match unconfirmed {
            Some(reason) if method != Method::GET => Error::Unconfirmed { reason },
            _ => Error::Transport {
                peer: "control daemons".to_owned(),
                reason: format!("no leader answered; {last_failure}"),
            },
        })
    }

    async fn attempt<B: Serialize>(
        &self,
        method: &Method,
        address: SocketAddr,
        path: &str,
        body: Option<&B>,
    ) -> AttemptOutcome {
        let url = format!("http://{address}{path}");
        let request: RequestBuilder = self
            .http
            .request(method.clone(), url)
            .bearer_auth(&self.token)
            .timeout(RESPONSE_TIMEOUT);
        let request = match body {
            Some(body) => request.json(body),
            None => request,
        };
        let response = match request.send().await {
            Ok(response) => response,
            Err(error) if error.is_connect() => return AttemptOutcome::NotSent(error.to_string()),
            Err(error) => return AttemptOutcome::Unconfirmed(error.to_string()),
        };
        let is_success = response.status().is_success();
        let status = response.status().as_u16();
        let body: Value = match response.json().await {
            Ok(body) => body,
            Err(error) => return AttemptOutcome::Unconfirmed(format!("status {status}: {error}")),
        };
        if is_success {
            return AttemptOutcome::Final(AdminReply::Success(body));
        }
        let Ok(answer) = serde_json::from_value::<AdminAnswer>(body) else {
            return AttemptOutcome::Unconfirmed(format!("status {status} without a result code"));
        };
        match answer.result_code() {
            Some(ResultCode::NotLeader) => {
                let leader = answer
                    .leader
                    .as_ref()
                    .and_then(|leader| leader.parse().ok());
                AttemptOutcome::Redirect(leader)
            }
            Some(ResultCode::Unconfirmed) => AttemptOutcome::Unconfirmed(answer.message),
            _ => AttemptOutcome::Final(AdminReply::Refused(Box::new(answer))),
        }
    }
}
