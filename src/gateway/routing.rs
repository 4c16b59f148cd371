//! Conversion of models, targets and prompts to the types of the routing table.

use std::hash::{DefaultHasher, Hash, Hasher};

use compact_str::format_compact;
use smallvec::SmallVec;

use crate::{
    adapter::{PromptPart, TargetEntry},
    plan::PlanIndex,
    route::{PoolId, PrefixBlock, ReplicaSpec},
    sync::ServedModel,
};

/// Returns the pool of a model. Its name contains the service, since two services may hold the same
/// model.
pub fn model_pool(model: &ServedModel) -> PoolId {
    PoolId::Model(format_compact!("{}:{}", model.service, model.model))
}

/// Splits `model/adapter` into base model and adapter.
pub fn split_model(model: &str) -> (&str, Option<&str>) {
    match model.split_once('/') {
        Some((base, adapter)) => (base, Some(adapter)),
        None => (model, None),
    }
}

/// Returns the entry of a target for the routing table.
pub fn replica_spec(plan: &PlanIndex, entry: &TargetEntry) -> ReplicaSpec {
    let has_engine = plan
        .service(&entry.service)
        .is_some_and(|service| service.engine.is_some());
    let pools = if has_engine {
        let models = entry.models.iter().flat_map(|resident| {
            std::iter::once(resident.model.clone()).chain(resident.adapters.iter().cloned())
        });
        let pool = |model| {
            let model = ServedModel {
                service: entry.service.clone(),
                model,
            };
            (model_pool(&model), None)
        };
        models.map(pool).collect()
    } else {
        vec![(PoolId::Service(entry.service.clone()), None)]
    };
    ReplicaSpec {
        target: entry.id.clone(),
        data_centre: entry.data_centre.clone(),
        slots: entry.slots,
        pools,
    }
}

/// Returns the prefixes of a prompt for the choice of a target. The hash of a prefix covers the
/// model, since each model has its own cache, and all parts up to the end of the prefix.
pub fn prefix_blocks(model: &str, parts: &[PromptPart]) -> SmallVec<[PrefixBlock; 4]> {
    let mut hasher = DefaultHasher::new();
    model.hash(&mut hasher);
    let mut tokens = 0_u32;
    let blocks = parts.iter().map(|part| {
        part.hash.hash(&mut hasher);
        tokens = tokens.saturating_add(part.tokens);
        PrefixBlock {
            hash: hasher.finish(),
            tokens,
        }
    });
    blocks.collect()
}
