use crate::{
    ids::{FencingNumber, Incarnation},
    order::OrderAction,
    sync::{EngineReport, ResidentCopy},
};

use super::OrderAnswer;

/// How an engine treats fencing numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FencingMode {
    /// The engine refuses an order whose number is not greater than the last one it accepted.
    Enforced,
    /// The engine carries out every order that arrives, including late ones.
    Ignored,
}

/// The leader's record of its attempts to deliver an order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DeliveryRecord {
    /// Attempts that may have sent at least one byte.
    pub attempts: u32,
    /// Attempts that the engine answered.
    pub answers: u32,
    /// The latest answer.
    pub last_answer: Option<OrderAnswer>,
    /// Incarnation of the engine at the first attempt; `None` if a former leader made it.
    pub sent_to_incarnation: Option<Incarnation>,
    /// Reports without the order from another incarnation of the engine, each read at least one
    /// settling time after the previous one.
    pub reports_without_order: u32,
}

impl DeliveryRecord {
    /// Returns the record of an order that a former leader may have sent.
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

/// Next step for an unsettled order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderDecision {
    /// The report shows the result: settle the order as confirmed.
    Confirmed,
    /// The order can no longer take effect: settle it as dropped.
    Dropped,
    /// The order may be lost: deliver it again.
    Resend,
    /// The order may still take effect: read another report later.
    Pending,
}

/// Number of reports without the order, one settling time apart, after which a new incarnation of
/// an engine that ignores fencing numbers is assumed not to have it in an input buffer.
const MIN_REPORTS_WITHOUT_ORDER: u32 = 2;

/// Decides how to proceed with an unsettled order from the engine's own report.
///
/// The memory of an order is released only on `Confirmed` or `Dropped`, so both must remain correct
/// whatever messages arrive late; see docs/design.md, section 12.
#[must_use]
pub fn evaluate_order(
    action: &OrderAction,
    fencing: FencingNumber,
    mode: FencingMode,
    record: &DeliveryRecord,
    report: &EngineReport,
) -> OrderDecision {
    if report.in_progress == Some(fencing) {
        return OrderDecision::Pending;
    }
    let is_applied = is_applied(action, report);
    match mode {
        FencingMode::Enforced if report.last_fencing < fencing => OrderDecision::Resend,
        FencingMode::Enforced if is_applied => OrderDecision::Confirmed,
        // The engine has accepted this number or a later one and refuses every late copy of the
        // order.
        FencingMode::Enforced => OrderDecision::Dropped,
        FencingMode::Ignored => evaluate_unfenced(action, record, report, is_applied),
    }
}

/// Decides how to proceed with an order to an engine that ignores fencing numbers.
///
/// Such an engine may carry out any copy of the order that is still in flight. A load is therefore
/// sent only once, and dropped only when no copy can be in flight.
fn evaluate_unfenced(
    action: &OrderAction,
    record: &DeliveryRecord,
    report: &EngineReport,
    is_applied: bool,
) -> OrderDecision {
    let is_refused = record.last_answer == Some(OrderAnswer::NoMemory);
    let is_restarted = record
        .sent_to_incarnation
        .is_some_and(|incarnation| incarnation != report.incarnation);
    match action {
        _ if is_applied => OrderDecision::Confirmed,
        _ if record.attempts == 0 => OrderDecision::Resend,
        _ if record.is_answered() && is_refused => OrderDecision::Dropped,
        _ if is_restarted && record.reports_without_order >= MIN_REPORTS_WITHOUT_ORDER => {
            OrderDecision::Dropped
        }
        // An unload that arrives twice reserves no memory.
        OrderAction::Unload(_) if !record.is_answered() => OrderDecision::Resend,
        _ => OrderDecision::Pending,
    }
}

fn is_applied(action: &OrderAction, report: &EngineReport) -> bool {
    let is_same = |resident: &&ResidentCopy, copy: &ResidentCopy| {
        resident.model == copy.model
            && resident.version == copy.version
            && resident.first_accelerator == copy.first_accelerator
    };
    match action {
        OrderAction::Load(copy) => report
            .copies
            .iter()
            .find(|resident| is_same(resident, copy))
            .is_some_and(|resident| resident.is_ready),
        OrderAction::Unload(copy) => !report
            .copies
            .iter()
            .any(|resident| is_same(&resident, copy)),
    }
}
