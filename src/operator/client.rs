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

/// Time that one daemon has to answer, beyond what the request itself waits for.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(4);
/// Delay before another round over the daemons, for example during an election.
const ROUND_DELAY: Duration = Duration::from_millis(150);

/// Answer of a control daemon.
#[derive(Clone, Debug)]
pub enum AdminReply {
    /// The request succeeded, with this body.
    Success(Value),
    /// The request was refused.
    Refused(Box<AdminAnswer>),
}

impl AdminReply {
    /// Decodes the body of a success.
    ///
    /// # Errors
    /// [`Error::Decode`] when the body is of another form; a refusal is returned as `Ok(Err(_))`.
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

/// Client of the administration API. It finds the leader, and sends a request again with the same
/// body, and so with the same request id, when its outcome is not known.
pub struct OperatorClient {
    http: Client,
    addresses: Vec<SocketAddr>,
    token: String,
    limit: Duration,
}

/// What one attempt led to.
enum Attempt {
    Final(AdminReply),
    /// Another daemon leads, at this address if it is known.
    Elsewhere(Option<SocketAddr>),
    /// The outcome of a change is not known.
    Unconfirmed(String),
    /// The request did not reach a daemon that could act on it.
    NotSent(String),
}

impl OperatorClient {
    /// Creates a client for the control daemons at these addresses; `limit` is the time after which
    /// it gives up.
    ///
    /// # Errors
    /// [`Error::Server`] when the TLS library cannot be set up.
    pub fn new(addresses: Vec<SocketAddr>, token: String, limit: Duration) -> Result<Self> {
        Ok(Self {
            http: http_client()?,
            addresses,
            token,
            limit,
        })
    }

    /// Reads from the leader.
    ///
    /// # Errors
    /// As [`OperatorClient::send`].
    pub async fn get(&self, path: &str) -> Result<AdminReply> {
        self.send(Method::GET, path, None::<&()>).await
    }

    /// Sends a request to the leader until its outcome is known or the time limit passed.
    ///
    /// # Errors
    /// [`Error::Transport`] when no daemon could act on the request,
    /// [`Error::Unconfirmed`] when one may have.
    pub async fn send<B: Serialize>(
        &self,
        method: Method,
        path: &str,
        body: Option<&B>,
    ) -> Result<AdminReply> {
        let deadline = Instant::now() + self.limit;
        let mut doubt = None;
        let mut last = "no address is set".to_owned();
        let mut hint = None;
        let mut round = self.addresses.iter().copied().cycle();
        let mut tried = 0;
        while Instant::now() < deadline {
            let Some(address) = hint.take().or_else(|| round.next()) else {
                break;
            };
            tried += 1;
            match self.attempt(&method, address, path, body).await {
                Attempt::Final(reply) => return Ok(reply),
                Attempt::Elsewhere(leader) => {
                    hint = leader.filter(|leader| *leader != address);
                    last = format!("{address} does not lead");
                    debug!("admin: {last}; hint {hint:?}");
                }
                Attempt::Unconfirmed(reason) => {
                    last = format!("{address}: {reason}");
                    doubt = Some(last.clone());
                }
                Attempt::NotSent(reason) => last = format!("{address}: {reason}"),
            }
            // A hint may lead in circles during an election, so it counts as a try as well.
            if tried >= self.addresses.len() {
                tried = 0;
                tokio::time::sleep(ROUND_DELAY).await;
            }
        }
        Err(match doubt {
            Some(reason) if method != Method::GET => Error::Unconfirmed { reason },
            _ => Error::Transport {
                peer: "control daemons".to_owned(),
                reason: format!("no leader answered; {last}"),
            },
        })
    }

    async fn attempt<B: Serialize>(
        &self,
        method: &Method,
        address: SocketAddr,
        path: &str,
        body: Option<&B>,
    ) -> Attempt {
        let url = format!("http://{address}{path}");
        let call: RequestBuilder = self
            .http
            .request(method.clone(), url)
            .bearer_auth(&self.token)
            .timeout(ANSWER_TIMEOUT);
        let call = match body {
            Some(body) => call.json(body),
            None => call,
        };
        let answer = match call.send().await {
            Ok(answer) => answer,
            Err(error) if error.is_connect() => return Attempt::NotSent(error.to_string()),
            Err(error) => return Attempt::Unconfirmed(error.to_string()),
        };
        let is_success = answer.status().is_success();
        let status = answer.status().as_u16();
        let body: Value = match answer.json().await {
            Ok(body) => body,
            Err(error) => return Attempt::Unconfirmed(format!("status {status}: {error}")),
        };
        if is_success {
            return Attempt::Final(AdminReply::Success(body));
        }
        let Ok(answer) = serde_json::from_value::<AdminAnswer>(body) else {
            return Attempt::Unconfirmed(format!("status {status} without a result code"));
        };
        match answer.result_code() {
            Some(ResultCode::NotLeader) => {
                let leader = answer
                    .leader
                    .as_ref()
                    .and_then(|leader| leader.parse().ok());
                Attempt::Elsewhere(leader)
            }
            Some(ResultCode::Unconfirmed) => Attempt::Unconfirmed(answer.message),
            _ => Attempt::Final(AdminReply::Refused(Box::new(answer))),
        }
    }
}
