use std::collections::{HashMap, HashSet};

use super::{PlacementStep, StepReason, engine::EngineState};
use crate::{
    ids::{ModelId, TargetId, VersionId},
    order::OrderAction,
    placement::EngineCapacity,
    sync::ResidentCopy,
};

/// Location of a copy: the index of the engine and the index of the copy on it.
pub(super) type CopyLocation = (usize, usize);

/// A plan under construction. Each step is applied to the engines at once, so that later steps
/// take it into account.
pub(super) struct PlanDraft {
    pub engines: Vec<EngineCapacity>,
    by_model: HashMap<ModelId, Vec<CopyLocation>>,
    /// Engines that accept no step in this plan: those with a step already, and those that are busy
    /// or out of service.
    unavailable: HashSet<usize>,
    steps: Vec<PlacementStep>,
    max_steps: usize,
}

impl PlanDraft {
    pub fn new(engines: &[EngineCapacity], max_steps: usize) -> Self {
        let mut by_model: HashMap<ModelId, Vec<CopyLocation>> = HashMap::new();
        for (engine_index, engine) in engines.iter().enumerate() {
            for (copy_index, copy) in engine.copies.iter().enumerate() {
                by_model
                    .entry(copy.model.clone())
                    .or_default()
                    .push((engine_index, copy_index));
            }
        }
        let unavailable = engines
            .iter()
            .enumerate()
            .filter(|(_, engine)| engine.state != EngineState::Available)
            .map(|(index, _)| index)
            .collect();
        Self {
            engines: engines.to_vec(),
            by_model,
            unavailable,
            steps: Vec::new(),
            max_steps,
        }
    }

    pub fn into_steps(self) -> Vec<PlacementStep> {
        self.steps
    }

    pub fn is_full(&self) -> bool {
        self.steps.len() >= self.max_steps
    }

    /// Returns whether an engine accepts a step in this plan.
    pub fn is_available(&self, engine: usize) -> bool {
        !self.unavailable.contains(&engine)
    }

    pub fn copy(&self, location: CopyLocation) -> &ResidentCopy {
        &self.engines[location.0].copies[location.1]
    }

    /// Returns the locations of a model's copies, without those that the plan unloads and those on
    /// engines out of service.
    pub fn copies_of(&self, model: &ModelId) -> impl Iterator<Item = CopyLocation> + '_ {
        let locations = self.by_model.get(model).map_or(&[][..], Vec::as_slice);
        locations
            .iter()
            .copied()
            .filter(|(engine, _)| self.engines[*engine].state != EngineState::OutOfService)
    }

    /// Returns the locations of the copies of one version of a model, as [`Self::copies_of`] does.
    pub fn copies_of_version<'d>(
        &'d self,
        model: &ModelId,
        version: &'d VersionId,
    ) -> impl Iterator<Item = CopyLocation> + 'd {
        self.copies_of(model)
            .filter(move |location| self.copy(*location).version == *version)
    }

    /// Returns whether an engine holds a copy of a model.
    pub fn holds(&self, engine: usize, model: &ModelId) -> bool {
        let locations = self.by_model.get(model).map_or(&[][..], Vec::as_slice);
        locations.iter().any(|(holder, _)| *holder == engine)
    }

    /// Adds a load step.
    pub fn load(&mut self, engine: usize, copy: ResidentCopy, reason: StepReason) {
        let model = copy.model.clone();
        let capacity = &mut self.engines[engine];
        capacity.add_copy(copy.clone());
        let location = (engine, capacity.copies.len() - 1);
        self.by_model.entry(model).or_default().push(location);
        self.push(engine, OrderAction::Load(copy), reason);
    }

    /// Adds an unload step. The memory stays reserved until the engine confirms the unload.
    pub fn unload(&mut self, location: CopyLocation, reason: StepReason) {
        let copy = self.copy(location).clone();
        if let Some(locations) = self.by_model.get_mut(&copy.model) {
            locations.retain(|other| *other != location);
        }
        self.push(location.0, OrderAction::Unload(copy), reason);
    }

    fn push(&mut self, engine: usize, action: OrderAction, reason: StepReason) {
        self.unavailable.insert(engine);
        let target: TargetId = self.engines[engine].id.clone();
        self.steps.push(PlacementStep {
            target,
            action,
            reason,
        });
    }
}
