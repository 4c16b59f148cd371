use std::{sync::Arc, time::Duration};

use rocket::{
    State,
    data::{Data, ToByteUnit},
    http::Status,
    post,
    request::{FromRequest, Outcome, Request},
};
use subtle::ConstantTimeEq;
use tokio::time::{Instant, timeout_at};

use super::sync_service::SyncService;
use crate::{
    sync::{self, SECRET_HEADER, SyncRequest},
    voter::{LeaderLease, VoterHandle},
};

/// Largest message that a peer may send, in MiB.
pub const MAX_MESSAGE_MIB: u64 = 16;
/// Longest time that a sync is held, whatever the entry asks.
const MAX_HOLD: Duration = Duration::from_millis(400);

/// Secret that the system's own processes share.
pub struct SystemSecret(pub String);

/// A request that carried the system secret.
pub struct SystemPeer;

#[rocket::async_trait]
impl<'r> FromRequest<'r> for SystemPeer {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, ()> {
        let expected = request.rocket().state::<SystemSecret>();
        let sent = request.headers().get_one(SECRET_HEADER);
        match (expected, sent) {
            (Some(secret), Some(sent))
                if bool::from(secret.0.as_bytes().ct_eq(sent.as_bytes())) =>
            {
                Outcome::Success(Self)
            }
            _ => Outcome::Error((Status::Unauthorized, ())),
        }
    }
}

/// Answers an entry's sync at once when there is news, else after the hold time.
#[post("/sync/v1", data = "<body>")]
pub async fn sync_entry(
    _peer: SystemPeer,
    body: Data<'_>,
    hub: &State<Arc<SyncService>>,
    voter: &State<VoterHandle>,
) -> Result<Vec<u8>, Status> {
    let bytes = body
        .open(MAX_MESSAGE_MIB.mebibytes())
        .into_bytes()
        .await
        .map_err(|_| Status::BadRequest)?;
    let mut request: SyncRequest =
        sync::decode("sync request", &bytes).map_err(|_| Status::BadRequest)?;
    let leads = || {
        voter
            .lease()
            .filter(LeaderLease::is_valid)
            .ok_or(Status::MisdirectedRequest)
    };
    let brings_allowance = hub.record(&mut request, leads()?);
    let deadline = Instant::now() + Duration::from_millis(request.hold_ms).min(MAX_HOLD);
    let mut residency = hub.watch();
    let mut applied = voter.watch_applied();
    while !brings_allowance && !hub.has_news(&request, leads()?) {
        let allowance = hub.hold_limit(&request, leads()?);
        let allowance = allowance.map_or(deadline, |limit| deadline.min(Instant::now() + limit));
        let change = async {
            tokio::select! {
                _ = residency.changed() => {}
                _ = applied.changed() => {}
            }
        };
        if timeout_at(allowance, change).await.is_err() {
            break;
        }
    }
    let lease = leads()?;
    let reply =
        sync::encode(&hub.reply(&request, lease)).map_err(|_| Status::InternalServerError)?;
    // The reply may have taken long to build; what it proves must still hold when it leaves.
    if lease.is_valid() {
        Ok(reply)
    } else {
        Err(Status::MisdirectedRequest)
    }
}
