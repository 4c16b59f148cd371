//! Settling of orders: memory is given back only when no late copy of an order can take effect.

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

fn sent(sends: u32, answers: u32, last_answer: Option<OrderAnswer>) -> DeliveryRecord {
    DeliveryRecord {
        attempts: sends,
        answers,
        last_answer,
        sent_to_incarnation: Some(1),
        reports_without_order: 0,
    }
}

/// Guards against an order that is given up while a late copy could still be accepted, and against
/// one that is never given up.
#[rstest]
#[case::not_arrived(FENCING - 1, &[], OrderDecision::Resend)]
#[case::carried_out(FENCING, &[copy(true)], OrderDecision::Confirmed)]
#[case::still_loading(FENCING, &[copy(false)], OrderDecision::Dropped)]
#[case::failed(FENCING, &[], OrderDecision::Dropped)]
#[case::overtaken(FENCING + 1, &[], OrderDecision::Dropped)]
#[case::there_from_before(FENCING - 1, &[copy(true)], OrderDecision::Resend)]
fn a_load_on_an_engine_that_checks(
    #[case] last_fencing: u64,
    #[case] copies: &[ResidentCopy],
    #[case] expected: OrderDecision,
) {
    let load = OrderAction::Load(copy(false));
    let report = report(last_fencing, copies);
    let verdict = evaluate_order(
        &load,
        FENCING,
        FencingMode::Enforced,
        &sent(1, 0, None),
        &report,
    );
    assert_eq!(verdict, expected);
}

/// Guards against settling an order that the engine is still carrying out.
#[rstest]
fn an_order_in_progress_is_pending(
    #[values(FencingMode::Enforced, FencingMode::Ignored)] check: FencingMode,
) {
    let in_progress = EngineReport {
        in_progress: Some(FENCING),
        ..report(FENCING, &[])
    };
    let load = OrderAction::Load(copy(false));
    let verdict = evaluate_order(&load, FENCING, check, &sent(1, 1, None), &in_progress);
    assert_eq!(verdict, OrderDecision::Pending);
}

/// Guards against memory that is given back, or a load that is sent twice, while an engine that
/// ignores fencing numbers may still receive the first copy.
#[rstest]
#[case::not_sent_yet(sent(0, 0, None), &[], OrderDecision::Resend)]
#[case::answer_lost(sent(1, 0, None), &[], OrderDecision::Pending)]
#[case::accepted(sent(1, 1, Some(OrderAnswer::Accepted)), &[], OrderDecision::Pending)]
#[case::carried_out(sent(1, 0, None), &[copy(true)], OrderDecision::Confirmed)]
#[case::loading(sent(1, 1, Some(OrderAnswer::Accepted)), &[copy(false)], OrderDecision::Pending)]
#[case::refused(sent(1, 1, Some(OrderAnswer::NoMemory)), &[], OrderDecision::Dropped)]
#[case::refused_with_a_copy_on_the_way(
    sent(2, 1, Some(OrderAnswer::NoMemory)), &[], OrderDecision::Pending
)]
#[case::former_leader_sent_it(DeliveryRecord::inherited(), &[], OrderDecision::Pending)]
fn a_load_on_an_engine_that_ignores_fencing(
    #[case] delivery: DeliveryRecord,
    #[case] copies: &[ResidentCopy],
    #[case] expected: OrderDecision,
) {
    let load = OrderAction::Load(copy(false));
    let report = report(0, copies);
    let verdict = evaluate_order(&load, FENCING, FencingMode::Ignored, &delivery, &report);
    assert_eq!(verdict, expected);
}

/// Guards against an engine that ignores fencing numbers and never takes an order again after a
/// restart lost one.
#[rstest]
#[case::same_life(1, 9, OrderDecision::Pending)]
#[case::new_life_read_once(2, 1, OrderDecision::Pending)]
#[case::new_life_read_twice(2, 2, OrderDecision::Dropped)]
fn a_restart_ends_a_lost_load(
    #[case] incarnation: u64,
    #[case] reports_without_order: u32,
    #[case] expected: OrderDecision,
) {
    let delivery = DeliveryRecord {
        reports_without_order,
        ..sent(1, 0, None)
    };
    let report = EngineReport {
        incarnation,
        ..report(0, &[])
    };
    let load = OrderAction::Load(copy(false));
    assert_eq!(
        evaluate_order(&load, FENCING, FencingMode::Ignored, &delivery, &report),
        expected
    );
}

/// Guards against a lost unload that blocks the engine: unlike a load it may be sent again.
#[rstest]
#[case::answer_lost(sent(1, 0, None), &[copy(true)], OrderDecision::Resend)]
#[case::accepted(sent(1, 1, Some(OrderAnswer::Accepted)), &[copy(true)], OrderDecision::Pending)]
#[case::carried_out(sent(1, 0, None), &[], OrderDecision::Confirmed)]
fn an_unload_on_an_engine_that_ignores_fencing(
    #[case] delivery: DeliveryRecord,
    #[case] copies: &[ResidentCopy],
    #[case] expected: OrderDecision,
) {
    let unload = OrderAction::Unload(copy(true));
    let report = report(0, copies);
    let verdict = evaluate_order(&unload, FENCING, FencingMode::Ignored, &delivery, &report);
    assert_eq!(verdict, expected);
}
