use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use spdlog::prelude::*;

use super::plan_lease::PlanStanding;
use crate::plan::PlanVersion;

/// What requests last ran by: the standing of the plan, and whether the lack of a leader had to be proved for it.
type StandingBasis = (PlanStanding, bool);

/// Logs each change of what a gateway may do by its plan.
#[derive(Debug, Default)]
pub struct StandingWatch {
    last: Mutex<Option<StandingBasis>>,
}

impl StandingWatch {
    /// Records the standing that a request was matched under. `was_leaderless` tells that it rests on a proof that
    /// nothing was acknowledged.
    pub fn record(
        &self,
        standing: PlanStanding,
        was_leaderless: bool,
        plan: PlanVersion,
        proof_age: Option<Duration>,
    ) {
        let basis = (standing, was_leaderless);
        let mut last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        if last.replace(basis) == Some(basis) {
            return;
        }
        info!("gateway: the standing of the plan has changed", kv: {
            standing:? = standing,
            was_leaderless = was_leaderless,
            plan = plan,
            proof_age_ms:? = proof_age.map(|age| age.as_millis()),
        });
    }
}
