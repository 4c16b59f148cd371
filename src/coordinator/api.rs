use std::sync::Arc;

use rocket::{
    State,
    data::{Data, ToByteUnit},
    http::Status,
    post,
};

use super::state::CoordinatorState;
use crate::{
    control::SystemPeer,
    error::Error,
    sync::{self, DelegateReport, GatewayReport},
};

/// Maximum size of a report.
const MAX_REPORT_MIB: u64 = 4;

/// Processes a gateway's report. A daemon that does not lead answers with the leader's address.
#[post("/gateway/v1/sync", data = "<body>")]
pub async fn sync_gateway(
    _peer: SystemPeer,
    body: Data<'_>,
    state: &State<Arc<CoordinatorState>>,
) -> Result<Vec<u8>, (Status, Vec<u8>)> {
    let failure = |status: Status| (status, Vec::new());
    let bytes = body.open(MAX_REPORT_MIB.mebibytes()).into_bytes().await;
    let bytes = bytes.map_err(|_| failure(Status::BadRequest))?;
    let report: GatewayReport =
        sync::decode("gateway report", &bytes).map_err(|_| failure(Status::BadRequest))?;
    match state.sync(report).await {
        Ok(reply) => sync::encode(&reply).map_err(|_| failure(Status::InternalServerError)),
        Err(Error::NotLeader { .. }) => {
            let redirect = sync::encode(&state.redirect());
            let redirect = redirect.map_err(|_| failure(Status::InternalServerError))?;
            Err((Status::MisdirectedRequest, redirect))
        }
        Err(error) => Err((Status::InternalServerError, error.to_string().into_bytes())),
    }
}

/// Processes a delegate's report.
#[post("/delegate/v1/sync", data = "<body>")]
pub async fn sync_delegate(
    _peer: SystemPeer,
    body: Data<'_>,
    state: &State<Arc<CoordinatorState>>,
) -> Result<Vec<u8>, Status> {
    let bytes = body.open(MAX_REPORT_MIB.mebibytes()).into_bytes().await;
    let bytes = bytes.map_err(|_| Status::BadRequest)?;
    let report: DelegateReport =
        sync::decode("delegate report", &bytes).map_err(|_| Status::BadRequest)?;
    let reply = state.sync_delegate(&report);
    let reply = reply.map_err(|_| Status::MisdirectedRequest)?;
    sync::encode_compact(&reply).map_err(|_| Status::InternalServerError)
}
