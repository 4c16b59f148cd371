use std::fmt;

use crate::{ids::TargetId, order::OrderAction};

/// Why a step is planned; part of the `place:` log line. The variants for loads are ordered by
/// urgency.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StepReason {
    /// The configuration pins the model or adapter.
    Pinned,
    /// Requests wait for a model or adapter that is not resident.
    Waiting,
    /// The model or adapter has no copy on an engine in service.
    Reachable,
    /// The configuration has another version than the resident copies.
    Version,
    /// The demand exceeds what the resident copies serve.
    Demand,
    /// A second copy, on another VM, for redundancy.
    Spare,
    /// The copy is unloaded to make room for another.
    Evicted,
    /// The copy is of an old version, or of a model or adapter that is no longer configured.
    Superseded,
}

impl fmt::Display for StepReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Waiting => "waiting",
            Self::Pinned => "pinned",
            Self::Reachable => "reachable",
            Self::Version => "version",
            Self::Demand => "demand",
            Self::Spare => "spare",
            Self::Evicted => "evicted",
            Self::Superseded => "superseded",
        })
    }
}

/// One planned order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementStep {
    /// Engine that receives the order.
    pub target: TargetId,
    /// What the engine is ordered to do.
    pub action: OrderAction,
    /// Reason for the step.
    pub reason: StepReason,
}

/// Steps of one plan, in the order in which they are started.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PlacementPlan {
    /// The steps, at most one for each engine. The next plan takes the result of the step into
    /// account.
    pub steps: Vec<PlacementStep>,
}
