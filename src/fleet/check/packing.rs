use std::cmp::Reverse;

use crate::border::{FleetConfig, ModelConfig, TargetKind};

/// Trial placement of models and adapters on the engines in service.
#[derive(Clone)]
pub(super) struct EnginePacking<'c> {
    engines: Vec<EngineMemory<'c>>,
}

#[derive(Clone)]
struct EngineMemory<'c> {
    free_mib: Vec<u64>,
    copies: Vec<PlacedCopy<'c>>,
}

#[derive(Clone)]
struct PlacedCopy<'c> {
    model: &'c str,
    /// Index of the first accelerator that the copy occupies.
    first_accelerator: usize,
    span: usize,
}

/// Policy that selects among the engines with enough free memory.
#[derive(Clone, Copy, Debug)]
pub(super) enum FitPolicy {
    /// First fit, in configuration order.
    First,
    /// Best fit: the engine with the least free memory.
    Best,
    /// Worst fit: the engine with the most free memory.
    Worst,
}

impl<'c> EnginePacking<'c> {
    /// Starts with empty engines; draining engines are excluded.
    pub(super) fn new(config: &'c FleetConfig) -> Self {
        let engines = config
            .targets
            .iter()
            .filter(|target| target.kind == TargetKind::Engine && !target.draining)
            .map(|target| EngineMemory {
                free_mib: vec![target.accelerator_memory_mib; target.accelerators as usize],
                copies: Vec::new(),
            })
            .collect();
        Self { engines }
    }

    /// Counts the engines with room for a copy of the model and `reserved_mib` of adapters.
    pub(super) fn count_engines_with_room(&self, model: &ModelConfig, reserved_mib: u64) -> usize {
        let size = model.memory_mib.saturating_add(reserved_mib);
        let span = model.span as usize;
        let has_room = |engine: &&EngineMemory| engine.find_span(span, size).is_some();
        self.engines.iter().filter(has_room).count()
    }

    /// Places a copy on an engine without a copy of the model and with room for `reserved_mib` of
    /// adapters in addition. Returns whether an engine was found.
    pub(super) fn place(
        &mut self,
        model: &'c ModelConfig,
        reserved_mib: u64,
        policy: FitPolicy,
    ) -> bool {
        let size = model.memory_mib.saturating_add(reserved_mib);
        let span = model.span as usize;
        let candidates = self.engines.iter_mut().filter_map(|engine| {
            let has_no_copy = engine.copies.iter().all(|copy| copy.model != model.id);
            let first_accelerator = has_no_copy
                .then(|| engine.find_span(span, size))
                .flatten()?;
            Some((engine, first_accelerator))
        });
        let free_mib = |engine: &EngineMemory| engine.free_mib.iter().sum::<u64>();
        let selected = match policy {
            FitPolicy::First => candidates.into_iter().next(),
            FitPolicy::Best => candidates.min_by_key(|(engine, _)| free_mib(engine)),
            FitPolicy::Worst => candidates.min_by_key(|(engine, _)| Reverse(free_mib(engine))),
        };
        let Some((engine, first_accelerator)) = selected else {
            return false;
        };
        engine.reserve(first_accelerator, span, model.memory_mib);
        engine.copies.push(PlacedCopy {
            model: &model.id,
            first_accelerator,
            span,
        });
        true
    }

    /// Places an adapter on the accelerators of a copy of its model. Returns whether it fits.
    pub(super) fn place_adapter(&mut self, model: &str, memory_mib: u64) -> bool {
        for engine in &mut self.engines {
            let found = engine.copies.iter().find(|copy| {
                copy.model == model
                    && engine.has_room(copy.first_accelerator, copy.span, memory_mib)
            });
            if let Some(PlacedCopy {
                first_accelerator,
                span,
                ..
            }) = found.cloned()
            {
                engine.reserve(first_accelerator, span, memory_mib);
                return true;
            }
        }
        false
    }

    /// Returns whether an adapter fits on the accelerators of a placed copy of its model.
    pub(super) fn has_adapter_room(&self, model: &str, memory_mib: u64) -> bool {
        self.engines.iter().any(|engine| {
            engine.copies.iter().any(|copy| {
                copy.model == model
                    && engine.has_room(copy.first_accelerator, copy.span, memory_mib)
            })
        })
    }

    /// Returns whether a copy of the model is placed.
    pub(super) fn has_copy(&self, model: &str) -> bool {
        let mut copies = self.engines.iter().flat_map(|engine| &engine.copies);
        copies.any(|copy| copy.model == model)
    }
}

impl EngineMemory<'_> {
    fn has_room(&self, first_accelerator: usize, span: usize, memory_mib: u64) -> bool {
        let free = self
            .free_mib
            .get(first_accelerator..first_accelerator + span);
        free.is_some_and(|free| free.iter().all(|free| *free >= memory_mib))
    }

    fn find_span(&self, span: usize, memory_mib: u64) -> Option<usize> {
        (0..self.free_mib.len())
            .find(|first_accelerator| self.has_room(*first_accelerator, span, memory_mib))
    }

    fn reserve(&mut self, first_accelerator: usize, span: usize, memory_mib: u64) {
        for free in &mut self.free_mib[first_accelerator..first_accelerator + span] {
            *free -= memory_mib;
        }
    }
}
