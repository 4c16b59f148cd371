use std::{cmp::Reverse, sync::Arc};

use super::{
    PlacementPlanner, StepReason,
    board::{CopyPlace, PlacementBoard},
    planner::count,
    versions::has_current_base,
};
use crate::{
    border::{AdapterConfig, ResidencyPolicy},
    fleet::FleetIndex,
    sync::ResidentCopy,
};

impl PlacementPlanner {
    /// Loads adapters onto engines that hold their model: each adapter somewhere, those with
    /// waiting callers and pinned ones first. An adapter with less use makes room where there is
    /// none.
    pub(super) fn place_adapters(&self, index: &FleetIndex, board: &mut PlacementBoard) {
        let mut missing: Vec<Arc<AdapterConfig>> = index
            .adapters()
            .filter(|adapter| is_missing(adapter, index, board))
            .map(Arc::clone)
            .collect();
        missing.sort_by_cached_key(|adapter| {
            let demand = self.demand.get(&adapter.id);
            let is_pinned = adapter.residency == ResidencyPolicy::Pinned;
            let use_rank = (
                Reverse(demand.waiting),
                !is_pinned,
                Reverse(demand.rate.to_bits()),
            );
            (use_rank, adapter.id.clone())
        });
        for adapter in missing {
            if board.is_full() {
                return;
            }
            self.place_adapter(&adapter, index, board);
        }
    }

    fn place_adapter(
        &self,
        adapter: &AdapterConfig,
        index: &FleetIndex,
        board: &mut PlacementBoard,
    ) {
        let demand = self.demand.get(&adapter.id);
        let reason = match adapter.residency {
            _ if demand.waiting > 0 => StepReason::Waiting,
            ResidencyPolicy::Pinned => StepReason::Pinned,
            ResidencyPolicy::OnDemand => StepReason::Reachable,
        };
        let mut bases: Vec<CopyPlace> = board
            .lasting(&adapter.model)
            .filter(|place| board.copy(*place).is_ready && board.is_open(place.0))
            .filter(|place| !self.is_evicting(&board.engines[place.0].id, &adapter.model))
            .collect();
        bases.sort_by_key(|place| !has_current_base(place.0, &adapter.model, index, board));
        let room = bases
            .iter()
            .copied()
            .find(|base| has_room(board, *base, adapter.memory_mib));
        match room {
            Some(base) => board.load(base.0, new_adapter_copy(adapter, board.copy(base)), reason),
            None if matches!(reason, StepReason::Waiting | StepReason::Pinned) => {
                let idle = |base: &CopyPlace| self.idle_adapter(base.0, index, board);
                if let Some(victim) = bases.iter().find_map(idle) {
                    board.unload(victim, StepReason::Evicted);
                }
            }
            None => {}
        }
    }

    /// Finds the adapter on an engine that has the least use. All cost about the same to reload.
    fn idle_adapter(
        &self,
        engine: usize,
        index: &FleetIndex,
        board: &PlacementBoard,
    ) -> Option<CopyPlace> {
        let copies = board.engines[engine].copies.iter().enumerate();
        copies
            .filter_map(|(number, copy)| {
                let adapter = index.adapter(&copy.model)?;
                let demand = self.demand.get(&adapter.id);
                let is_idle = adapter.residency == ResidencyPolicy::OnDemand && demand.waiting == 0;
                is_idle.then_some((demand.rate.to_bits(), (engine, number)))
            })
            .min()
            .map(|(_, place)| place)
    }
}

/// An adapter is missing if it has no copy, or none beside the wanted version of its model
/// although that version is ready somewhere.
fn is_missing(adapter: &AdapterConfig, index: &FleetIndex, board: &PlacementBoard) -> bool {
    let mut copies = board
        .lasting_version(&adapter.id, &adapter.version)
        .peekable();
    if copies.peek().is_none() {
        return true;
    }
    let is_current = |engine: usize| has_current_base(engine, &adapter.model, index, board);
    let has_base = board.lasting(&adapter.model).any(|base| is_current(base.0));
    has_base && !copies.any(|copy| is_current(copy.0))
}

fn new_adapter_copy(adapter: &AdapterConfig, base: &ResidentCopy) -> ResidentCopy {
    ResidentCopy {
        model: adapter.id.clone(),
        version: adapter.version.clone(),
        first_accelerator: base.first_accelerator,
        span: base.span,
        memory_mib: adapter.memory_mib,
        is_ready: false,
    }
}

fn has_room(board: &PlacementBoard, base: CopyPlace, memory_mib: u64) -> bool {
    let copy = board.copy(base);
    let free = &board.engines[base.0].free_mib;
    let window = free
        .iter()
        .skip(count(copy.first_accelerator))
        .take(count(copy.span));
    window.copied().all(|free| free >= memory_mib)
}
