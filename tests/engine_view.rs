//! Guards what the leader takes for granted about an engine: orders beyond its memory or adapter
//! places crash it.

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
        started_ms: 1,
        models: Vec::new(),
    }
}

fn plan() -> EnginePlan {
    let model = |id: &str, weights_mb| ModelPlan {
        id: id.into(),
        weights_mb,
        adapter_mb: 50.0,
        adapters: 4,
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

/// A busy engine does not show what it loads; a new leader that ordered another load crashed it.
#[test]
fn a_busy_engine_takes_no_order() {
    let mut belief = EngineView::new(entry());
    let busy = EngineStatus {
        is_busy: true,
        ..status(2, &["a"])
    };
    belief.accept(busy, NOW);
    assert!(!belief.accepts_model_orders(NOW));
    belief.accept(status(2, &["a", "b"]), NOW);
    assert!(belief.accepts_model_orders(NOW));
}

/// Adapters on their way, and loads without an answer, take places like those that are held.
#[rstest]
#[case(7, 0, 0, 7)]
#[case(4, 3, 0, 7)]
#[case(4, 3, 1, 8)]
fn pending_adapters_take_places(
    #[case] held: usize,
    #[case] pending: usize,
    #[case] doubtful: usize,
    #[case] taken: usize,
) {
    let mut belief = EngineView::new(entry());
    let name = |kind: &str, number: usize| format!("a/{kind}{number}").into();
    let mut report = status(9, &["a"]);
    report.models[0].adapters = (0..held).map(|number| name("h", number)).collect();
    report.pending_adapters = (0..pending).map(|number| name("p", number)).collect();
    belief.accept(report, NOW);
    let lost = (0..doubtful).map(|number| (name("d", number), NOW));
    belief.unconfirmed_loads = lost.collect();
    assert_eq!(belief.used_adapter_slots(), taken);
}

/// A model that is about to go still has its adapters in their places.
#[test]
fn adapters_of_a_retiring_model_keep_their_places() {
    let mut belief = EngineView::new(entry());
    belief.draining_model = Some(("a".into(), NOW));
    let mut report = status(3, &["a"]);
    report.models[0].adapters = vec!["a/a1".into(), "a/a2".into()];
    belief.accept(report, NOW);
    assert!(belief.routable_models.is_empty());
    assert_eq!(belief.used_adapter_slots(), 2);
}

/// A report from before an order would hide what the order brings.
#[test]
fn a_report_from_before_an_order_is_ignored() {
    let mut belief = EngineView::new(entry());
    belief.accept(status(4, &["a"]), NOW);
    belief.accepted_orders = Some(5);
    belief.last_order_at = NOW;
    belief.accept(status(4, &[]), NOW + Duration::from_millis(100));
    assert_eq!(belief.accepted_orders, Some(5));
    assert_eq!(belief.resident_models.len(), 1);
    // An engine that was restarted counts from the beginning.
    belief.accept(status(0, &[]), NOW + Duration::from_secs(3));
    assert_eq!(belief.accepted_orders, Some(0));
}

/// Loads that may still begin keep their memory, and so do the places of adapters.
#[test]
fn doubtful_loads_keep_memory_until_they_cannot_begin() {
    let mut belief = EngineView::new(entry());
    belief.accept(status(1, &["a"]), NOW);
    let free = belief.free_mb(&plan());
    assert!(
        (free - (200_000.0 - 70_000.0 - 400.0)).abs() < 1.0,
        "{free}"
    );
    belief.unconfirmed_loads.push(("b".into(), NOW));
    assert!((belief.free_mb(&plan()) - (free - 60_000.0)).abs() < 1.0);
    belief.active_order = Some((OrderAction::Load, "c".into(), NOW));
    assert!(belief.free_mb(&plan()) < 60_000.0);
    belief.accept(status(2, &["a", "c"]), NOW + Duration::from_secs(20));
    assert!((belief.free_mb(&plan()) - (free - 65_000.0)).abs() < 1.0);
}

/// Orders to an engine that is gone were repeated every few milliseconds, and copies on it counted.
#[test]
fn an_engine_that_refused_an_order_rests() {
    let mut belief = EngineView::new(entry());
    belief.accept(status(0, &["a"]), NOW);
    assert!(belief.accepts_model_orders(NOW));
    belief.last_refusal_at = Some(NOW);
    assert!(!belief.accepts_model_orders(NOW + Duration::from_millis(500)));
    assert!(belief.accepts_model_orders(NOW + Duration::from_secs(3)));
}

#[test]
fn copies_on_a_lost_engine_do_not_last() {
    let mut belief = EngineView::new(entry());
    belief.accept(status(0, &["a"]), NOW);
    belief.liveness = EngineLiveness::Suspected;
    assert!(belief.is_available());
    belief.liveness = EngineLiveness::Lost;
    assert!(!belief.is_available() && !belief.accepts_model_orders(NOW));
}
