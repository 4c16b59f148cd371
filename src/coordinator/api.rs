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
    sync::{self, GatewayReport},
};

/// Largest report in MiB.
const MAX_REPORT_MIB: u64 = 4;

/// Answers a gateway's report. A daemon that does not lead answers with the leader's address.
#[post("/gateway/v1/sync", data = "<body>")]
pub async fn sync_gateway(
    _peer: SystemPeer,
    body: Data<'_>,
    desk: &State<Arc<CoordinatorState>>,
) -> Result<Vec<u8>, (Status, String)> {
    let failed = |status: Status| (status, String::new());
    let bytes = body.open(MAX_REPORT_MIB.mebibytes()).into_bytes().await;
    let bytes = bytes.map_err(|_| failed(Status::BadRequest))?;
    let report: GatewayReport =
        sync::decode("gateway report", &bytes).map_err(|_| failed(Status::BadRequest))?;
    match desk.sync(report).await {
        Ok(reply) => sync::encode(&reply).map_err(|_| failed(Status::InternalServerError)),
        Err(Error::NotLeader { leader }) => {
            Err((Status::MisdirectedRequest, leader.unwrap_or_default()))
        }
        Err(error) => Err((Status::InternalServerError, error.to_string())),
    }
}
