use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{PoolHash, WaitSum};
use crate::ids::{Incarnation, TargetId};

/// CRC-32 of a target's id, which identifies the target in load messages.
pub type TargetHash = u32;

/// Returns the hash that identifies a target in load messages. A collision of two targets only makes
/// them share one load.
#[must_use]
pub fn target_hash(target: &TargetId) -> TargetHash {
    crc32fast::hash(target.as_bytes())
}

/// Gateways that a gateway exchanges loads with, as assigned by the leader; see docs/platform.md.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum LoadTopology {
    /// The leader has not assigned a topology yet.
    #[default]
    Unknown,
    /// Each gateway sends its load to every other one; used in small fleets.
    Direct {
        /// Addresses of the other gateways.
        peers: Vec<SocketAddr>,
    },
    /// This gateway sends its load to the relay of its data centre, which returns the sum of the
    /// loads of all other gateways.
    Member {
        /// Address of the relay.
        relay: SocketAddr,
    },
    /// This gateway is the relay of its data centre and adds up the loads of its members.
    Relay {
        /// Addresses of the other gateways of the data centre.
        members: Vec<SocketAddr>,
        /// Addresses of the relays of the other data centres.
        relays: Vec<SocketAddr>,
    },
}

/// Gateways whose load a message sums up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum LoadScope {
    /// The sender alone.
    Own,
    /// All gateways of the sender's data centre.
    DataCentre,
    /// All gateways except the receiver.
    Others,
}

/// Load of one target. Values are absolute, not increments, so that lost and duplicate messages
/// cause no drift.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadSum {
    /// Requests that have not ended.
    pub running: u32,
    /// Prompt tokens of the requests that have not received a first byte.
    #[serde(rename = "unread_tokens")]
    pub prefill_tokens: u32,
}

/// UDP message between gateways with the loads that changed, and periodically with all loads.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadMessage {
    /// Incarnation of the sending process.
    pub incarnation: Incarnation,
    /// Serial number, which grows with each message of the sender.
    pub serial: u64,
    /// Gateways whose load is summed up.
    pub scope: LoadScope,
    /// Load per target.
    pub loads: Vec<(TargetHash, LoadSum)>,
    /// All pools that requests wait for; `None` when the message does not state them. Gateways of
    /// earlier releases send and accept only messages without this field.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub waiting: Option<Vec<(PoolHash, WaitSum)>>,
}
