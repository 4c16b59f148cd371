use std::sync::Arc;

use spdlog::prelude::*;

use super::state::CoordinatorState;
use crate::{
    error::{Error, Result},
    ids::{DataCentreId, Revision},
    state::{Command, EvacuationChange, EvacuationOutcome, EvacuationState, Outcome},
    sync::ServingState,
    voter::VoterHandle,
};

/// Replicated store of the data centres that operators evacuate; see docs/design/evacuation.md.
pub struct EvacuationStore {
    state: Arc<CoordinatorState>,
    voter: VoterHandle,
}

impl EvacuationStore {
    /// Returns a store that writes to the log of a coordinator.
    #[must_use]
    pub fn new(state: Arc<CoordinatorState>) -> Self {
        Self {
            voter: state.voter.clone(),
            state,
        }
    }

    /// Evacuates a data centre or returns it to service. A repeat has no further effect. The start of an evacuation
    /// succeeds once each gateway has it in effect, or has no lease on an earlier revision; the end succeeds once it
    /// is committed.
    ///
    /// # Errors
    /// [`Error::NotLeader`] and [`Error::Refused`] when the log does not contain the change,
    /// [`Error::Unconfirmed`] when the change is not committed or not confirmed yet, or when a later order of the same
    /// data centre overtook it. Once the log may contain the change, all errors are of this kind.
    pub async fn set(&self, data_centre: &DataCentreId, state: EvacuationState) -> Result<()> {
        let read = self
            .voter
            .read(|applied| applied.evacuations().state(data_centre));
        let (known, revision) = read.await?;
        let (outcome, kind) = if known == state {
            (EvacuationOutcome::Done(revision), "repeated")
        } else {
            let change = EvacuationChange {
                data_centre: data_centre.clone(),
                state,
                expected: revision,
            };
            match self.voter.propose(Command::Evacuate(change)).await? {
                Outcome::Evacuate(outcome) => (outcome, "accepted"),
                other => {
                    let reason = format!("an evacuation had the result {other:?}");
                    return Err(Error::Unconfirmed { reason });
                }
            }
        };
        let EvacuationOutcome::Done(revision) = outcome else {
            info!("evacuation: overtaken", kv: {
                data_centre = data_centre.as_str(),
                state:? = state,
                expected = revision,
            });
            return Err(overtaken(data_centre));
        };
        info!("evacuation: accepted", kv: {
            data_centre = data_centre.as_str(),
            state:? = state,
            revision = revision,
            kind = kind,
        });
        match state {
            EvacuationState::Evacuated => self.await_gateways(data_centre, revision).await,
            EvacuationState::InService => Ok(()),
        }
    }

    /// Waits until all gateways have an evacuation in effect.
    async fn await_gateways(&self, data_centre: &DataCentreId, revision: Revision) -> Result<()> {
        let needed = ServingState::with_revision(revision);
        let basis = self.state.await_confirmation(needed).await?;
        let local = |applied: &crate::state::ControlState| applied.evacuations().state(data_centre);
        // The data centre may have been returned to service meanwhile. An acknowledgement now would say that it is
        // evacuated.
        if self.voter.read_local(local).0 != EvacuationState::Evacuated {
            return Err(overtaken(data_centre));
        }
        info!("evacuation: confirmed", kv: {
            data_centre = data_centre.as_str(),
            revision = revision,
            waited_ms = basis.waited.as_millis(),
            leased = basis.leased,
            unleased = basis.unleased,
            unleased_vms = basis.unleased_vms.as_str(),
        });
        Ok(())
    }
}

fn overtaken(data_centre: &DataCentreId) -> Error {
    Error::Unconfirmed {
        reason: format!("a later order for data centre {data_centre} was accepted"),
    }
}
