use std::{net::SocketAddr, time::Duration};

use reqwest::{Client, Response, StatusCode};

use super::{
    known_members::KnownMembers,
    raft_api::{JOIN_PATH, JoinRequest, MEMBER_PATH, MemberReply},
};
use crate::{
    client,
    error::{Error, Result},
    sync::{self, SECRET_HEADER},
};

/// Timeout of a request to another control daemon.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// Answer of a member to a request for a seat, with what it knows of the others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SeatAnswer {
    /// The member has recorded the address, and the requester is a member if it asked for that.
    Accepted(KnownMembers),
    /// The member does not lead, or the leader cannot add a learner now.
    Refused(KnownMembers),
}

impl SeatAnswer {
    /// Returns what the member knows of the others.
    #[must_use]
    pub fn known(&self) -> &KnownMembers {
        match self {
            Self::Accepted(known) | Self::Refused(known) => known,
        }
    }
}

/// Client of other control daemons, for daemons that found or join a fleet.
#[derive(Clone)]
pub struct MemberClient {
    client: Client,
    secret: String,
}

impl MemberClient {
    pub fn new(client: Client, secret: String) -> Self {
        Self { client, secret }
    }

    /// Fetches the identity and state of the daemon at an address.
    ///
    /// # Errors
    /// [`Error::Transport`] when the daemon does not answer, [`Error::Decode`] when its answer is malformed.
    pub async fn fetch(&self, address: SocketAddr) -> Result<MemberReply> {
        let answer = self
            .client
            .get(format!("http://{address}{MEMBER_PATH}"))
            .header(SECRET_HEADER, &self.secret)
            .timeout(REQUEST_TIMEOUT)
            .send()
            .await
            .and_then(Response::error_for_status)
            .map_err(|error| transport(address, &error))?;
        let peer = address.to_string();
        let body = client::read_body(&peer, answer, client::MAX_MESSAGE_BYTES).await?;
        sync::decode("member reply", &body)
    }

    /// Announces the requester to a daemon and, if the request says so, asks for a seat as a learner.
    ///
    /// # Errors
    /// [`Error::Transport`] when the daemon does not answer, or with an error other than a refusal.
    pub async fn request_seat(
        &self,
        address: SocketAddr,
        request: &JoinRequest,
    ) -> Result<SeatAnswer> {
        let answer = self
            .client
            .post(format!("http://{address}{JOIN_PATH}"))
            .header(SECRET_HEADER, &self.secret)
            .timeout(REQUEST_TIMEOUT)
            .body(sync::encode(request)?)
            .send()
            .await
            .map_err(|error| transport(address, &error))?;
        let is_refused = answer.status() == StatusCode::MISDIRECTED_REQUEST;
        let answer = match answer.error_for_status_ref() {
            Err(error) if !is_refused => return Err(transport(address, &error)),
            _ => answer,
        };
        let peer = address.to_string();
        let body = client::read_body(&peer, answer, client::MAX_MESSAGE_BYTES).await?;
        // Daemons of earlier releases do not say whom they know; their bodies are empty or a page for people.
        let known = sync::decode("known members", &body).unwrap_or_default();
        Ok(if is_refused {
            SeatAnswer::Refused(known)
        } else {
            SeatAnswer::Accepted(known)
        })
    }
}

fn transport(peer: SocketAddr, error: &reqwest::Error) -> Error {
    Error::Transport {
        peer: peer.to_string(),
        reason: error.to_string(),
    }
}
