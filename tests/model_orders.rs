//! Model check of orders and memory reservations: an engine's memory is never overcommitted
//! (docs/design.md, section 12, and docs/model-checking.md). The model runs the production code for
//! reservations and for decisions on orders.

#[path = "model/machine.rs"]
mod machine;
mod model;

use std::collections::{BTreeMap, BTreeSet};

use machine::Machine;
use model::{Specification, assert_holds, assert_violates};
use rstest::rstest;
use serde_json::json;
use waxwinglatch::{
    order::{DeliveryRecord, FencingMode, OrderAction, OrderAnswer, OrderDecision, evaluate_order},
    state::{
        ApplyRequest, Command, ControlState, Outcome, ReserveOutcome, SettleResult, StampedCommand,
    },
    sync::{EngineReport, ResidentCopy},
};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// Memory is reused as soon as the unload order was sent, before the engine confirms it.
    ReusedBeforeConfirmed,
    /// An order that is not answered in time is settled as dropped.
    DroppedOnTimeout,
    /// An order is settled by a report that was read before the order was sent.
    StaleReport,
    /// An engine that ignores fencing numbers is treated as one that checks them.
    FencingAssumed,
    /// An order is settled by the report of a new incarnation of the engine that is not recorded.
    IncarnationNotRecorded,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum OrderWork {
    Load(u8),
    Unload(u8),
    /// Unloads a copy that does not exist, with a new fencing number.
    Nothing,
}

/// One delivery of an order to one incarnation of the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct SentOrder {
    fencing: u8,
    /// Fencing number of the order that is delivered or, if a higher number is sent so that the
    /// engine refuses it, of the order to be refused.
    order: u8,
    number: u8,
    work: OrderWork,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Report {
    incarnation: u8,
    last: u8,
    loaded: BTreeSet<u8>,
}

/// State of an unsettled order in the leader.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct FollowUp {
    work: OrderWork,
    epoch: u8,
    sends: u8,
    answers: u8,
    sent_to: Option<u8>,
    reports_without_order: u8,
    report: Option<Report>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum LogStep {
    Reserve(u8, OrderWork),
    Settle(u8, bool),
    Confirm(Report),
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct State {
    /// Number that the machine assigned to the control state.
    log: u32,
    orders: BTreeMap<u8, FollowUp>,
    fencing: u8,
    order_count: u8,
    epoch: u8,
    network: BTreeSet<SentOrder>,
    /// Proposed settlements that are not applied yet.
    settles: BTreeMap<u8, bool>,
    confirm: Option<Report>,
    engine: Report,
}

#[allow(dead_code)] // The fields are printed in traces.
#[derive(Clone, Copy, Debug)]
enum Action {
    Reserve(OrderWork),
    Arrive(SentOrder, bool),
    Read(u8),
    Check(u8),
    ReportWithoutOrder(u8),
    Settle(u8),
    ReadIdle,
    Confirm,
    Restart,
    LeaderChange,
}

struct Orders {
    fault: Fault,
    checks_fencing: bool,
    order_limit: u8,
    max_sends: u8,
    max_restarts: u8,
    max_leader_changes: u8,
    log: Machine<ControlState, LogStep, bool>,
}

/// Number of copies that fit into the memory of the engine.
const CAPACITY: usize = 2;

fn copy(number: u8) -> ResidentCopy {
    ResidentCopy {
        model: number.to_string().into(),
        version: "1".into(),
        first_accelerator: 0,
        span: 1,
        memory_mib: 1,
        is_ready: true,
    }
}

fn action(work: OrderWork) -> OrderAction {
    match work {
        OrderWork::Load(number) => OrderAction::Load(copy(number)),
        OrderWork::Unload(number) => OrderAction::Unload(copy(number)),
        OrderWork::Nothing => OrderAction::Unload(copy(9)),
    }
}

fn apply(state: &mut ControlState, step: &LogStep) -> bool {
    let target = "engine".into();
    let command = match step {
        LogStep::Reserve(fencing, work) => Command::Reserve {
            target,
            fencing: (*fencing).into(),
            action: action(*work),
        },
        LogStep::Settle(fencing, is_executed) => Command::Settle {
            target,
            fencing: (*fencing).into(),
            result: match is_executed {
                true => SettleResult::Confirmed,
                false => SettleResult::Dropped,
            },
        },
        LogStep::Confirm(report) => Command::ConfirmReport {
            target,
            incarnation: report.incarnation.into(),
            last_fencing: report.last.into(),
            copies: report.loaded.iter().map(|number| copy(*number)).collect(),
        },
    };
    let outcome = state.apply(1, &StampedCommand { at_ms: 1, command });
    outcome == Outcome::Reserve(ReserveOutcome::Granted)
}

/// Encodes the memory of the engine without the version number of the table, which counts changes.
fn encode(state: &ControlState) -> Vec<u8> {
    let memory = state.memory().target(&"engine".into());
    rmp_serde::to_vec(&memory).expect("the memory of one engine")
}

impl Orders {
    /// Creates a model. `limits` are the maximum numbers of deliveries per order, engine restarts
    /// and leader changes.
    fn new(fault: Fault, checks_fencing: bool, order_limit: u8, limits: (u8, u8, u8)) -> Self {
        let (max_sends, max_restarts, max_leader_changes) = limits;
        let log = Machine::new(apply, encode);
        Self {
            fault,
            checks_fencing,
            order_limit,
            max_sends,
            max_restarts,
            max_leader_changes,
            log,
        }
    }

    fn assumes_fencing(&self) -> bool {
        self.checks_fencing || self.fault == Fault::FencingAssumed
    }

    fn configured_state(&self) -> ControlState {
        let config = serde_json::from_value(json!({
            "teams": [], "models": [], "routes": [],
            "targets": [{
                "id": "engine", "vm": "a", "data_centre": "a", "kind": "engine", "address": "127.0.0.1:1",
                "accelerators": 1, "accelerator_memory_mib": CAPACITY,
                "checks_fencing": self.assumes_fencing(),
            }],
            "weight_store": { "loads_per_second": 1.0, "concurrent_loads": 1 },
        }));
        let request = ApplyRequest::new("one".into(), 0, config.expect("a configuration"));
        let command = Command::Apply(Box::new(request));
        let mut state = ControlState::default();
        state.apply(1, &StampedCommand { at_ms: 1, command });
        state
    }

    fn decide(&self, fencing: u8, order: &FollowUp, report: &Report) -> OrderDecision {
        let delivery = DeliveryRecord {
            attempts: order.sends.into(),
            answers: order.answers.into(),
            last_answer: (order.answers > 0).then_some(OrderAnswer::Accepted),
            sent_to_incarnation: order.sent_to.map(u64::from),
            reports_without_order: order.reports_without_order.into(),
        };
        let mode = if self.assumes_fencing() {
            FencingMode::Enforced
        } else {
            FencingMode::Ignored
        };
        let read = EngineReport {
            incarnation: report.incarnation.into(),
            last_fencing: report.last.into(),
            copies: report.loaded.iter().map(|number| copy(*number)).collect(),
            ..EngineReport::default()
        };
        evaluate_order(&action(order.work), fencing.into(), mode, &delivery, &read)
    }

    /// Reserves the memory of an order if the reservation is granted.
    fn reserve(&self, after: &mut State, work: OrderWork) {
        // Copies 0 and 1 are equivalent at the start, so only one of them needs to be explored.
        let is_mirrored =
            after.order_count == 0 && matches!(work, OrderWork::Load(1) | OrderWork::Unload(1));
        let step = LogStep::Reserve(after.fencing + 1, work);
        let (log, granted) = self.log.step(after.log, &step);
        if after.order_count == self.order_limit || is_mirrored || !granted {
            return;
        }
        after.log = log;
        after.fencing += 1;
        after.order_count += 1;
        let earlier_report = after.confirm.clone();
        let order = FollowUp {
            work,
            epoch: after.epoch,
            sends: 0,
            answers: 0,
            sent_to: None,
            reports_without_order: 0,
            report: earlier_report.filter(|_| self.fault == Fault::StaleReport),
        };
        after.orders.insert(after.fencing, order);
    }

    /// Sends an order again or, if a former leader created it, sends a higher fencing number so
    /// that the engine refuses it.
    fn deliver(&self, after: &mut State, fencing: u8) {
        let (epoch, next) = (after.epoch, after.fencing + 1);
        let order = after.orders.get_mut(&fencing).expect("an order");
        let (number, mut sent, mut work) = (order.sends, fencing, order.work);
        order.sends += 1;
        if self.assumes_fencing() && order.epoch != epoch {
            (sent, work) = (next, OrderWork::Nothing);
            after.fencing = next;
        }
        after.network.insert(SentOrder {
            fencing: sent,
            order: fencing,
            number,
            work,
        });
    }

    /// Records a new incarnation of the engine before its report settles an order.
    fn record_incarnation(
        &self,
        after: &mut State,
        fencing: u8,
        order: &FollowUp,
        report: &Report,
    ) {
        let decision = self.decide(fencing, order, report);
        let is_settled = matches!(decision, OrderDecision::Confirmed | OrderDecision::Dropped);
        let incarnation = self.log.query(after.log, |state| {
            let target = state.memory().target(&"engine".into());
            target.and_then(waxwinglatch::state::TargetMemory::incarnation)
        });
        let is_recorded = self.fault != Fault::IncarnationNotRecorded;
        if is_settled && is_recorded && incarnation != Some(report.incarnation.into()) {
            after.log = self
                .log
                .step(after.log, &LogStep::Confirm(report.clone()))
                .0;
        }
    }

    fn check(&self, after: &mut State, fencing: u8) {
        let order = after.orders.get_mut(&fencing).expect("an order");
        let Some(report) = order.report.take() else {
            return;
        };
        let order = order.clone();
        self.record_incarnation(after, fencing, &order, &report);
        match self.decide(fencing, &order, &report) {
            OrderDecision::Confirmed => _ = after.settles.insert(fencing, true),
            OrderDecision::Dropped => _ = after.settles.insert(fencing, false),
            OrderDecision::Resend if order.sends < self.max_sends => {
                let kept = after.orders.get_mut(&fencing).expect("an order");
                if !self.assumes_fencing() {
                    kept.sent_to.get_or_insert(report.incarnation);
                }
                self.deliver(after, fencing);
                if let (Fault::ReusedBeforeConfirmed, OrderWork::Unload(_)) =
                    (self.fault, order.work)
                {
                    after.settles.insert(fencing, true);
                }
            }
            OrderDecision::Resend | OrderDecision::Pending => {}
        }
        // Without leader changes, a delayed settlement is equivalent to a delayed decision.
        if self.max_leader_changes == 0 {
            self.settle(after, fencing);
        }
    }

    fn arrive(&self, after: &mut State, sent: SentOrder, is_answered: bool) {
        after.network.remove(&sent);
        if !self.checks_fencing || sent.fencing > after.engine.last {
            after.engine.last = sent.fencing;
            match sent.work {
                OrderWork::Load(number) => _ = after.engine.loaded.insert(number),
                OrderWork::Unload(number) => _ = after.engine.loaded.remove(&number),
                OrderWork::Nothing => {}
            }
        }
        if let Some(order) = after.orders.get_mut(&sent.order)
            && is_answered
            && order.answers < order.sends
        {
            order.answers += 1;
        }
    }

    fn settle(&self, after: &mut State, fencing: u8) {
        if let Some(is_executed) = after.settles.remove(&fencing) {
            after.log = self
                .log
                .step(after.log, &LogStep::Settle(fencing, is_executed))
                .0;
            after.orders.remove(&fencing);
        }
    }
}

impl Specification for Orders {
    type State = State;
    type Action = Action;

    fn initial(&self) -> State {
        let engine = Report {
            incarnation: 1,
            last: 0,
            loaded: match self.fault {
                // Two loads that arrive out of order are enough to show the fault.
                Fault::FencingAssumed => BTreeSet::new(),
                _ => BTreeSet::from([0, 1]),
            },
        };
        let configured = self.log.number(&self.configured_state());
        let confirmed = self.log.step(configured, &LogStep::Confirm(engine.clone()));
        State {
            log: confirmed.0,
            orders: BTreeMap::new(),
            fencing: 0,
            order_count: 0,
            epoch: 0,
            network: BTreeSet::new(),
            settles: BTreeMap::new(),
            confirm: None,
            engine,
        }
    }

    fn next(&self, state: &State) -> Vec<(Action, State)> {
        let mut next = Vec::new();
        let mut add = |action, change: &dyn Fn(&mut State)| {
            let mut after = state.clone();
            change(&mut after);
            if after != *state {
                next.push((action, after));
            }
        };
        for work in (0..3).flat_map(|copy| [OrderWork::Load(copy), OrderWork::Unload(copy)]) {
            add(Action::Reserve(work), &|after| self.reserve(after, work));
        }
        for sent in &state.network {
            add(Action::Arrive(*sent, false), &|after| {
                self.arrive(after, *sent, false);
            });
            // If the engine checks fencing, the decision on an order does not depend on answers.
            if state.orders.contains_key(&sent.order) && !self.assumes_fencing() {
                add(Action::Arrive(*sent, true), &|after| {
                    self.arrive(after, *sent, true);
                });
            }
        }
        for (fencing, order) in &state.orders {
            let fencing = *fencing;
            add(Action::Read(fencing), &|after| {
                let read = Some(after.engine.clone());
                after.orders.get_mut(&fencing).expect("an order").report = read;
            });
            add(Action::Check(fencing), &|after| self.check(after, fencing));
            // An order does not stay in an engine's input buffer for as long as two reports
            // without the order take, so no delivery is under way when the second one is read.
            let is_buffered = |sent: &SentOrder| sent.order == fencing;
            let is_new = order
                .sent_to
                .is_some_and(|incarnation| incarnation != state.engine.incarnation);
            if is_new && !state.network.iter().any(is_buffered) {
                add(Action::ReportWithoutOrder(fencing), &|after| {
                    let order = after.orders.get_mut(&fencing).expect("an order");
                    order.reports_without_order = 2;
                    order.report = Some(state.engine.clone());
                });
            }
            if self.fault == Fault::DroppedOnTimeout && order.sends > 0 {
                add(Action::Settle(fencing), &|after| {
                    after.settles.insert(fencing, false);
                    self.settle(after, fencing);
                });
            }
        }
        for fencing in state.settles.keys() {
            add(Action::Settle(*fencing), &|after| {
                self.settle(after, *fencing);
            });
        }
        if state.orders.is_empty() {
            add(Action::ReadIdle, &|after| {
                after.confirm = Some(after.engine.clone());
            });
        }
        if let Some(report) = &state.confirm {
            // The report may be applied with any delay after it was read, and more than once.
            let step = LogStep::Confirm(report.clone());
            add(Action::Confirm, &|after| {
                after.log = self.log.step(after.log, &step).0;
            });
        }
        if state.engine.incarnation <= self.max_restarts {
            add(Action::Restart, &|after| {
                // Orders under way to the old process are lost with its connections.
                after.network.clear();
                after.engine.incarnation += 1;
                after.engine.last = 0;
                after.engine.loaded.clear();
            });
        }
        if state.epoch < self.max_leader_changes {
            add(Action::LeaderChange, &|after| {
                after.epoch += 1;
                for order in after.orders.values_mut() {
                    (order.sends, order.answers) = (1, 0);
                    (order.sent_to, order.reports_without_order, order.report) = (None, 0, None);
                }
            });
        }
        next
    }

    fn violation(&self, state: &State) -> Option<&'static str> {
        (state.engine.loaded.len() > CAPACITY).then_some("memory")
    }
}

/// Guards against an engine that exceeds its memory after any sequence of lost, delayed and
/// repeated orders, delayed reports, engine restarts and leader changes.
#[rstest]
#[case(true, 2, (2, 1, 0), 54_789)]
#[case(true, 2, (1, 1, 1), 52_745)]
#[case(true, 3, (1, 0, 0), 69_360)]
#[case(false, 2, (2, 1, 1), 14_137)]
#[case(false, 3, (1, 1, 1), 32_647)]
#[case(false, 4, (1, 1, 0), 27_463)]
#[case(false, 4, (2, 0, 0), 72_281)]
fn memory_is_never_overcommitted(
    #[case] checks_fencing: bool,
    #[case] order_limit: u8,
    #[case] limits: (u8, u8, u8),
    #[case] min_states: usize,
) {
    let specification = Orders::new(Fault::None, checks_fencing, order_limit, limits);
    let name = format!("orders, fencing {checks_fencing}, {order_limit} orders, {limits:?}");
    assert_holds(&name, &specification, min_states);
}

/// Guards against a model check that never fails: each seeded fault overcommits memory.
#[rstest]
#[case(Fault::ReusedBeforeConfirmed, true, 2, 0)]
#[case(Fault::ReusedBeforeConfirmed, false, 2, 0)]
#[case(Fault::DroppedOnTimeout, false, 3, 0)]
#[case(Fault::StaleReport, false, 4, 0)]
#[case(Fault::FencingAssumed, false, 3, 0)]
#[case(Fault::IncarnationNotRecorded, false, 4, 1)]
fn a_seeded_fault_overcommits_memory(
    #[case] fault: Fault,
    #[case] checks_fencing: bool,
    #[case] order_limit: u8,
    #[case] max_restarts: u8,
) {
    let specification = Orders::new(fault, checks_fencing, order_limit, (1, max_restarts, 0));
    let name = format!("{fault:?}, fencing {checks_fencing}");
    assert_violates(&name, &specification, "memory");
}
