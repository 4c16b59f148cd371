use crate::{
    ids::{FencingNumber, Incarnation},
    order::OrderAction,
    sync::{EngineReport, ResidentCopy},
};

use super::OrderAnswer;

/// How an engine treats fencing numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FencingMode {
    /// The engine refuses an order with a number that is not greater than its last one.
    Enforced,
    /// The engine carries out every order that arrives, also a late one.
    Ignored,
}

/// What the leader knows of its attempts to deliver an order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DeliveryRecord {
    /// Attempts of which a byte may have been sent.
    pub attempts: u32,
    /// Attempts that the engine answered.
    pub answers: u32,
    /// The latest answer.
    pub last_answer: Option<OrderAnswer>,
    /// Life of the engine when the first attempt was made; `None` if a former leader made it.
    pub sent_to_incarnation: Option<Incarnation>,
    /// Reports of another life of the engine that were read one settling time apart and do not
    /// show the order.
    pub reports_without_order: u32,
}

impl DeliveryRecord {
    /// The record of an order that a former leader may have sent.
    #[must_use]
    pub fn inherited() -> Self {
        Self {
            attempts: 1,
            ..Self::default()
        }
    }

    fn is_answered(&self) -> bool {
        self.answers == self.attempts
    }
}

/// What to do about an order after a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderDecision {
    /// The report shows the result: settle the order as confirmed.
    Confirmed,
    /// The order can have no effect any more: settle it as dropped.
    Dropped,
    /// The order may be lost: deliver it again.
    Resend,
    /// The order may still be carried out: read another report later.
    Pending,
}

/// Reports without the order, one settling time apart, after which a new life of an engine that
/// ignores fencing numbers is taken not to have it in an input buffer.
const QUIET_REPORTS: u32 = 2;

/// Judges an unsettled order by the engine's own report.
///
/// The memory of an order is given back only on a verdict of `Confirmed` or `Dropped`, so that
/// each of these must hold whatever arrives late; see docs/design.md, section 12.
#[must_use]
pub fn evaluate_order(
    action: &OrderAction,
    fencing: FencingNumber,
    check: FencingMode,
    delivery: &DeliveryRecord,
    report: &EngineReport,
) -> OrderDecision {
    if report.in_progress == Some(fencing) {
        return OrderDecision::Pending;
    }
    let is_done = has_effect(action, report);
    match check {
        FencingMode::Enforced if report.last_fencing < fencing => OrderDecision::Resend,
        FencingMode::Enforced if is_done => OrderDecision::Confirmed,
        // The engine has accepted this number or a later one and refuses every late copy.
        FencingMode::Enforced => OrderDecision::Dropped,
        FencingMode::Ignored => judge_unfenced(action, delivery, report, is_done),
    }
}

/// An engine that ignores fencing numbers may carry out any copy of the order that is still on the
/// way. A load is therefore sent once only, and given up only when no copy can be on the way.
fn judge_unfenced(
    action: &OrderAction,
    delivery: &DeliveryRecord,
    report: &EngineReport,
    is_done: bool,
) -> OrderDecision {
    let is_refused = delivery.last_answer == Some(OrderAnswer::NoMemory);
    let is_new_life = delivery
        .sent_to_incarnation
        .is_some_and(|life| life != report.incarnation);
    match action {
        _ if is_done => OrderDecision::Confirmed,
        _ if delivery.attempts == 0 => OrderDecision::Resend,
        _ if delivery.is_answered() && is_refused => OrderDecision::Dropped,
        _ if is_new_life && delivery.reports_without_order >= QUIET_REPORTS => {
            OrderDecision::Dropped
        }
        // An unload that arrives twice takes no memory.
        OrderAction::Unload(_) if !delivery.is_answered() => OrderDecision::Resend,
        _ => OrderDecision::Pending,
    }
}

fn has_effect(action: &OrderAction, report: &EngineReport) -> bool {
    let same = |held: &&ResidentCopy, copy: &ResidentCopy| {
        held.model == copy.model
            && held.version == copy.version
            && held.first_accelerator == copy.first_accelerator
    };
    match action {
        OrderAction::Load(copy) => report
            .copies
            .iter()
            .find(|held| same(held, copy))
            .is_some_and(|held| held.is_ready),
        OrderAction::Unload(copy) => !report.copies.iter().any(|held| same(&held, copy)),
    }
}
