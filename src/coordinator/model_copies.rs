use std::collections::HashMap;

use smallvec::SmallVec;

use super::engine_view::EngineView;
use crate::{adapter::LoadedModel, ids::ModelId, region::DataCentreFilter};

/// An engine with one of its models.
type ModelHolder<'e> = (&'e EngineView, &'e LoadedModel);

/// Index of the models and adapters that engines hold. It is built once per planning round: a
/// search of all engines for each model would cost the leader the product of both.
#[derive(Debug, Default)]
pub(super) struct ModelCopies<'e> {
    holders: HashMap<&'e str, SmallVec<[ModelHolder<'e>; 4]>>,
    /// Number of available engines that hold an adapter.
    adapters: HashMap<&'e str, usize>,
}

impl<'e> ModelCopies<'e> {
    /// Indexes what `engines` hold.
    pub fn count(engines: impl Iterator<Item = &'e EngineView>) -> Self {
        let mut copies = Self::default();
        for view in engines {
            for held in &view.routable_models {
                let holders = copies.holders.entry(held.model.as_str()).or_default();
                holders.push((view, held));
                for adapter in held.adapters.iter().filter(|_| view.is_available()) {
                    *copies.adapters.entry(adapter.as_str()).or_default() += 1;
                }
            }
        }
        copies
    }

    /// Returns the number of available engines that hold an adapter.
    pub fn of_adapter(&self, adapter: &ModelId) -> usize {
        self.adapters.get(adapter.as_str()).copied().unwrap_or(0)
    }

    /// Returns whether an available engine in one of the data centres holds an adapter of a model.
    pub fn has_adapter_in(
        &self,
        model: &str,
        adapter: &ModelId,
        filter: &DataCentreFilter,
    ) -> bool {
        let mut holders = self.holders(model);
        self.of_adapter(adapter) > 0
            && holders.any(|(view, held)| {
                view.is_available()
                    && filter.allows(&view.entry.data_centre)
                    && held.adapters.contains(adapter)
            })
    }

    /// Returns the engines that hold a model, whatever their state.
    pub fn holders(&self, model: &str) -> impl Iterator<Item = ModelHolder<'e>> {
        self.holders.get(model).into_iter().flatten().copied()
    }
}
