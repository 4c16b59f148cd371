//! Targets eligible for a request according to the view, regardless of load.

use smallvec::SmallVec;

use super::view::EntryView;
use crate::{ids::TargetId, route::PoolId};

/// Targets to which a request has been sent already.
pub type TriedTargets = SmallVec<[TargetId; 2]>;

/// Whether the pool contains a usable target that was not tried yet.
pub fn has_candidate(pool: &PoolId, view: &EntryView, tried: &TriedTargets) -> bool {
    let is_eligible = |target: &TargetId| {
        let config = view.index.target(target);
        config.is_some_and(|config| !config.draining)
            && !view.avoided.contains(target)
            && !tried.contains(target)
    };
    match pool {
        PoolId::Model(model) => {
            let copies = view.residency.get(model).map_or(&[][..], Vec::as_slice);
            copies.iter().any(|(target, _)| is_eligible(target))
        }
        PoolId::Service(service) => {
            let targets = view.index.service(service);
            targets.iter().any(|target| is_eligible(&target.id))
        }
    }
}
