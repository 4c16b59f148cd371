//! Names that the routing table knows targets and prompts by.

use std::hash::{DefaultHasher, Hash, Hasher};

use compact_str::format_compact;
use smallvec::SmallVec;

use crate::{
    adapter::{PromptPart, TargetEntry},
    plan::PlanIndex,
    route::{PoolId, PrefixBlock, ReplicaSpec},
    sync::ServedModel,
};

/// Names the pool of a model within its service, since two services may hold the same model.
pub fn model_pool(model: &ServedModel) -> PoolId {
    PoolId::Model(format_compact!("{}:{}", model.service, model.model))
}

/// Splits `model/adapter`.
pub fn split_model(model: &str) -> (&str, Option<&str>) {
    match model.split_once('/') {
        Some((base, adapter)) => (base, Some(adapter)),
        None => (model, None),
    }
}

/// Describes a target to the routing table.
pub fn spec_of(plan: &PlanIndex, entry: &TargetEntry) -> ReplicaSpec {
    let has_engine = plan
        .service(&entry.service)
        .is_some_and(|service| service.engine.is_some());
    let pools = if has_engine {
        let models = entry.models.iter().flat_map(|held| {
            std::iter::once(held.model.clone()).chain(held.adapters.iter().cloned())
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

/// Returns the prefixes of a prompt for the choice of a target. The hash of a prefix covers all
/// parts up to its end, and the model, whose cache is its own.
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
