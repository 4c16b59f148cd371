use super::{
    StepReason,
    board::{CopyPlace, PlacementBoard},
};
use crate::{border::AdapterConfig, fleet::FleetIndex, ids::ModelId};

/// Unloads copies that are not wanted any more: of models that are not configured, and of old
/// versions once the wanted version serves.
///
/// The last ready copy of any version stays until a copy of the wanted version is ready. Where
/// memory does not allow both versions anywhere, one of several old copies makes room.
pub(super) fn retire_copies(index: &FleetIndex, board: &mut PlacementBoard) {
    let places: Vec<CopyPlace> = (0..board.engines.len())
        .flat_map(|engine| (0..board.engines[engine].copies.len()).map(move |copy| (engine, copy)))
        .collect();
    for place in places {
        if board.is_full() {
            return;
        }
        if board.is_open(place.0) && is_superseded(place, index, board) {
            board.unload(place, StepReason::Superseded);
        }
    }
}

fn is_superseded(place: CopyPlace, index: &FleetIndex, board: &PlacementBoard) -> bool {
    let copy = board.copy(place);
    if let Some(adapter) = index.adapter(&copy.model) {
        return is_adapter_superseded(place, adapter, index, board);
    }
    if carries_adapter(place, index, board) {
        return false;
    }
    let Some(model) = index.model(&copy.model) else {
        return true;
    };
    if copy.version == model.version {
        return false;
    }
    let mut new_copies = board.lasting_version(&model.id, &model.version).peekable();
    if new_copies.peek().is_some() {
        return new_copies.any(|new| board.copy(new).is_ready);
    }
    // No room for both versions: one of several old copies makes room, the others serve.
    let fits = |engine: usize| {
        board.is_open(engine)
            && board.engines[engine]
                .best_fit(model.memory_mib, model.span)
                .is_some()
    };
    board.lasting(&model.id).count() > 1 && !(0..board.engines.len()).any(fits)
}

/// An adapter's copy goes when a ready copy of the wanted version stands beside a current copy of
/// its model, and this one does not.
fn is_adapter_superseded(
    place: CopyPlace,
    adapter: &AdapterConfig,
    index: &FleetIndex,
    board: &PlacementBoard,
) -> bool {
    let is_current = |place: CopyPlace| {
        board.copy(place).version == adapter.version
            && has_current_base(place.0, &adapter.model, index, board)
    };
    !is_current(place)
        && board
            .lasting(&adapter.id)
            .any(|other| is_current(other) && board.copy(other).is_ready)
}

/// Tells whether an engine holds a ready copy of the wanted version of a model.
pub(super) fn has_current_base(
    engine: usize,
    model: &ModelId,
    index: &FleetIndex,
    board: &PlacementBoard,
) -> bool {
    index.model(model).is_some_and(|model| {
        board
            .lasting_version(&model.id, &model.version)
            .any(|place| place.0 == engine && board.copy(place).is_ready)
    })
}

/// Tells whether an adapter on the same engine depends on this copy and no other.
pub(super) fn carries_adapter(
    place: CopyPlace,
    index: &FleetIndex,
    board: &PlacementBoard,
) -> bool {
    let model = &board.copy(place).model;
    let copies = &board.engines[place.0].copies;
    let same_model = copies.iter().filter(|copy| copy.model == *model).count();
    let depends = |id: &ModelId| {
        index
            .adapter(id)
            .is_some_and(|adapter| adapter.model == *model)
    };
    same_model == 1 && copies.iter().any(|copy| depends(&copy.model))
}
