//! Settling of orders: memory is given back only when no late copy of an order can take effect.

use rstest::rstest;
use waxwinglatch::{
    order::{DeliveryRecord, FencingCheck, OrderAction, OrderAnswer, OrderVerdict, judge_order},
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
        sends,
        answers,
        last_answer,
        sent_to: Some(1),
        reports_without: 0,
    }
}

/// Guards against an order that is given up while a late copy could still be accepted, and against
/// one that is never given up.
#[rstest]
#[case::not_arrived(FENCING - 1, &[], OrderVerdict::Resend)]
#[case::carried_out(FENCING, &[copy(true)], OrderVerdict::Confirmed)]
#[case::still_loading(FENCING, &[copy(false)], OrderVerdict::Dropped)]
#[case::failed(FENCING, &[], OrderVerdict::Dropped)]
#[case::overtaken(FENCING + 1, &[], OrderVerdict::Dropped)]
#[case::there_from_before(FENCING - 1, &[copy(true)], OrderVerdict::Resend)]
fn a_load_on_an_engine_that_checks(
    #[case] last_fencing: u64,
    #[case] copies: &[ResidentCopy],
    #[case] expected: OrderVerdict,
) {
    let load = OrderAction::Load(copy(false));
    let report = report(last_fencing, copies);
    let verdict = judge_order(
        &load,
        FENCING,
        FencingCheck::Checks,
        &sent(1, 0, None),
        &report,
    );
    assert_eq!(verdict, expected);
}

/// Guards against settling an order that the engine is still carrying out.
#[rstest]
fn an_order_in_progress_is_pending(
    #[values(FencingCheck::Checks, FencingCheck::Ignores)] check: FencingCheck,
) {
    let in_progress = EngineReport {
        in_progress: Some(FENCING),
        ..report(FENCING, &[])
    };
    let load = OrderAction::Load(copy(false));
    let verdict = judge_order(&load, FENCING, check, &sent(1, 1, None), &in_progress);
    assert_eq!(verdict, OrderVerdict::Pending);
}

/// Guards against memory that is given back, or a load that is sent twice, while an engine that
/// ignores fencing numbers may still receive the first copy.
#[rstest]
#[case::not_sent_yet(sent(0, 0, None), &[], OrderVerdict::Resend)]
#[case::answer_lost(sent(1, 0, None), &[], OrderVerdict::Pending)]
#[case::accepted(sent(1, 1, Some(OrderAnswer::Accepted)), &[], OrderVerdict::Pending)]
#[case::carried_out(sent(1, 0, None), &[copy(true)], OrderVerdict::Confirmed)]
#[case::loading(sent(1, 1, Some(OrderAnswer::Accepted)), &[copy(false)], OrderVerdict::Pending)]
#[case::refused(sent(1, 1, Some(OrderAnswer::NoMemory)), &[], OrderVerdict::Dropped)]
#[case::refused_with_a_copy_on_the_way(
    sent(2, 1, Some(OrderAnswer::NoMemory)), &[], OrderVerdict::Pending
)]
#[case::former_leader_sent_it(DeliveryRecord::inherited(), &[], OrderVerdict::Pending)]
fn a_load_on_an_engine_that_ignores_fencing(
    #[case] delivery: DeliveryRecord,
    #[case] copies: &[ResidentCopy],
    #[case] expected: OrderVerdict,
) {
    let load = OrderAction::Load(copy(false));
    let report = report(0, copies);
    let verdict = judge_order(&load, FENCING, FencingCheck::Ignores, &delivery, &report);
    assert_eq!(verdict, expected);
}

/// Guards against an engine that ignores fencing numbers and never takes an order again after a
/// restart lost one.
#[rstest]
#[case::same_life(1, 9, OrderVerdict::Pending)]
#[case::new_life_read_once(2, 1, OrderVerdict::Pending)]
#[case::new_life_read_twice(2, 2, OrderVerdict::Dropped)]
fn a_restart_ends_a_lost_load(
    #[case] incarnation: u64,
    #[case] reports_without: u32,
    #[case] expected: OrderVerdict,
) {
    let delivery = DeliveryRecord {
        reports_without,
        ..sent(1, 0, None)
    };
    let report = EngineReport {
        incarnation,
        ..report(0, &[])
    };
    let load = OrderAction::Load(copy(false));
    assert_eq!(
        judge_order(&load, FENCING, FencingCheck::Ignores, &delivery, &report),
        expected
    );
}

/// Guards against a lost unload that blocks the engine: unlike a load it may be sent again.
#[rstest]
#[case::answer_lost(sent(1, 0, None), &[copy(true)], OrderVerdict::Resend)]
#[case::accepted(sent(1, 1, Some(OrderAnswer::Accepted)), &[copy(true)], OrderVerdict::Pending)]
#[case::carried_out(sent(1, 0, None), &[], OrderVerdict::Confirmed)]
fn an_unload_on_an_engine_that_ignores_fencing(
    #[case] delivery: DeliveryRecord,
    #[case] copies: &[ResidentCopy],
    #[case] expected: OrderVerdict,
) {
    let unload = OrderAction::Unload(copy(true));
    let report = report(0, copies);
    let verdict = judge_order(&unload, FENCING, FencingCheck::Ignores, &delivery, &report);
    assert_eq!(verdict, expected);
}
