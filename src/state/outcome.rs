use serde::{Deserialize, Serialize};

use crate::ids::Revision;

/// What applying a command led to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    /// The command has no result.
    Done,
    /// Result of an apply request.
    Applied(ApplyOutcome),
}

/// Result of an operator's apply request, kept for resends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ApplyOutcome {
    /// The configuration was accepted as this revision.
    Accepted(Revision),
    /// Another configuration was accepted first; this is the current revision.
    Conflict(Revision),
    /// The request id was used for another configuration.
    RequestIdReused,
}
