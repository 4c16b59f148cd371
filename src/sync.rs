//! Messages between entry daemons and control daemons; see docs/design.md, section 7.

mod claims;
mod gateway;
mod load;
mod reply;
mod report;
mod request;

pub use claims::{CLAIMS_PATH, CRASHES_PATH, ClaimMessage, CommandReply, CrashMessage};
pub use gateway::{
    GATEWAY_SYNC_PATH, GatewayReply, GatewayReport, GrantReply, GrantRequest, ListVersion,
    ModelRequests, PlanUpdate, PublishedPlan, ServedModel, TargetList,
};
pub use load::{LoadMessage, LoadScope, LoadSum, LoadTopology, TargetHash, target_hash};
pub use reply::{
    AvoidedSection, ConfigSection, CrashSection, ResidencySection, ResidentModel, SyncReply,
    TargetLoad,
};
pub use report::{EngineReport, ResidentCopy};
pub use request::{ModelDemand, SyncRequest, TargetObservation, TargetReport};

use serde::{Serialize, de::DeserializeOwned};

use crate::error::{Error, Result};

/// Path of the sync call on the system port.
pub const SYNC_PATH: &str = "/sync/v1";
/// Header that carries the system secret between the system's own processes.
pub const SECRET_HEADER: &str = "x-waxwing-secret";

/// Encodes a message between the system's own processes.
///
/// Field names are part of the encoding, so that daemons of two releases understand each other
/// while an upgrade is under way.
///
/// # Errors
/// [`Error::Decode`] when the message cannot be encoded.
pub fn encode<M: Serialize>(message: &M) -> Result<Vec<u8>> {
    rmp_serde::to_vec_named(message).map_err(|error| Error::Decode {
        what: "message",
        reason: error.to_string(),
    })
}

/// Encodes a message of a few bytes that must fit a packet. Fields are told apart by their order, so
/// that only daemons of one release understand each other.
///
/// # Errors
/// [`Error::Decode`] when the message cannot be encoded.
pub fn encode_compact<M: Serialize>(message: &M) -> Result<Vec<u8>> {
    rmp_serde::to_vec(message).map_err(|error| Error::Decode {
        what: "message",
        reason: error.to_string(),
    })
}

/// Decodes a message between the system's own processes.
///
/// # Errors
/// [`Error::Decode`] when the bytes are not such a message.
pub fn decode<M: DeserializeOwned>(what: &'static str, bytes: &[u8]) -> Result<M> {
    rmp_serde::from_slice(bytes).map_err(|error| Error::Decode {
        what,
        reason: error.to_string(),
    })
}
