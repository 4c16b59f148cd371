//! Model check of orders and memory reservations: an engine's memory is never overcommitted
//! (docs/design.md, section 12, and docs/model-checking.md). Reservations and verdicts are the
//! production ones.

#[path = "model/machine.rs"]
mod machine;
mod model;

use std::collections::{BTreeMap, BTreeSet};

use machine::Machine;
use model::{Specification, assert_caught, assert_holds};
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
    /// Memory is reused as soon as the order to unload was sent.
    ReusedBeforeConfirmed,
    /// An order that is not answered in time counts as lost.
    DroppedOnTimeout,
    /// A report that was read before the order settles it.
    StaleReport,
    /// An engine that ignores fencing numbers is treated like one that checks them.
    FencingAssumed,
    /// An order is settled by the report of a new life of the engine, which is not recorded.
    LifeNotRecorded,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Work {
    Load(u8),
    Unload(u8),
    /// Unloads a copy that does not exist, with a new fencing number.
    Nothing,
}

/// One copy of an order on its way to one life of the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Sent {
    fencing: u8,
    /// The order that a refusal of all earlier numbers is for, or the order itself.
    order: u8,
    number: u8,
    work: Work,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Report {
    life: u8,
    last: u8,
    loaded: BTreeSet<u8>,
}

/// What the leader keeps of an unsettled order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct FollowUp {
    work: Work,
    epoch: u8,
    sends: u8,
    answers: u8,
    sent_to: Option<u8>,
    quiet: u8,
    report: Option<Report>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum LogStep {
    Reserve(u8, Work),
    Settle(u8, bool),
    Confirm(Report),
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct State {
    log: u32,
    orders: BTreeMap<u8, FollowUp>,
    fencing: u8,
    given: u8,
    epoch: u8,
    network: BTreeSet<Sent>,
    /// Proposed commands that are not applied yet.
    settles: BTreeMap<u8, bool>,
    confirm: Option<Report>,
    engine: Report,
}

#[allow(dead_code)] // The fields are printed in traces.
#[derive(Clone, Copy, Debug)]
enum Action {
    Reserve(Work),
    Arrive(Sent, bool),
    Read(u8),
    Judge(u8),
    Quiet(u8),
    Settle(u8),
    ReadIdle,
    Confirm,
    Restart,
    LeaderChange,
}

struct Orders {
    fault: Fault,
    checks_fencing: bool,
    given: u8,
    sends: u8,
    restarts: u8,
    epochs: u8,
    log: Machine<ControlState, LogStep, bool>,
}

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

fn action(work: Work) -> OrderAction {
    match work {
        Work::Load(number) => OrderAction::Load(copy(number)),
        Work::Unload(number) => OrderAction::Unload(copy(number)),
        Work::Nothing => OrderAction::Unload(copy(9)),
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
        LogStep::Settle(fencing, done) => Command::Settle {
            target,
            fencing: (*fencing).into(),
            result: match done {
                true => SettleResult::Confirmed,
                false => SettleResult::Dropped,
            },
        },
        LogStep::Confirm(report) => Command::ConfirmReport {
            target,
            incarnation: report.life.into(),
            last_fencing: report.last.into(),
            copies: report.loaded.iter().map(|number| copy(*number)).collect(),
        },
    };
    let outcome = state.apply(1, &StampedCommand { at_ms: 1, command });
    outcome == Outcome::Reserve(ReserveOutcome::Granted)
}

/// Leaves out the version number of the table, which only counts the changes.
fn encode(state: &ControlState) -> Vec<u8> {
    let memory = state.memory().target(&"engine".into());
    rmp_serde::to_vec(&memory).expect("the memory of one engine")
}

impl Orders {
    /// `limits` are deliveries per order, restarts of the engine and changes of the leader.
    fn new(fault: Fault, checks_fencing: bool, given: u8, limits: (u8, u8, u8)) -> Self {
        let (sends, restarts, epochs) = limits;
        let log = Machine::new(apply, encode);
        Self {
            fault,
            checks_fencing,
            given,
            sends,
            restarts,
            epochs,
            log,
        }
    }

    fn assumes_fencing(&self) -> bool {
        self.checks_fencing || self.fault == Fault::FencingAssumed
    }

    fn configured(&self) -> ControlState {
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

    fn verdict(&self, fencing: u8, order: &FollowUp, report: &Report) -> OrderDecision {
        let delivery = DeliveryRecord {
            attempts: order.sends.into(),
            answers: order.answers.into(),
            last_answer: (order.answers > 0).then_some(OrderAnswer::Accepted),
            sent_to_incarnation: order.sent_to.map(u64::from),
            reports_without_order: order.quiet.into(),
        };
        let check = if self.assumes_fencing() {
            FencingMode::Enforced
        } else {
            FencingMode::Ignored
        };
        let read = EngineReport {
            incarnation: report.life.into(),
            last_fencing: report.last.into(),
            copies: report.loaded.iter().map(|number| copy(*number)).collect(),
            ..EngineReport::default()
        };
        evaluate_order(&action(order.work), fencing.into(), check, &delivery, &read)
    }

    /// Reserves the memory of an order, if that is allowed now.
    fn reserve(&self, after: &mut State, work: Work) {
        // Copies 0 and 1 are alike at the start.
        let is_mirrored = after.given == 0 && matches!(work, Work::Load(1) | Work::Unload(1));
        let step = LogStep::Reserve(after.fencing + 1, work);
        let (log, granted) = self.log.step(after.log, &step);
        if after.given == self.given || is_mirrored || !granted {
            return;
        }
        after.log = log;
        after.fencing += 1;
        after.given += 1;
        let earlier = after.confirm.clone();
        let order = FollowUp {
            work,
            epoch: after.epoch,
            sends: 0,
            answers: 0,
            sent_to: None,
            quiet: 0,
            report: earlier.filter(|_| self.fault == Fault::StaleReport),
        };
        after.orders.insert(after.fencing, order);
    }

    /// Sends an order once more, or makes the engine refuse it when it is of an earlier term.
    fn deliver(&self, after: &mut State, fencing: u8) {
        let (epoch, next) = (after.epoch, after.fencing + 1);
        let order = after.orders.get_mut(&fencing).expect("an order");
        let (number, mut sent, mut work) = (order.sends, fencing, order.work);
        order.sends += 1;
        if self.assumes_fencing() && order.epoch != epoch {
            (sent, work) = (next, Work::Nothing);
            after.fencing = next;
        }
        after.network.insert(Sent {
            fencing: sent,
            order: fencing,
            number,
            work,
        });
    }

    /// Records a new life of the engine before an order is settled by its report.
    fn adopt(&self, after: &mut State, fencing: u8, order: &FollowUp, report: &Report) {
        let verdict = self.verdict(fencing, order, report);
        let settles = matches!(verdict, OrderDecision::Confirmed | OrderDecision::Dropped);
        let memory = self.log.query(after.log, |state| {
            let target = state.memory().target(&"engine".into());
            target.and_then(waxwinglatch::state::TargetMemory::incarnation)
        });
        let records = self.fault != Fault::LifeNotRecorded;
        if settles && records && memory != Some(report.life.into()) {
            after.log = self
                .log
                .step(after.log, &LogStep::Confirm(report.clone()))
                .0;
        }
    }

    fn judge(&self, after: &mut State, fencing: u8) {
        let order = after.orders.get_mut(&fencing).expect("an order");
        let Some(report) = order.report.take() else {
            return;
        };
        let order = order.clone();
        self.adopt(after, fencing, &order, &report);
        match self.verdict(fencing, &order, &report) {
            OrderDecision::Confirmed => _ = after.settles.insert(fencing, true),
            OrderDecision::Dropped => _ = after.settles.insert(fencing, false),
            OrderDecision::Resend if order.sends < self.sends => {
                let kept = after.orders.get_mut(&fencing).expect("an order");
                if !self.assumes_fencing() {
                    kept.sent_to.get_or_insert(report.life);
                }
                self.deliver(after, fencing);
                if let (Fault::ReusedBeforeConfirmed, Work::Unload(_)) = (self.fault, order.work) {
                    after.settles.insert(fencing, true);
                }
            }
            OrderDecision::Resend | OrderDecision::Pending => {}
        }
        // Without a change of the leader, a late settlement is the same as a late verdict.
        if self.epochs == 0 {
            self.settle(after, fencing);
        }
    }

    fn arrive(&self, after: &mut State, sent: Sent, answered: bool) {
        after.network.remove(&sent);
        if !self.checks_fencing || sent.fencing > after.engine.last {
            after.engine.last = sent.fencing;
            match sent.work {
                Work::Load(number) => _ = after.engine.loaded.insert(number),
                Work::Unload(number) => _ = after.engine.loaded.remove(&number),
                Work::Nothing => {}
            }
        }
        if let Some(order) = after.orders.get_mut(&sent.order)
            && answered
            && order.answers < order.sends
        {
            order.answers += 1;
        }
    }

    fn settle(&self, after: &mut State, fencing: u8) {
        if let Some(done) = after.settles.remove(&fencing) {
            after.log = self.log.step(after.log, &LogStep::Settle(fencing, done)).0;
            after.orders.remove(&fencing);
        }
    }
}

impl Specification for Orders {
    type State = State;
    type Action = Action;

    fn initial(&self) -> State {
        let engine = Report {
            life: 1,
            last: 0,
            loaded: match self.fault {
                // Two loads that overtake each other are enough.
                Fault::FencingAssumed => BTreeSet::new(),
                _ => BTreeSet::from([0, 1]),
            },
        };
        let configured = self.log.number(&self.configured());
        let confirmed = self.log.step(configured, &LogStep::Confirm(engine.clone()));
        State {
            log: confirmed.0,
            orders: BTreeMap::new(),
            fencing: 0,
            given: 0,
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
        for work in (0..3).flat_map(|copy| [Work::Load(copy), Work::Unload(copy)]) {
            add(Action::Reserve(work), &|after| self.reserve(after, work));
        }
        for sent in &state.network {
            add(Action::Arrive(*sent, false), &|after| {
                self.arrive(after, *sent, false);
            });
            // The verdict on an order of an engine that checks fencing needs no answer.
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
            add(Action::Judge(fencing), &|after| self.judge(after, fencing));
            // No order stays in an engine's input buffer for as long as two quiet reports take, so
            // that the second one is read when no copy of the order is under way.
            let buffered = |sent: &Sent| sent.order == fencing;
            let is_new = order.sent_to.is_some_and(|life| life != state.engine.life);
            if is_new && !state.network.iter().any(buffered) {
                add(Action::Quiet(fencing), &|after| {
                    let order = after.orders.get_mut(&fencing).expect("an order");
                    order.quiet = 2;
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
            // It may be applied much later than it was read, and more than once.
            let step = LogStep::Confirm(report.clone());
            add(Action::Confirm, &|after| {
                after.log = self.log.step(after.log, &step).0;
            });
        }
        if state.engine.life <= self.restarts {
            add(Action::Restart, &|after| {
                // What is under way to the old process is lost with its connections.
                after.network.clear();
                after.engine.life += 1;
                after.engine.last = 0;
                after.engine.loaded.clear();
            });
        }
        if state.epoch < self.epochs {
            add(Action::LeaderChange, &|after| {
                after.epoch += 1;
                for order in after.orders.values_mut() {
                    (order.sends, order.answers) = (1, 0);
                    (order.sent_to, order.quiet, order.report) = (None, 0, None);
                }
            });
        }
        next
    }

    fn violation(&self, state: &State) -> Option<&'static str> {
        (state.engine.loaded.len() > CAPACITY).then_some("memory")
    }
}

/// Guards against a sequence of lost, late and repeated orders, late reports, restarted engines and
/// changes of the leader in which an engine holds more than its memory.
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
    #[case] given: u8,
    #[case] limits: (u8, u8, u8),
    #[case] least_states: usize,
) {
    let specification = Orders::new(Fault::None, checks_fencing, given, limits);
    let name = format!("orders, fencing {checks_fencing}, {given} orders, {limits:?}");
    assert_holds(&name, &specification, least_states);
}

/// Guards against a check that cannot fail: each fault overcommits memory.
#[rstest]
#[case(Fault::ReusedBeforeConfirmed, true, 2, 0)]
#[case(Fault::ReusedBeforeConfirmed, false, 2, 0)]
#[case(Fault::DroppedOnTimeout, false, 3, 0)]
#[case(Fault::StaleReport, false, 4, 0)]
#[case(Fault::FencingAssumed, false, 3, 0)]
#[case(Fault::LifeNotRecorded, false, 4, 1)]
fn a_seeded_fault_overcommits_memory(
    #[case] fault: Fault,
    #[case] checks_fencing: bool,
    #[case] given: u8,
    #[case] restarts: u8,
) {
    let specification = Orders::new(fault, checks_fencing, given, (1, restarts, 0));
    let name = format!("{fault:?}, fencing {checks_fencing}");
    assert_caught(&name, &specification, "memory");
}
