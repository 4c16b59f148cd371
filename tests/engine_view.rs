//! Tests the leader's view of an engine. Orders that exceed the memory or the adapter slots of an
//! engine crash it.

use std::time::Duration;

use rstest::rstest;
use waxwinglatch::{
    adapter::{EngineStatus, LoadedModel, OrderAction, TargetEntry},
    coordinator::{EngineLiveness, EngineView},
    plan::{EnginePlan, ModelPlan},
};

const NOW: Duration = Duration::from_secs(100);

fn entry() -> TargetEntry {
    TargetEntry {
        id: "i-1".into(),
        service: "drafts".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        data_centre: "casa".into(),
        slots: 64,
        is_draining: false,
        is_cold: false,
        software: "".into(),
        started_ms: 1,
        models: Vec::new(),
    }
}

fn plan() -> EnginePlan {
    let model = |id: &str, weights_mb| ModelPlan {
        id: id.into(),
        weights_mb,
        adapter_mb: 50.0,
        adapters: Vec::new(),
        load_time: Duration::from_secs(4),
    };
    EnginePlan {
        slots: 64,
        kv_cache_tokens: 150_000,
        weights_mb: 200_000.0,
        adapter_slots: 8,
        loads_per_second: 1.0,
        models: vec![
            model("a", 70_000.0),
            model("b", 60_000.0),
            model("c", 65_000.0),
        ],
    }
}

fn status(orders: u64, models: &[&str]) -> EngineStatus {
    let held = models.iter().map(|model| LoadedModel {
        model: (*model).into(),
        adapters: Vec::new(),
    });
    EngineStatus {
        models: held.collect(),
        orders,
        ..EngineStatus::default()
    }
}

/// The status of a busy engine does not show the model that it loads. Guards against another load
/// that a new leader orders meanwhile, which crashed the engine.
#[test]
fn busy_engine_accepts_no_order() {
    let mut view = EngineView::new(entry());
    let busy = EngineStatus {
        is_busy: true,
        ..status(2, &["a"])
    };
    view.apply_status(busy, NOW);
    assert!(!view.accepts_model_orders(NOW));
    view.apply_status(status(2, &["a", "b"]), NOW);
    assert!(view.accepts_model_orders(NOW));
}

/// Pending adapters and unconfirmed loads use slots like loaded adapters.
#[rstest]
#[case(7, 0, 0, 7)]
#[case(4, 3, 0, 7)]
#[case(4, 3, 1, 8)]
fn pending_adapters_use_slots(
    #[case] held: usize,
    #[case] pending: usize,
    #[case] unconfirmed: usize,
    #[case] used: usize,
) {
    let mut view = EngineView::new(entry());
    let name = |kind: &str, number: usize| format!("a/{kind}{number}").into();
    let mut report = status(9, &["a"]);
    report.models[0].adapters = (0..held).map(|number| name("h", number)).collect();
    report.pending_adapters = (0..pending).map(|number| name("p", number)).collect();
    view.apply_status(report, NOW);
    let unconfirmed_loads = (0..unconfirmed).map(|number| (name("d", number), NOW));
    view.unconfirmed_loads = unconfirmed_loads.collect();
    assert_eq!(view.used_adapter_slots(), used);
}

/// The adapters of a draining model still use their slots.
#[test]
fn adapters_of_a_draining_model_use_slots() {
    let mut view = EngineView::new(entry());
    view.draining_model = Some(("a".into(), NOW));
    let mut report = status(3, &["a"]);
    report.models[0].adapters = vec!["a/a1".into(), "a/a2".into()];
    view.apply_status(report, NOW);
    assert!(view.routable_models.is_empty());
    assert_eq!(view.used_adapter_slots(), 2);
}

/// A report that is older than an order does not include the effect of the order.
#[test]
fn report_older_than_an_order_is_ignored() {
    let mut view = EngineView::new(entry());
    view.apply_status(status(4, &["a"]), NOW);
    view.accepted_orders = Some(5);
    view.last_order_at = NOW;
    view.apply_status(status(4, &[]), NOW + Duration::from_millis(100));
    assert_eq!(view.accepted_orders, Some(5));
    assert_eq!(view.resident_models.len(), 1);
    // A restarted engine counts its orders from zero.
    view.apply_status(status(0, &[]), NOW + Duration::from_secs(3));
    assert_eq!(view.accepted_orders, Some(0));
}

/// Memory stays reserved for unconfirmed loads while they may still begin, and for all adapter
/// slots.
#[test]
fn unconfirmed_loads_reserve_memory_until_they_cannot_begin() {
    let mut view = EngineView::new(entry());
    view.apply_status(status(1, &["a"]), NOW);
    let free = view.free_mb(&plan());
    assert!(
        (free - (200_000.0 - 70_000.0 - 400.0)).abs() < 1.0,
        "{free}"
    );
    view.unconfirmed_loads.push(("b".into(), NOW));
    assert!((view.free_mb(&plan()) - (free - 60_000.0)).abs() < 1.0);
    view.active_order = Some((OrderAction::Load, "c".into(), NOW));
    assert!(view.free_mb(&plan()) < 60_000.0);
    view.apply_status(status(2, &["a", "c"]), NOW + Duration::from_secs(20));
    assert!((view.free_mb(&plan()) - (free - 65_000.0)).abs() < 1.0);
}

/// Guards against orders to an engine that is gone, which were repeated every few milliseconds
/// while its copies still counted.
#[test]
fn engine_gets_no_order_after_a_refusal() {
    let mut view = EngineView::new(entry());
    view.apply_status(status(0, &["a"]), NOW);
    assert!(view.accepts_model_orders(NOW));
    view.last_refusal_at = Some(NOW);
    assert!(!view.accepts_model_orders(NOW + Duration::from_millis(500)));
    assert!(view.accepts_model_orders(NOW + Duration::from_secs(3)));
}

#[test]
fn lost_engine_is_not_available() {
    let mut view = EngineView::new(entry());
    view.apply_status(status(0, &["a"]), NOW);
    view.liveness = EngineLiveness::Suspected;
    assert!(view.is_available());
    view.liveness = EngineLiveness::Lost;
    assert!(!view.is_available() && !view.accepts_model_orders(NOW));
}
