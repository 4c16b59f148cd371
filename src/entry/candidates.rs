use std::sync::Arc;

use smallvec::SmallVec;

use super::view::EntryView;
use crate::{
    border::TargetConfig,
    ids::{ModelId, ServiceId, TargetId},
};

/// Targets that a request was sent to already.
pub type TriedTargets = SmallVec<[TargetId; 2]>;

/// The targets that can run a request.
#[derive(Clone, Debug)]
pub enum CandidatePool {
    /// Engines with a copy of the model or adapter.
    Model(ModelId),
    /// Targets of a plain service.
    Service(ServiceId),
}

impl CandidatePool {
    /// Targets that hold what the request needs and were not tried.
    pub fn candidates(&self, view: &EntryView, tried: &TriedTargets) -> Vec<Arc<TargetConfig>> {
        let usable = |target: &Arc<TargetConfig>| {
            !target.draining && !view.avoided.contains(&target.id) && !tried.contains(&target.id)
        };
        match self {
            Self::Model(model) => {
                let copies = view.residency.get(model).map_or(&[][..], Vec::as_slice);
                copies
                    .iter()
                    .filter_map(|(target, _)| view.index.target(target).cloned())
                    .filter(usable)
                    .collect()
            }
            Self::Service(service) => {
                let targets = view.index.service(service);
                targets
                    .iter()
                    .filter(|target| usable(target))
                    .cloned()
                    .collect()
            }
        }
    }

    /// Whether a target may appear while the request waits; a model is loaded on demand.
    pub fn can_appear(&self) -> bool {
        matches!(self, Self::Model(_))
    }
}
