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
    /// Time that is added while it is proved that there is no leader, since nothing is acknowledged then.
    pub leaderless_time: Duration,
}

/// Time in which a plan that a gateway lacks may have been acknowledged and have to be in force by now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DoubtfulTime {
    /// Age of its start, when the gateway's last lease ended.
    pub began_ago: Duration,
    /// Age of its end.
    pub ended_ago: Duration,
}

impl PlanLease {
    /// Returns what a gateway may do whose plan was proved `proof_age` ago. `was_leaderless` tells whether
    /// it is proved that nothing was acknowledged in a time.
    #[must_use]
    pub fn standing(
        &self,
        proof_age: Option<Duration>,
        was_leaderless: impl FnOnce(DoubtfulTime) -> bool,
    ) -> PlanStanding {
        let doubtful = |age: Duration| DoubtfulTime {
            began_ago: age.saturating_sub(self.length),
            ended_ago: self.apply_time,
        };
        let running = self.length + self.apply_time;
        match proof_age {
            Some(age) if age < self.length => PlanStanding::Leased,
            Some(age) if age < running => PlanStanding::Running,
            Some(age) if age < running + self.leaderless_time && was_leaderless(doubtful(age)) => {
                PlanStanding::Running
            }
            _ => PlanStanding::Outdated,
        }
    }
}
