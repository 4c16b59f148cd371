use std::cmp::Reverse;

use crate::border::{FleetConfig, ModelConfig, TargetKind};

/// Free memory of the accelerators of the engines in service.
#[derive(Clone)]
pub(super) struct Packing<'c> {
    engines: Vec<EngineRoom<'c>>,
}

#[derive(Clone)]
struct EngineRoom<'c> {
    free_mib: Vec<u64>,
    copies: Vec<PlacedCopy<'c>>,
}

#[derive(Clone)]
struct PlacedCopy<'c> {
    model: &'c str,
    first: usize,
    span: usize,
}

/// Which engine is preferred among those with room.
#[derive(Clone, Copy, Debug)]
pub(super) enum PackingOrder {
    /// The first one in the order of the configuration.
    First,
    /// The one that keeps the least room.
    Tightest,
    /// The one that keeps the most room.
    Loosest,
}

impl<'c> Packing<'c> {
    /// Starts with empty engines; those that are being drained are left out.
    pub(super) fn new(config: &'c FleetConfig) -> Self {
        let engines = config
            .targets
            .iter()
            .filter(|target| target.kind == TargetKind::Engine && !target.draining)
            .map(|target| EngineRoom {
                free_mib: vec![target.accelerator_memory_mib; target.accelerators as usize],
                copies: Vec::new(),
            })
            .collect();
        Self { engines }
    }

    /// Returns the number of engines that have room for a copy with `extra_mib` of adapters.
    pub(super) fn count_room(&self, model: &ModelConfig, extra_mib: u64) -> usize {
        let size = model.memory_mib.saturating_add(extra_mib);
        let span = model.span as usize;
        let has_room = |engine: &&EngineRoom| engine.find(span, size).is_some();
        self.engines.iter().filter(has_room).count()
    }

    /// Places a copy on an engine that has none of the model, and leaves room for `extra_mib` of
    /// adapters beside it.
    pub(super) fn place(
        &mut self,
        model: &'c ModelConfig,
        extra_mib: u64,
        order: PackingOrder,
    ) -> bool {
        let size = model.memory_mib.saturating_add(extra_mib);
        let span = model.span as usize;
        let candidates = self.engines.iter_mut().filter_map(|engine| {
            let is_new = engine.copies.iter().all(|copy| copy.model != model.id);
            let first = is_new.then(|| engine.find(span, size)).flatten()?;
            Some((engine, first))
        });
        let room = |engine: &EngineRoom| engine.free_mib.iter().sum::<u64>();
        let chosen = match order {
            PackingOrder::First => candidates.into_iter().next(),
            PackingOrder::Tightest => candidates.min_by_key(|(engine, _)| room(engine)),
            PackingOrder::Loosest => candidates.min_by_key(|(engine, _)| Reverse(room(engine))),
        };
        let Some((engine, first)) = chosen else {
            return false;
        };
        engine.take(first, span, model.memory_mib);
        engine.copies.push(PlacedCopy {
            model: &model.id,
            first,
            span,
        });
        true
    }

    /// Places an adapter beside a copy of its model.
    pub(super) fn place_beside(&mut self, model: &str, memory_mib: u64) -> bool {
        for engine in &mut self.engines {
            let found = engine.copies.iter().find(|copy| {
                copy.model == model && engine.has_room(copy.first, copy.span, memory_mib)
            });
            if let Some(PlacedCopy { first, span, .. }) = found.cloned() {
                engine.take(first, span, memory_mib);
                return true;
            }
        }
        false
    }

    /// Tells whether an adapter has room beside a placed copy of its model.
    pub(super) fn has_room_beside(&self, model: &str, memory_mib: u64) -> bool {
        self.engines.iter().any(|engine| {
            engine.copies.iter().any(|copy| {
                copy.model == model && engine.has_room(copy.first, copy.span, memory_mib)
            })
        })
    }

    /// Tells whether a copy of the model is placed.
    pub(super) fn holds(&self, model: &str) -> bool {
        let mut copies = self.engines.iter().flat_map(|engine| &engine.copies);
        copies.any(|copy| copy.model == model)
    }
}

impl EngineRoom<'_> {
    fn has_room(&self, first: usize, span: usize, memory_mib: u64) -> bool {
        let free = self.free_mib.get(first..first + span);
        free.is_some_and(|free| free.iter().all(|free| *free >= memory_mib))
    }

    fn find(&self, span: usize, memory_mib: u64) -> Option<usize> {
        (0..self.free_mib.len()).find(|first| self.has_room(*first, span, memory_mib))
    }

    fn take(&mut self, first: usize, span: usize, memory_mib: u64) {
        for free in &mut self.free_mib[first..first + span] {
            *free -= memory_mib;
        }
    }
}
