use serde::{Deserialize, Serialize};

use crate::{
    border::FleetConfig,
    ids::{RequestId, Revision},
};

/// A change that is agreed on through the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Changes nothing; a new leader proposes it to commit the entries of earlier terms.
    Noop,
    /// Replaces the configuration.
    Apply(Box<ApplyRequest>),
}

/// An operator's request to replace the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ApplyRequest {
    /// Id under which a resend finds the first outcome.
    pub request_id: RequestId,
    /// Revision that the operator's change starts from.
    pub expected: Revision,
    /// The whole new configuration.
    pub config: FleetConfig,
}

/// A command with the time at which the leader proposed it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StampedCommand {
    /// Wall time of the proposing leader in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The change itself.
    pub command: Command,
}
