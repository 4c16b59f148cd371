use std::{sync::Arc, time::Duration};

use rocket::{
    State,
    data::{Data, ToByteUnit},
    fairing::{AdHoc, Fairing},
    http::{Header, Status},
    post,
    request::{FromRequest, Outcome, Request},
};
use subtle::ConstantTimeEq;
use tokio::time::{Instant, timeout_at};

use super::sync_service::SyncService;
use crate::{
    sync::{self, LEADER_HEADER, SECRET_HEADER, SyncRequest},
    voter::{LeaderLease, VoterHandle},
};

/// Maximum size of a message from a peer, in MiB.
pub const MAX_MESSAGE_MIB: u64 = 16;
/// Maximum time that a sync is held, even if the entry requests more.
const MAX_HOLD: Duration = Duration::from_millis(400);

/// Secret shared by the system's own processes.
pub struct SystemSecret(pub String);

/// Request guard for requests with the system secret.
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

/// Names the leader that this daemon's voter follows in each answer that it does not lead. Entries may know only
/// daemons that do not.
pub fn name_leader() -> impl Fairing {
    AdHoc::on_response("leader", |request, response| {
        Box::pin(async move {
            // All messages of the log pass here as well.
            if response.status() != Status::MisdirectedRequest {
                return;
            }
            let voter = request.rocket().state::<VoterHandle>();
            if let Some(leader) = voter.and_then(VoterHandle::followed_leader) {
                response.set_header(Header::new(LEADER_HEADER, leader.to_string()));
            }
        })
    })
}

/// Replies to an entry's sync at once if there is an urgent change, otherwise after the hold time.
#[post("/sync/v1", data = "<body>")]
pub async fn sync_entry(
    _peer: SystemPeer,
    body: Data<'_>,
    service: &State<Arc<SyncService>>,
    voter: &State<VoterHandle>,
) -> Result<Vec<u8>, Status> {
    let bytes = body
        .open(MAX_MESSAGE_MIB.mebibytes())
        .into_bytes()
        .await
        .map_err(|_| Status::BadRequest)?;
    let mut request: SyncRequest =
        sync::decode("sync request", &bytes).map_err(|_| Status::BadRequest)?;
    let valid_lease = || {
        voter
            .lease()
            .filter(LeaderLease::is_valid)
            .ok_or(Status::MisdirectedRequest)
    };
    let arrived_at = Instant::now();
    let has_grant = service.record(&mut request, valid_lease()?);
    let deadline = Instant::now() + Duration::from_millis(request.hold_ms).min(MAX_HOLD);
    let mut changes = service.watch();
    let mut applied = voter.watch_applied();
    while !has_grant && !service.has_urgent_change(&request, valid_lease()?) {
        let remaining = service.time_to_next_grant(&request, valid_lease()?);
        let wake_at = remaining.map_or(deadline, |time| deadline.min(Instant::now() + time));
        let change = async {
            tokio::select! {
                _ = changes.changed() => {}
                _ = applied.changed() => {}
            }
        };
        if timeout_at(wake_at, change).await.is_err() {
            break;
        }
    }
    let lease = valid_lease()?;
    let mut reply = service.reply(&request, lease);
    let held_ms = u32::try_from(arrived_at.elapsed().as_millis()).unwrap_or(u32::MAX);
    for grant in &mut reply.grants {
        grant.held_ms = held_ms;
    }
    let reply = sync::encode(&reply).map_err(|_| Status::InternalServerError)?;
    // Building the reply may take long; the lease that it confirms must still hold when it is sent.
    if lease.is_valid() {
        Ok(reply)
    } else {
        Err(Status::MisdirectedRequest)
    }
}
