//! Settlement of orders: memory is released only when no late copy of an order can take effect.

use rstest::rstest;
use waxwinglatch::{
    order::{DeliveryRecord, FencingMode, OrderAction, OrderAnswer, OrderDecision, evaluate_order},
    sync::{EngineReport, ResidentCopy},
};

const FENCING: u64 = (3 << 32) | 7;

fn copy(is_ready: bool) -> ResidentCopy {
    ResidentCopy {
        model: "m".into(),
        version: "2".into(),
        first_accelerator: 0,
        span: 1,
        memory_mib: 100,
        is_ready,
    }
}

fn report(last_fencing: u64, copies: &[ResidentCopy]) -> EngineReport {
    EngineReport {
        incarnation: 1,
        last_fencing,
        copies: copies.to_vec(),
        ..Default::default()
    }
}

fn record(attempts: u32, answers: u32, last_answer: Option<OrderAnswer>) -> DeliveryRecord {
    DeliveryRecord {
        attempts,
        answers,
        last_answer,
        sent_to_incarnation: Some(1),
        reports_without_order: 0,
    }
}

/// Guards against an order that is dropped while a late copy could still be accepted, and against
/// one that is never settled.
#[rstest]
#[case::not_arrived(FENCING - 1, &[], OrderDecision::Resend)]
#[case::carried_out(FENCING, &[copy(true)], OrderDecision::Confirmed)]
#[case::still_loading(FENCING, &[copy(false)], OrderDecision::Dropped)]
#[case::failed(FENCING, &[], OrderDecision::Dropped)]
#[case::superseded(FENCING + 1, &[], OrderDecision::Dropped)]
#[case::already_resident(FENCING - 1, &[copy(true)], OrderDecision::Resend)]
fn a_load_on_an_engine_that_enforces_fencing(
    #[case] last_fencing: u64,
    #[case] copies: &[ResidentCopy],
    #[case] expected: OrderDecision,
) {
    let load = OrderAction::Load(copy(false));
    let report = report(last_fencing, copies);
    let decision = evaluate_order(
        &load,
        FENCING,
        FencingMode::Enforced,
        &record(1, 0, None),
        &report,
    );
    assert_eq!(decision, expected);
}

/// Guards against settling an order that the engine is still carrying out.
#[rstest]
fn an_order_in_progress_is_pending(
    #[values(FencingMode::Enforced, FencingMode::Ignored)] mode: FencingMode,
) {
    let report = EngineReport {
        in_progress: Some(FENCING),
        ..report(FENCING, &[])
    };
    let load = OrderAction::Load(copy(false));
    let decision = evaluate_order(&load, FENCING, mode, &record(1, 1, None), &report);
    assert_eq!(decision, OrderDecision::Pending);
}

/// Guards against releasing memory or sending a load twice while an engine that ignores fencing
/// numbers may still receive the first copy.
#[rstest]
#[case::not_sent_yet(record(0, 0, None), &[], OrderDecision::Resend)]
#[case::answer_lost(record(1, 0, None), &[], OrderDecision::Pending)]
#[case::accepted(record(1, 1, Some(OrderAnswer::Accepted)), &[], OrderDecision::Pending)]
#[case::carried_out(record(1, 0, None), &[copy(true)], OrderDecision::Confirmed)]
#[case::loading(record(1, 1, Some(OrderAnswer::Accepted)), &[copy(false)], OrderDecision::Pending)]
#[case::refused(record(1, 1, Some(OrderAnswer::NoMemory)), &[], OrderDecision::Dropped)]
#[case::refused_with_a_copy_in_flight(
    record(2, 1, Some(OrderAnswer::NoMemory)), &[], OrderDecision::Pending
)]
#[case::sent_by_a_former_leader(DeliveryRecord::inherited(), &[], OrderDecision::Pending)]
fn a_load_on_an_engine_that_ignores_fencing(
    #[case] record: DeliveryRecord,
    #[case] copies: &[ResidentCopy],
    #[case] expected: OrderDecision,
) {
    let load = OrderAction::Load(copy(false));
    let report = report(0, copies);
    let decision = evaluate_order(&load, FENCING, FencingMode::Ignored, &record, &report);
    assert_eq!(decision, expected);
}

/// Guards against an engine that ignores fencing numbers and receives no further orders after a
/// restart lost one.
#[rstest]
#[case::same_incarnation(1, 9, OrderDecision::Pending)]
#[case::new_incarnation_one_report(2, 1, OrderDecision::Pending)]
#[case::new_incarnation_two_reports(2, 2, OrderDecision::Dropped)]
fn a_restart_drops_a_lost_load(
    #[case] incarnation: u64,
    #[case] reports_without_order: u32,
    #[case] expected: OrderDecision,
) {
    let record = DeliveryRecord {
        reports_without_order,
        ..record(1, 0, None)
    };
    let report = EngineReport {
        incarnation,
        ..report(0, &[])
    };
    let load = OrderAction::Load(copy(false));
    assert_eq!(
        evaluate_order(&load, FENCING, FencingMode::Ignored, &record, &report),
        expected
    );
}

/// Guards against a lost unload that blocks the engine. Unlike a load, an unload may be sent again.
#[rstest]
#[case::answer_lost(record(1, 0, None), &[copy(true)], OrderDecision::Resend)]
#[case::accepted(record(1, 1, Some(OrderAnswer::Accepted)), &[copy(true)], OrderDecision::Pending)]
#[case::carried_out(record(1, 0, None), &[], OrderDecision::Confirmed)]
fn an_unload_on_an_engine_that_ignores_fencing(
    #[case] record: DeliveryRecord,
    #[case] copies: &[ResidentCopy],
    #[case] expected: OrderDecision,
) {
    let unload = OrderAction::Unload(copy(true));
    let report = report(0, copies);
    let decision = evaluate_order(&unload, FENCING, FencingMode::Ignored, &record, &report);
    assert_eq!(decision, expected);
}
