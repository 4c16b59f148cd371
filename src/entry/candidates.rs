//! Which targets the view names for a request, whatever their load.

use smallvec::SmallVec;

use super::view::EntryView;
use crate::{ids::TargetId, route::PoolId};

/// Targets that a request was sent to already.
pub type TriedTargets = SmallVec<[TargetId; 2]>;

/// Whether a target of the pool is left that was not tried.
pub fn has_candidate(pool: &PoolId, view: &EntryView, tried: &TriedTargets) -> bool {
    let is_usable = |target: &TargetId| {
        let known = view.index.target(target);
        known.is_some_and(|target| !target.draining)
            && !view.avoided.contains(target)
            && !tried.contains(target)
    };
    match pool {
        PoolId::Model(model) => {
            let copies = view.residency.get(model).map_or(&[][..], Vec::as_slice);
            copies.iter().any(|(target, _)| is_usable(target))
        }
        PoolId::Service(service) => {
            let targets = view.index.service(service);
            targets.iter().any(|target| is_usable(&target.id))
        }
    }
}
