use std::sync::Arc;

use rocket::{
    State,
    data::{Data, ToByteUnit},
    http::Status,
    post,
};
use tokio::runtime::Handle;

use super::state::CoordinatorState;
use crate::{
    control::SystemPeer,
    error::Error,
    sync::{self, DelegateReport, GatewayReport},
};

/// Maximum size of a report.
const MAX_REPORT_MIB: u64 = 4;

/// Runtimes that answer syncs. The server that receives them has a runtime for the messages of the log, which
/// must not wait for syncs. Those of delegates must not wait for those of gateways, which delegates take over.
pub struct SyncRuntimes {
    gateways: Handle,
    delegates: Handle,
}

impl SyncRuntimes {
    /// Creates the runtimes of syncs of gateways and of delegates.
    #[must_use]
    pub fn new(gateways: Handle, delegates: &Handle) -> Self {
        Self {
            gateways,
            delegates: delegates.clone(),
        }
    }
}

/// Processes a gateway's report. A daemon that does not lead answers with the leader's address, unless it
/// answers in the leader's place.
#[post("/gateway/v1/sync", data = "<body>")]
pub async fn sync_gateway(
    _peer: SystemPeer,
    body: Data<'_>,
    state: &State<Arc<CoordinatorState>>,
    runtimes: &State<SyncRuntimes>,
) -> Result<Vec<u8>, (Status, Vec<u8>)> {
    let bytes = body.open(MAX_REPORT_MIB.mebibytes()).into_bytes().await;
    let bytes = bytes.map_err(|_| failure(Status::BadRequest))?;
    let state = Arc::clone(state);
    let answer = runtimes
        .gateways
        .spawn(async move { answer_gateway(&bytes, &state).await });
    let answer = answer.await;
    answer.unwrap_or_else(|_| Err(failure(Status::InternalServerError)))
}

async fn answer_gateway(
    bytes: &[u8],
    state: &CoordinatorState,
) -> Result<Vec<u8>, (Status, Vec<u8>)> {
    let report: GatewayReport =
        sync::decode("gateway report", bytes).map_err(|_| failure(Status::BadRequest))?;
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

fn failure(status: Status) -> (Status, Vec<u8>) {
    (status, Vec::new())
}

/// Processes a delegate's report.
#[post("/delegate/v1/sync", data = "<body>")]
pub async fn sync_delegate(
    _peer: SystemPeer,
    body: Data<'_>,
    state: &State<Arc<CoordinatorState>>,
    runtimes: &State<SyncRuntimes>,
) -> Result<Vec<u8>, Status> {
    let bytes = body.open(MAX_REPORT_MIB.mebibytes()).into_bytes().await;
    let bytes = bytes.map_err(|_| Status::BadRequest)?;
    let state = Arc::clone(state);
    let answer = runtimes
        .delegates
        .spawn(async move { answer_delegate(&bytes, &state) });
    answer.await.unwrap_or(Err(Status::InternalServerError))
}

fn answer_delegate(bytes: &[u8], state: &CoordinatorState) -> Result<Vec<u8>, Status> {
    let report: DelegateReport =
        sync::decode("delegate report", bytes).map_err(|_| Status::BadRequest)?;
    let reply = state.sync_delegate(&report);
    let reply = reply.map_err(|_| Status::MisdirectedRequest)?;
    sync::encode_compact(&reply).map_err(|_| Status::InternalServerError)
}
