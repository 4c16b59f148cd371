use std::fmt;

use crate::{ids::TargetId, order::OrderAction};

/// Why a step is taken; part of the `place:` log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StepReason {
    /// The configuration pins the model or adapter.
    Pinned,
    /// Callers wait for a model that is not resident.
    Waiting,
    /// The model has no copy that lasts.
    Reachable,
    /// The configuration asks for another version.
    Version,
    /// Demand needs another copy.
    Demand,
    /// A copy on a second VM or data centre.
    Spare,
    /// The copy makes room for one that is worth more.
    Evicted,
    /// The copy is of a version that is no longer wanted, or not configured any more.
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

/// One order that the plan asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementStep {
    /// Engine that is to receive the order.
    pub target: TargetId,
    /// What the engine is to do.
    pub action: OrderAction,
    /// Why.
    pub reason: StepReason,
}

/// Steps in the order in which they should be taken.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PlacementPlan {
    /// The steps; at most one for each engine, since the next plan sees what became of it.
    pub steps: Vec<PlacementStep>,
}
