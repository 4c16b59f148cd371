use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{Incarnation, TargetId};

/// Short name of a target in load messages.
pub type TargetHash = u32;

/// Returns the short name of a target. Two targets of one name would only share their load.
#[must_use]
pub fn target_hash(target: &TargetId) -> TargetHash {
    crc32fast::hash(target.as_bytes())
}

/// Whom a gateway tells what it runs where, as the leader arranges it; see docs/platform.md.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum LoadTopology {
    /// The leader has not told yet.
    #[default]
    Unknown,
    /// Each gateway tells every other one; for small fleets.
    Direct {
        /// The other gateways.
        peers: Vec<SocketAddr>,
    },
    /// This gateway tells the relay of its data centre, and hears the sum of all others from it.
    Member {
        /// The relay.
        relay: SocketAddr,
    },
    /// This gateway adds up the loads of its data centre.
    Relay {
        /// The other gateways of the data centre.
        members: Vec<SocketAddr>,
        /// The relays of the other data centres.
        relays: Vec<SocketAddr>,
    },
}

/// Whose load a message tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum LoadScope {
    /// That of the sender.
    Own,
    /// That of all gateways in the sender's data centre.
    DataCentre,
    /// That of all gateways but the receiver.
    Others,
}

/// Load of one target. It is absolute, so that lost and repeated messages do no harm.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadSum {
    /// Requests that have not ended.
    pub running: u32,
    /// Prompt tokens of requests without a first byte.
    #[serde(rename = "unread_tokens")]
    pub prefill_tokens: u32,
}

/// What gateways tell each other over UDP: the loads that changed, and now and then all of them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadMessage {
    /// Life of the sender.
    pub incarnation: Incarnation,
    /// Grows with each message of the sender.
    pub serial: u64,
    /// Whose load it is.
    pub scope: LoadScope,
    /// The loads by target.
    pub loads: Vec<(TargetHash, LoadSum)>,
}
