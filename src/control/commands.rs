use rocket::{
    data::{Data, ToByteUnit},
    http::Status,
};
use serde::de::DeserializeOwned;
use spdlog::prelude::*;

use super::system::MAX_MESSAGE_MIB;
use crate::{
    error::Error,
    state::Command,
    sync::{self, CommandReply},
    voter::{LeaderLease, VoterHandle},
};

/// Reads a message of an entry; the reply is 400 if it is malformed and 421 if this daemon does not lead.
pub async fn read_message<M: DeserializeOwned>(
    name: &'static str,
    body: Data<'_>,
    voter: &VoterHandle,
) -> Result<M, Status> {
    let bytes = body
        .open(MAX_MESSAGE_MIB.mebibytes())
        .into_bytes()
        .await
        .map_err(|_| Status::BadRequest)?;
    let message: M = sync::decode(name, &bytes).map_err(|error| {
        warn!("sync: replying 400 to a malformed message: {error}");
        Status::BadRequest
    })?;
    if !voter
        .lease()
        .is_some_and(|lease| LeaderLease::is_valid(&lease))
    {
        return Err(Status::MisdirectedRequest);
    }
    Ok(message)
}

/// Proposes the command of a message and replies once it is applied.
///
/// The reply is 421 if this daemon does not lead, and 503 if the outcome is unknown; the sender may
/// resend the message in both cases.
pub async fn propose_message<M: DeserializeOwned>(
    name: &'static str,
    body: Data<'_>,
    voter: &VoterHandle,
    to_command: impl FnOnce(M) -> Command,
) -> Result<Vec<u8>, Status> {
    let message = read_message(name, body, voter).await?;
    propose_command(name, voter, to_command(message)).await
}

/// Proposes a command and replies once it is applied, as [`propose_message`].
pub async fn propose_command(
    name: &'static str,
    voter: &VoterHandle,
    command: Command,
) -> Result<Vec<u8>, Status> {
    let outcome = match voter.propose(command).await {
        Ok(outcome) => outcome,
        Err(Error::NotLeader { .. }) => return Err(Status::MisdirectedRequest),
        Err(error) => {
            warn!("sync: replying 503, the outcome of the {name} is unknown: {error}");
            return Err(Status::ServiceUnavailable);
        }
    };
    sync::encode(&CommandReply { outcome }).map_err(|_| Status::InternalServerError)
}
