//! Messages between entry daemons and control daemons, and between gateways and coordinators; see
//! docs/design.md, section 7.

mod awaited;
mod claims;
mod delegate;
mod gateway;
mod load;
mod neighbour;
mod parts;
mod plan_news;
mod redirect;
mod reply;
mod report;
mod request;
mod serving_state;
mod streams;
mod waiting;

pub use awaited::AwaitedModel;
pub use claims::{CLAIMS_PATH, CRASHES_PATH, ClaimMessage, CommandReply, CrashMessage};
pub use delegate::{
    DELEGATE_SYNC_PATH, DelegateReply, DelegateReport, DelegatedGateway, GatewayRoster,
    PolledEngine, RosterEntry,
};
pub use gateway::{
    GATEWAY_SYNC_PATH, GatewayReply, GatewayReport, GrantReply, GrantRequest, ListVersion,
    ModelRequests, PlanUpdate, PublishedPlan, ServedModel, SyncSerial, TargetDigest, TargetList,
};
pub use load::{LoadMessage, LoadScope, LoadSum, LoadTopology, TargetHash, target_hash};
pub use neighbour::Neighbour;
pub use parts::{
    CompletedPart, CrashEvidence, CrashedPart, PartKind, PartSection, SuspectPart, TargetCrash,
};
pub use plan_news::{PlanConfirmation, PlanNews};
pub use redirect::{AbsenceReport, LeaderRedirect};
pub use reply::{
    AvoidedSection, ConfigSection, CrashSection, ResidencySection, ResidentModel, SyncReply,
    TargetLoad,
};
pub use report::{EngineReport, ResidentCopy};
pub use request::{ModelDemand, SyncRequest, TargetObservation, TargetReport};
pub use serving_state::{EvacuationSection, ServingState};
pub use streams::{StreamAnswer, StreamOrigin, StreamQuery, StreamStart, VersionObservation};
pub use waiting::{PoolHash, WaitSum, pool_hash};

use serde::{Serialize, de::DeserializeOwned};

use crate::error::{Error, Result};

/// Path of an entry's sync on the system port.
pub const SYNC_PATH: &str = "/sync/v1";
/// Header that authenticates the system's own processes to each other by the system secret.
pub const SECRET_HEADER: &str = "x-waxwing-secret";
/// Header with the system address of the leader, in a control daemon's answer that it does not lead.
pub const LEADER_HEADER: &str = "x-waxwing-leader";

/// Encodes a message between the system's own processes as `MessagePack` with field names.
///
/// The field names let daemons of two releases decode each other's messages during a rolling
/// upgrade.
///
/// # Errors
/// [`Error::Decode`] when the message cannot be encoded.
pub fn encode<M: Serialize>(message: &M) -> Result<Vec<u8>> {
    rmp_serde::to_vec_named(message).map_err(|error| Error::Decode {
        what: "message",
        reason: error.to_string(),
    })
}

/// Encodes a message whose size matters, such as a UDP packet, as `MessagePack` without field names.
///
/// Fields are identified by their position, so only daemons of the same release can decode each
/// other's messages.
///
/// # Errors
/// [`Error::Decode`] when the message cannot be encoded.
pub fn encode_compact<M: Serialize>(message: &M) -> Result<Vec<u8>> {
    rmp_serde::to_vec(message).map_err(|error| Error::Decode {
        what: "message",
        reason: error.to_string(),
    })
}

/// Decodes a message from [`encode`] or [`encode_compact`]. `what` names the message in the error.
///
/// # Errors
/// [`Error::Decode`] when the bytes are not a message of type `M`.
pub fn decode<M: DeserializeOwned>(what: &'static str, bytes: &[u8]) -> Result<M> {
    rmp_serde::from_slice(bytes).map_err(|error| Error::Decode {
        what,
        reason: error.to_string(),
    })
}
