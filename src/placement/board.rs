use std::collections::{HashMap, HashSet};

use super::{PlacementStep, StepReason, engine::EngineState};
use crate::{
    ids::{ModelId, TargetId, VersionId},
    order::OrderAction,
    placement::EngineCapacity,
    sync::ResidentCopy,
};

/// Position of a copy: the engine's number and the copy's number there.
pub(super) type CopyPlace = (usize, usize);

/// The engines while a plan is made. Each step is applied at once, so that the next one sees it.
pub(super) struct PlacementBoard {
    pub engines: Vec<EngineCapacity>,
    by_model: HashMap<ModelId, Vec<CopyPlace>>,
    /// Engines that got a step in this plan, and those that can take none.
    taken: HashSet<usize>,
    steps: Vec<PlacementStep>,
    max_steps: usize,
}

impl PlacementBoard {
    pub fn new(engines: &[EngineCapacity], max_steps: usize) -> Self {
        let mut by_model: HashMap<ModelId, Vec<CopyPlace>> = HashMap::new();
        for (number, engine) in engines.iter().enumerate() {
            for (copy_number, copy) in engine.copies.iter().enumerate() {
                by_model
                    .entry(copy.model.clone())
                    .or_default()
                    .push((number, copy_number));
            }
        }
        let taken = engines
            .iter()
            .enumerate()
            .filter(|(_, engine)| engine.state != EngineState::Available)
            .map(|(number, _)| number)
            .collect();
        Self {
            engines: engines.to_vec(),
            by_model,
            taken,
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

    /// Tells whether an engine can take a step in this plan.
    pub fn is_open(&self, engine: usize) -> bool {
        !self.taken.contains(&engine)
    }

    pub fn copy(&self, place: CopyPlace) -> &ResidentCopy {
        &self.engines[place.0].copies[place.1]
    }

    /// Returns the places of a model's copies on engines that last.
    pub fn lasting(&self, model: &ModelId) -> impl Iterator<Item = CopyPlace> + '_ {
        let places = self.by_model.get(model).map_or(&[][..], Vec::as_slice);
        places
            .iter()
            .copied()
            .filter(|(engine, _)| self.engines[*engine].state != EngineState::OutOfService)
    }

    /// Returns the places of the copies of one version on engines that last.
    pub fn lasting_version<'b>(
        &'b self,
        model: &ModelId,
        version: &'b VersionId,
    ) -> impl Iterator<Item = CopyPlace> + 'b {
        self.lasting(model)
            .filter(move |place| self.copy(*place).version == *version)
    }

    /// Tells whether an engine holds any copy of a model.
    pub fn holds(&self, engine: usize, model: &ModelId) -> bool {
        let places = self.by_model.get(model).map_or(&[][..], Vec::as_slice);
        places.iter().any(|(number, _)| *number == engine)
    }

    /// Adds a load step.
    pub fn load(&mut self, engine: usize, copy: ResidentCopy, reason: StepReason) {
        let model = copy.model.clone();
        let room = &mut self.engines[engine];
        room.add_copy(copy.clone());
        let place = (engine, room.copies.len() - 1);
        self.by_model.entry(model).or_default().push(place);
        self.push(engine, OrderAction::Load(copy), reason);
    }

    /// Adds an unload step. The memory stays taken until the engine confirms.
    pub fn unload(&mut self, place: CopyPlace, reason: StepReason) {
        let copy = self.copy(place).clone();
        if let Some(places) = self.by_model.get_mut(&copy.model) {
            places.retain(|other| *other != place);
        }
        self.push(place.0, OrderAction::Unload(copy), reason);
    }

    fn push(&mut self, engine: usize, action: OrderAction, reason: StepReason) {
        self.taken.insert(engine);
        let target: TargetId = self.engines[engine].id.clone();
        self.steps.push(PlacementStep {
            target,
            action,
            reason,
        });
    }
}
