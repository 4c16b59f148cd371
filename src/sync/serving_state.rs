use std::fmt::{self, Display, Formatter};

use serde::{Deserialize, Serialize};

use crate::{
    ids::{DataCentreId, Revision},
    plan::PlanVersion,
};

/// What a gateway or coordinator serves by: its plan, and its revision of the evacuated data centres. One lease
/// covers both; see docs/design/evacuation.md.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ServingState {
    /// Version of the plan; 0 is none.
    pub plan_version: PlanVersion,
    /// Revision of the evacuated data centres; 0 before the first evacuation.
    pub evacuation_revision: Revision,
}

impl ServingState {
    /// Returns the state of a plan and a revision.
    #[must_use]
    pub const fn new(plan_version: PlanVersion, evacuation_revision: Revision) -> Self {
        Self {
            plan_version,
            evacuation_revision,
        }
    }

    /// Returns the state of a plan before the first evacuation. Each state with the plan or a newer one covers it.
    #[must_use]
    pub const fn with_plan(plan_version: PlanVersion) -> Self {
        Self::new(plan_version, 0)
    }

    /// Returns the state of a revision without a plan. Each state with the revision or a later one covers it.
    #[must_use]
    pub const fn with_revision(evacuation_revision: Revision) -> Self {
        Self::new(0, evacuation_revision)
    }

    /// Returns whether neither the plan nor the revision is older than that of another state.
    #[must_use]
    pub const fn covers(self, other: Self) -> bool {
        self.plan_version >= other.plan_version
            && self.evacuation_revision >= other.evacuation_revision
    }

    /// Returns the newer plan and the later revision of two states.
    #[must_use]
    pub fn join(self, other: Self) -> Self {
        Self {
            plan_version: self.plan_version.max(other.plan_version),
            evacuation_revision: self.evacuation_revision.max(other.evacuation_revision),
        }
    }

    /// Returns the older plan and the earlier revision of two states.
    #[must_use]
    pub fn meet(self, other: Self) -> Self {
        Self {
            plan_version: self.plan_version.min(other.plan_version),
            evacuation_revision: self.evacuation_revision.min(other.evacuation_revision),
        }
    }
}

impl Display for ServingState {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let (plan, revision) = (self.plan_version, self.evacuation_revision);
        write!(formatter, "plan {plan} and evacuation revision {revision}")
    }
}

/// All evacuated data centres, whose targets get no further requests.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EvacuationSection {
    /// Revision of the set.
    pub revision: Revision,
    /// The data centres.
    pub data_centres: Vec<DataCentreId>,
}
