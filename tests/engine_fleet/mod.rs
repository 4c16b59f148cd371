//! A fleet of engines of any size with demand for all its models, as the leader sees it.

use std::time::Duration;

use compact_str::format_compact;
use waxwinglatch::{
    adapter::{EngineStatus, LoadedModel, TargetEntry},
    coordinator::{EngineTable, GatewayTable},
    ids::{EntryKey, ModelId},
    plan::{EnginePlan, ModelPlan, PlanIndex, ServicePlan, ServingPlan},
    sync::{GatewayReport, ListVersion, ModelRequests, ServedModel},
};

pub const NOW: Duration = Duration::from_secs(60);
const ADAPTERS_PER_MODEL: u32 = 3;
const ENGINES_PER_MODEL: f64 = 0.58;
pub const SERVICE: &str = "drafter";

/// Returns the name of a model.
pub fn model(number: usize) -> ModelId {
    format_compact!("model-{number:04}")
}

fn adapter(number: usize, adapter: u32) -> ModelId {
    format_compact!("model-{number:04}/a{adapter}")
}

fn plan(models: usize) -> PlanIndex {
    let models = (0..models).map(|number| ModelPlan {
        id: model(number),
        weights_mb: 60_000.0,
        adapter_mb: 40.0,
        adapters: (0..ADAPTERS_PER_MODEL)
            .map(|a| adapter(number, a))
            .collect(),
        load_time: Duration::from_millis(1_200),
    });
    let engine = EnginePlan {
        slots: 12,
        kv_cache_tokens: 58_125,
        weights_mb: 200_000.0,
        adapter_slots: 8,
        loads_per_second: 36.0,
        models: models.collect(),
    };
    PlanIndex::new(ServingPlan {
        version: 1,
        services: vec![ServicePlan {
            id: SERVICE.into(),
            health_path: "/health".into(),
            max_connections: 1_900,
            engine: Some(engine),
            warmup: None,
        }],
        ..ServingPlan::default()
    })
}

/// Returns the models that an engine holds: three models, one of which has its adapters loaded.
fn held_models(engine: usize, models: usize) -> Vec<LoadedModel> {
    let held = (0..3).map(|place| {
        let number = (engine * 3 + place) % models;
        let adapters = match place {
            0 => (0..ADAPTERS_PER_MODEL)
                .map(|a| adapter(number, a))
                .collect(),
            _ => Vec::new(),
        };
        LoadedModel {
            model: model(number),
            adapters,
        }
    });
    held.collect()
}

/// Engines, gateways and demand of one service.
#[allow(dead_code)] // Each test uses only some of the fields.
pub struct EngineFleet {
    pub plan: PlanIndex,
    pub engines: EngineTable,
    pub gateways: GatewayTable,
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss
)]
/// Returns a fleet with `models` models and adapters of each, all of which are in demand.
pub fn fleet(models: usize) -> EngineFleet {
    let plan = plan(models);
    let count = (models as f64 * ENGINES_PER_MODEL) as usize;
    let entries: Vec<TargetEntry> = (0..count)
        .map(|number| TargetEntry {
            id: format_compact!("engine-{number:04}"),
            service: SERVICE.into(),
            address: format!("10.0.{}.{}:80", number / 250, number % 250 + 1)
                .parse()
                .unwrap(),
            data_centre: "a".into(),
            slots: 12,
            is_draining: false,
            is_cold: false,
            software: "".into(),
            started_ms: 1,
            models: held_models(number, models),
        })
        .collect();
    let mut engines = EngineTable::default();
    engines.apply_list(&plan, entries.clone());
    for (number, entry) in entries.iter().enumerate() {
        let status = EngineStatus {
            models: held_models(number, models),
            cached_models: (0..6)
                .map(|place| model((number * 6 + place) % models))
                .collect(),
            started_ms: 1,
            ..EngineStatus::default()
        };
        engines.record_status(&entry.id, Some(status), NOW);
    }
    let demand: Vec<ModelRequests> = (0..models)
        .flat_map(|number| {
            let base = std::iter::once(model(number));
            base.chain((0..ADAPTERS_PER_MODEL).map(move |a| adapter(number, a)))
        })
        .map(|model| ModelRequests {
            model: ServedModel {
                service: SERVICE.into(),
                model,
            },
            requests: 5,
            tokens: 5_000,
        })
        .collect();
    let mut gateways = GatewayTable::default();
    for second in [50, 55, 59] {
        let now = Duration::from_secs(second);
        gateways.record(&report(demand.clone()), now);
    }
    EngineFleet {
        plan,
        engines,
        gateways,
    }
}

pub fn report(demand: Vec<ModelRequests>) -> GatewayReport {
    GatewayReport {
        crashes: Vec::new(),
        completed_parts: Vec::new(),
        parts_version: 0,
        gateway: EntryKey {
            vm: "gateway".into(),
            incarnation: 1,
        },
        data_centre: "a".into(),
        plan_version: 1,
        evacuation_revision: 0,
        list_version: ListVersion::default(),
        list_digest: Vec::new(),
        shares: Vec::new(),
        load_address: "10.1.0.1:9".parse().unwrap(),
        news_address: None,
        demand,
        unresponsive: Vec::new(),
        streams: Vec::new(),
        stream_queries: Vec::new(),
        missing_models: Vec::new(),
        missing_regional_models: Vec::new(),
        is_stranded: false,
        serial: 0,
    }
}
