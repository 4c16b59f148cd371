use std::{cmp::Reverse, sync::Arc};

use super::{
    PlacementPlanner, StepReason,
    draft::{CopyLocation, PlanDraft},
    planner::to_usize,
    versions::has_current_base,
};
use crate::{
    border::{AdapterConfig, ResidencyPolicy},
    fleet::FleetIndex,
    sync::ResidentCopy,
};

impl PlacementPlanner {
    /// Loads adapters that have no usable copy onto engines that hold their model. Adapters with
    /// waiting requests come first, then pinned ones, then those with the highest demand. Where no
    /// engine has room, a waiting or pinned adapter causes the eviction of an on-demand adapter
    /// without waiting requests.
    pub(super) fn place_adapters(&self, index: &FleetIndex, draft: &mut PlanDraft) {
        let mut missing: Vec<Arc<AdapterConfig>> = index
            .adapters()
            .filter(|adapter| is_missing(adapter, index, draft))
            .map(Arc::clone)
            .collect();
        missing.sort_by_cached_key(|adapter| {
            let estimate = self.estimator.get(&adapter.id);
            let is_pinned = adapter.residency == ResidencyPolicy::Pinned;
            let rank = (
                Reverse(estimate.waiting),
                !is_pinned,
                Reverse(estimate.token_rate.to_bits()),
            );
            (rank, adapter.id.clone())
        });
        for adapter in missing {
            if draft.is_full() {
                return;
            }
            self.place_adapter(&adapter, index, draft);
        }
    }

    fn place_adapter(&self, adapter: &AdapterConfig, index: &FleetIndex, draft: &mut PlanDraft) {
        let estimate = self.estimator.get(&adapter.id);
        let reason = match adapter.residency {
            _ if estimate.waiting > 0 => StepReason::Waiting,
            ResidencyPolicy::Pinned => StepReason::Pinned,
            ResidencyPolicy::OnDemand => StepReason::Reachable,
        };
        let mut bases: Vec<CopyLocation> = draft
            .copies_of(&adapter.model)
            .filter(|location| draft.copy(*location).is_ready && draft.is_available(location.0))
            .filter(|location| {
                !self.is_eviction_pending(&draft.engines[location.0].id, &adapter.model)
            })
            .collect();
        bases.sort_by_key(|location| !has_current_base(location.0, &adapter.model, index, draft));
        let base_with_room = bases
            .iter()
            .copied()
            .find(|base| has_room(draft, *base, adapter.memory_mib));
        match base_with_room {
            Some(base) => draft.load(base.0, new_adapter_copy(adapter, draft.copy(base)), reason),
            None if matches!(reason, StepReason::Waiting | StepReason::Pinned) => {
                let idle_adapter = |base: &CopyLocation| self.idle_adapter(base.0, index, draft);
                if let Some(victim) = bases.iter().find_map(idle_adapter) {
                    draft.unload(victim, StepReason::Evicted);
                }
            }
            None => {}
        }
    }

    /// Finds the adapter with the lowest demand among those on an engine that may be evicted. The
    /// reload cost is not compared, since it is about the same for all adapters.
    fn idle_adapter(
        &self,
        engine: usize,
        index: &FleetIndex,
        draft: &PlanDraft,
    ) -> Option<CopyLocation> {
        let copies = draft.engines[engine].copies.iter().enumerate();
        copies
            .filter_map(|(copy_index, copy)| {
                let adapter = index.adapter(&copy.model)?;
                let estimate = self.estimator.get(&adapter.id);
                let is_idle =
                    adapter.residency == ResidencyPolicy::OnDemand && estimate.waiting == 0;
                is_idle.then_some((estimate.token_rate.to_bits(), (engine, copy_index)))
            })
            .min()
            .map(|(_, location)| location)
    }
}

/// Returns whether an adapter needs another copy: it has none, or none on an engine with the
/// configured version of its model although that version is ready on some engine.
fn is_missing(adapter: &AdapterConfig, index: &FleetIndex, draft: &PlanDraft) -> bool {
    let mut copies = draft
        .copies_of_version(&adapter.id, &adapter.version)
        .peekable();
    if copies.peek().is_none() {
        return true;
    }
    let is_current = |engine: usize| has_current_base(engine, &adapter.model, index, draft);
    let has_base = draft
        .copies_of(&adapter.model)
        .any(|base| is_current(base.0));
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

fn has_room(draft: &PlanDraft, base: CopyLocation, memory_mib: u64) -> bool {
    let copy = draft.copy(base);
    let free_mib = &draft.engines[base.0].free_mib;
    let window = free_mib
        .iter()
        .skip(to_usize(copy.first_accelerator))
        .take(to_usize(copy.span));
    window.copied().all(|free| free >= memory_mib)
}
