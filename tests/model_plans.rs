//! Model check of plan leases: a plan that is acknowledged is in force within the stated time at each
//! gateway that runs requests (docs/design.md, section 18, and docs/model-checking.md). The model runs
//! the leader's and the gateways' production code.

mod model;

use std::time::Duration;

use model::{Specification, assert_holds, assert_violates};
use rstest::rstest;
use waxwinglatch::{
    coordinator::PlanConfirmations,
    gateway::{PlanLease, PlanStanding},
    ids::EntryKey,
};

const TICK: Duration = Duration::from_secs(1);
const GATEWAYS: usize = 2;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// A plan is acknowledged once it is in the log.
    AcknowledgedAtCommit,
    /// A gateway counts its lease from the arrival of the reply.
    LeaseFromArrival,
    /// A new leader takes the gateways that have reported to it for all of them.
    UnknownGatewaysIgnored,
    /// A gateway takes news for a proof of the plan's age.
    NewsIsProof,
    /// A gateway without a proof goes on by its plan.
    RunsWithoutProof,
}

/// A sync of a gateway on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Sync {
    None,
    Sent { at: u8, held: u8 },
    Answered { at: u8, newest: u8 },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Gateway {
    version: u8,
    proved_at: Option<u8>,
    sync: Sync,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: u8,
    newest: u8,
    acknowledged_at: Option<u8>,
    /// When the leader's term began, if it is not the first one.
    took_over_at: Option<u8>,
    gateways: [Gateway; GATEWAYS],
    /// What each gateway has told the leader in its term: the newest version, and the time of the last
    /// report. Earlier reports have no further effect.
    reports: [Option<(u8, u8)>; GATEWAYS],
    /// News on their way.
    news: [bool; GATEWAYS],
}

#[derive(Debug)]
enum Action {
    Tick,
    SendSync(#[allow(dead_code)] usize),
    AnswerSync(#[allow(dead_code)] usize),
    ReceiveReply(#[allow(dead_code)] usize),
    LoseSync(#[allow(dead_code)] usize),
    Publish,
    ReceiveNews(#[allow(dead_code)] usize),
    Acknowledge,
    ChangeLeader,
}

struct PlanModel {
    fault: Fault,
    /// Number of gateways that sync and run requests.
    gateways: usize,
    /// Length of a lease and time in which an acknowledged plan must be in force, each in ticks.
    bound: u8,
    last_tick: u8,
}

fn key(gateway: usize) -> EntryKey {
    EntryKey {
        vm: format!("edge-{gateway}").into(),
        incarnation: 1,
    }
}

fn ticks(count: u8) -> Duration {
    TICK * u32::from(count)
}

impl PlanModel {
    fn confirmations(&self, state: &State) -> PlanConfirmations {
        let unknown_until = match state.took_over_at {
            Some(at) if self.fault != Fault::UnknownGatewaysIgnored => at + self.bound,
            _ => 0,
        };
        let mut confirmations = PlanConfirmations::new(ticks(self.bound), ticks(unknown_until));
        for (gateway, report) in state.reports.iter().enumerate() {
            if let Some((version, at)) = report {
                confirmations.record_report(&key(gateway), u64::from(*version), ticks(*at));
            }
        }
        confirmations
    }

    fn can_acknowledge(&self, state: &State) -> bool {
        self.fault == Fault::AcknowledgedAtCommit
            || self
                .confirmations(state)
                .is_confirmed(u64::from(state.newest), ticks(state.now))
    }

    fn standing(&self, gateway: Gateway, now: u8) -> PlanStanding {
        let lease = PlanLease {
            length: ticks(self.bound),
            apply_time: ticks(self.bound),
            leaderless_time: Duration::ZERO,
        };
        let age = gateway.proved_at.map(|at| ticks(now - at));
        match lease.standing(age, true) {
            PlanStanding::Outdated if self.fault == Fault::RunsWithoutProof => {
                PlanStanding::Running
            }
            standing => standing,
        }
    }
}

impl Specification for PlanModel {
    type State = State;
    type Action = Action;

    fn initial(&self) -> State {
        let gateway = Gateway {
            version: 1,
            proved_at: None,
            sync: Sync::None,
        };
        State {
            now: 0,
            newest: 1,
            acknowledged_at: None,
            took_over_at: None,
            gateways: [gateway; GATEWAYS],
            reports: [None; GATEWAYS],
            news: [false; GATEWAYS],
        }
    }

    fn next(&self, state: &State) -> Vec<(Action, State)> {
        let mut next = Vec::new();
        let mut add = |action, change: &dyn Fn(&mut State)| {
            let mut state = state.clone();
            change(&mut state);
            next.push((action, state));
        };
        if state.now < self.last_tick {
            add(Action::Tick, &|state| state.now += 1);
        }
        for (index, gateway) in state.gateways[..self.gateways].iter().enumerate() {
            match gateway.sync {
                Sync::None => add(Action::SendSync(index), &|state| {
                    let gateway = &mut state.gateways[index];
                    gateway.sync = Sync::Sent {
                        at: state.now,
                        held: gateway.version,
                    };
                }),
                Sync::Sent { at, held } => {
                    add(Action::AnswerSync(index), &|state| {
                        let known =
                            state.reports[index].map_or(held, |(version, _)| version.max(held));
                        state.reports[index] = Some((known, state.now));
                        let newest = state.newest;
                        state.gateways[index].sync = Sync::Answered { at, newest };
                    });
                    add(Action::LoseSync(index), &|state| {
                        state.gateways[index].sync = Sync::None;
                    });
                }
                Sync::Answered { at, newest } => add(Action::ReceiveReply(index), &|state| {
                    let now = state.now;
                    let gateway = &mut state.gateways[index];
                    let proved_at = match self.fault {
                        Fault::LeaseFromArrival => now,
                        _ => at,
                    };
                    gateway.version = gateway.version.max(newest);
                    gateway.proved_at = gateway.proved_at.max(Some(proved_at));
                    gateway.sync = Sync::None;
                }),
            }
            if state.news[index] {
                add(Action::ReceiveNews(index), &|state| {
                    let (newest, now) = (state.newest, state.now);
                    let gateway = &mut state.gateways[index];
                    gateway.version = newest;
                    if self.fault == Fault::NewsIsProof {
                        gateway.proved_at = Some(now);
                    }
                    state.news[index] = false;
                    if let Some((version, _)) = &mut state.reports[index] {
                        *version = (*version).max(newest);
                    }
                });
            }
        }
        if state.newest == 1 || (self.fault == Fault::NewsIsProof && state.newest == 2) {
            add(Action::Publish, &|state| {
                state.newest += 1;
                state.acknowledged_at = None;
                // News of an earlier plan may arrive later than this.
                state.news = [state.newest == 2; GATEWAYS];
            });
        }
        if state.newest > 1 && state.acknowledged_at.is_none() && self.can_acknowledge(state) {
            add(Action::Acknowledge, &|state| {
                state.acknowledged_at = Some(state.now);
            });
        }
        if state.took_over_at.is_none() {
            add(Action::ChangeLeader, &|state| {
                state.took_over_at = Some(state.now);
                state.reports = [None; GATEWAYS];
            });
        }
        next
    }

    fn violation(&self, state: &State) -> Option<&'static str> {
        let acknowledged_at = state.acknowledged_at?;
        let behind = state.gateways.iter();
        let mut behind = behind.filter(|gateway| gateway.version < state.newest);
        behind.find_map(|gateway| match self.standing(*gateway, state.now) {
            PlanStanding::Leased => Some("acknowledged under a lease on an older plan"),
            PlanStanding::Running if state.now >= acknowledged_at + self.bound => {
                Some("a request runs by an older plan")
            }
            _ => None,
        })
    }
}

/// Bounds: one new plan, one change of leader, any delay and loss of messages.
#[rstest]
#[case::one_gateway(1, 2, 7, 170_000)]
#[case::two_gateways(2, 1, 2, 100_000)]
fn acknowledged_plan_is_in_force_in_time(
    #[case] gateways: usize,
    #[case] bound: u8,
    #[case] last_tick: u8,
    #[case] min_states: usize,
) {
    let model = PlanModel {
        fault: Fault::None,
        gateways,
        bound,
        last_tick,
    };
    assert_holds("plan leases", &model, min_states);
}

#[rstest]
#[case::acknowledged_at_commit(
    Fault::AcknowledgedAtCommit,
    "acknowledged under a lease on an older plan"
)]
#[case::lease_from_arrival(Fault::LeaseFromArrival, "acknowledged under a lease on an older plan")]
#[case::unknown_gateways(
    Fault::UnknownGatewaysIgnored,
    "acknowledged under a lease on an older plan"
)]
#[case::news_is_proof(Fault::NewsIsProof, "acknowledged under a lease on an older plan")]
#[case::runs_without_proof(Fault::RunsWithoutProof, "a request runs by an older plan")]
fn seeded_fault_is_found(#[case] fault: Fault, #[case] property: &str) {
    let model = PlanModel {
        fault,
        gateways: 1,
        bound: 2,
        last_tick: 5,
    };
    assert_violates(&format!("{fault:?}"), &model, property);
}
