use std::time::Duration;

/// What a gateway may do by its plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlanStanding {
    /// No newer plan that the gateway lacks is acknowledged: it runs requests, and may say that a route
    /// or key is unknown.
    Leased,
    /// A newer plan may be acknowledged, but does not have to be in force yet: requests run.
    Running,
    /// A newer plan may have to be in force: no request runs.
    Outdated,
}

/// How long a gateway may go on without a proof that its plan is the newest one; see docs/design.md,
/// section 18.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlanLease {
    /// Time from the start of the sync that proved the plan in which no newer plan is acknowledged
    /// unless this gateway confirms it. It is the same at all coordinators.
    pub length: Duration,
    /// Time from the acknowledgement of a plan until it must be in force everywhere.
    pub apply_time: Duration,
    /// Time that is added while no coordinator knows a leader, since nothing is acknowledged then.
    pub leaderless_time: Duration,
}

impl PlanLease {
    /// Returns what a gateway may do whose plan was proved `proof_age` ago.
    #[must_use]
    pub fn standing(&self, proof_age: Option<Duration>, is_leader_known: bool) -> PlanStanding {
        let running = self.length + self.apply_time;
        match proof_age {
            Some(age) if age < self.length => PlanStanding::Leased,
            Some(age) if age < running => PlanStanding::Running,
            Some(age) if !is_leader_known && age < running + self.leaderless_time => {
                PlanStanding::Running
            }
            _ => PlanStanding::Outdated,
        }
    }
}
