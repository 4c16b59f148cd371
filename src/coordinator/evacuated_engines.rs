use std::collections::BTreeSet;

use spdlog::prelude::*;

use super::{engine_table::EngineTable, state::CoordinatorState};
use crate::{
    ids::DataCentreId,
    state::{ControlState, EvacuationState},
};

impl EngineTable {
    /// Sets the evacuated data centres. Copies on their engines no longer count, so that models get copies elsewhere,
    /// and the engines get no orders, so that they still hold their copies when they return to service.
    pub fn set_evacuated(&mut self, evacuated: &BTreeSet<DataCentreId>) {
        let mut changed = 0_usize;
        for view in self.engines.values_mut() {
            let evacuation = if evacuated.contains(&view.entry.data_centre) {
                EvacuationState::Evacuated
            } else {
                EvacuationState::InService
            };
            changed += usize::from(view.evacuation != evacuation);
            view.evacuation = evacuation;
        }
        if changed > 0 {
            info!("place: engines of evacuated data centres have changed", kv: {
                changed = changed,
                evacuated = evacuated.len(),
            });
        }
    }
}

impl CoordinatorState {
    /// Returns the data centres that the log names as evacuated.
    pub(super) fn evacuated_data_centres(&self) -> BTreeSet<DataCentreId> {
        let evacuated = |state: &ControlState| state.evacuations().evacuated().cloned().collect();
        self.voter.read_local(evacuated)
    }
}
