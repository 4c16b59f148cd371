use super::{
    StepReason,
    draft::{CopyLocation, PlanDraft},
};
use crate::{border::AdapterConfig, fleet::FleetIndex, ids::ModelId};

/// Unloads copies that are no longer needed: those of models that are not configured, and those of
/// old versions once the configured version is ready.
///
/// The last ready copy of a model stays until a copy of the configured version is ready. If no
/// engine has memory for both versions, one of several old copies is unloaded.
pub(super) fn retire_copies(index: &FleetIndex, draft: &mut PlanDraft) {
    let locations: Vec<CopyLocation> = (0..draft.engines.len())
        .flat_map(|engine| (0..draft.engines[engine].copies.len()).map(move |copy| (engine, copy)))
        .collect();
    for location in locations {
        if draft.is_full() {
            return;
        }
        if draft.is_available(location.0) && is_superseded(location, index, draft) {
            draft.unload(location, StepReason::Superseded);
        }
    }
}

fn is_superseded(location: CopyLocation, index: &FleetIndex, draft: &PlanDraft) -> bool {
    let copy = draft.copy(location);
    if let Some(adapter) = index.adapter(&copy.model) {
        return is_adapter_superseded(location, adapter, index, draft);
    }
    if is_required_by_adapter(location, index, draft) {
        return false;
    }
    let Some(model) = index.model(&copy.model) else {
        return true;
    };
    if copy.version == model.version {
        return false;
    }
    let mut new_copies = draft
        .copies_of_version(&model.id, &model.version)
        .peekable();
    if new_copies.peek().is_some() {
        return new_copies.any(|new| draft.copy(new).is_ready);
    }
    // If no engine has room for both versions, one of several old copies is unloaded and the others
    // keep serving.
    let has_room = |engine: usize| {
        draft.is_available(engine)
            && draft.engines[engine]
                .best_fit(model.memory_mib, model.span)
                .is_some()
    };
    draft.copies_of(&model.id).count() > 1 && !(0..draft.engines.len()).any(has_room)
}

/// Returns whether a copy of an adapter can be unloaded: it is not current, and a current copy is
/// ready elsewhere. A current copy has the configured version and is on an engine with a ready copy
/// of the configured version of its model.
fn is_adapter_superseded(
    location: CopyLocation,
    adapter: &AdapterConfig,
    index: &FleetIndex,
    draft: &PlanDraft,
) -> bool {
    let is_current = |location: CopyLocation| {
        draft.copy(location).version == adapter.version
            && has_current_base(location.0, &adapter.model, index, draft)
    };
    !is_current(location)
        && draft
            .copies_of(&adapter.id)
            .any(|other| is_current(other) && draft.copy(other).is_ready)
}

/// Returns whether an engine holds a ready copy of the configured version of a model.
pub(super) fn has_current_base(
    engine: usize,
    model: &ModelId,
    index: &FleetIndex,
    draft: &PlanDraft,
) -> bool {
    index.model(model).is_some_and(|model| {
        draft
            .copies_of_version(&model.id, &model.version)
            .any(|location| location.0 == engine && draft.copy(location).is_ready)
    })
}

/// Returns whether an adapter on the same engine depends on this copy and on no other.
pub(super) fn is_required_by_adapter(
    location: CopyLocation,
    index: &FleetIndex,
    draft: &PlanDraft,
) -> bool {
    let model = &draft.copy(location).model;
    let copies = &draft.engines[location.0].copies;
    let copy_count = copies.iter().filter(|copy| copy.model == *model).count();
    let depends = |id: &ModelId| {
        index
            .adapter(id)
            .is_some_and(|adapter| adapter.model == *model)
    };
    copy_count == 1 && copies.iter().any(|copy| depends(&copy.model))
}
