//! Model check of plan leases: a plan that is acknowledged is in force within the stated time at each
//! gateway that runs requests (docs/design.md, section 18, and docs/model-checking.md). The model runs
//! the leader's and the gateways' production code.

mod model;

use std::time::Duration;

use model::{Specification, assert_holds, assert_violates};
use rstest::rstest;
use waxwinglatch::{
    coordinator::PlanConfirmations,
    gateway::{AbsenceWatch, DoubtfulTime, PlanLease, PlanStanding},
    ids::EntryKey,
    raft::VoterId,
    sync::{AbsenceReport, ServingState},
};

const TICK: Duration = Duration::from_secs(1);
const GATEWAYS: usize = 2;
/// Voters of the log, of which two are a quorum.
const VOTERS: usize = 3;
/// Number of syncs without a plan, where they are told apart.
const MAX_LATE_SERIAL: u8 = 4;
/// Ticks for which a voter that has followed a leader supports no other, and in which a leader may count on
/// it.
const SUPPORT: u8 = 1;

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
    /// The leader forgets that it has sent a gateway its first plan.
    FirstPlanForgotten,
    /// A sync without a plan that arrives late counts as a proof that the gateway's first plan is lost.
    LateSyncIsProof,
    /// A gateway takes a delegate's answer for one of the leader.
    DelegateProofIsFresh,
    /// The leader does not wait for delegates with older plans.
    DelegateIgnored,
    /// A delegate counts a proof of the leader though it has not received the plan that this is about.
    ProofAheadOfLog,
    /// A gateway goes on by its plan after one coordinator has said that it knows no leader, until another
    /// names one.
    OneVoterDecides,
    /// A voter that has just started says that it has followed no leader.
    StartForgetsSupport,
    /// A gateway asks whether there is a leader now, not whether there was one since its lease ended.
    OnlyNowCounts,
}

/// A delegate's sync with the leader on its way: the delegate's plan, and what its gateway has reported to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum DelegateSync {
    None,
    Sent {
        at: u8,
        plan: u8,
        held: Option<u8>,
    },
    Answered {
        at: u8,
        newest: u8,
        held: Option<u8>,
    },
}

/// A coordinator that answers the first gateway in the leader's place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Delegate {
    version: u8,
    proved_at: Option<u8>,
    /// Proof of a plan that the log has not brought yet.
    waiting: Option<(u8, u8)>,
    /// Plan that the gateway has reported since the last sync that the leader has answered.
    held: Option<u8>,
    sync: DelegateSync,
    /// What the leader was told in its term: the plan, and when.
    report: Option<(u8, u8)>,
}

impl Delegate {
    fn apply_log(&mut self, newest: u8) {
        self.version = newest;
        if let Some((version, at)) = self.waiting
            && version <= newest
        {
            self.proved_at = self.proved_at.max(Some(at));
            self.waiting = None;
        }
    }
}

/// A question to a voter on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Question {
    None,
    Sent {
        voter: usize,
        at: u8,
    },
    Answered {
        voter: usize,
        sent_at: u8,
        answered_at: u8,
        supports_until: u8,
    },
}

/// Time in which a voter supported no leader, as the gateway may take it from an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Answer {
    began: u8,
    ended: u8,
}

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
    /// Number of its last sync.
    serial: u8,
    /// Number of a sync without a plan that it has given up, and that is still under way.
    late: Option<u8>,
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
    /// First plan that each gateway was sent in the leader's term, when, and the sync that was answered.
    first_plans: [Option<(u8, u8, u8)>; GATEWAYS],
    /// News on their way.
    news: [bool; GATEWAYS],
    delegate: Delegate,
    /// Until when a leader can count on each voter. Voters that are cut off follow none.
    supports_until: [u8; VOTERS],
    /// Until when the first voter, which may have started anew, says that a leader could count on it.
    remembered: u8,
    /// Question of the first gateway, and the last answer of each voter to it.
    question: Question,
    answers: [Option<Answer>; VOTERS],
    /// Whether the voter that answered last knew no leader.
    is_leader_unknown: bool,
}

#[derive(Debug)]
enum Action {
    Tick,
    SendSync(#[allow(dead_code)] usize),
    AnswerSync(#[allow(dead_code)] usize),
    ReceiveReply(#[allow(dead_code)] usize),
    LoseSync(#[allow(dead_code)] usize),
    GiveUpSync(#[allow(dead_code)] usize),
    AnswerLateSync(#[allow(dead_code)] usize),
    Publish,
    ReceiveNews(#[allow(dead_code)] usize),
    Acknowledge,
    ChangeLeader,
    ReplicateLog,
    SendDelegateSync,
    AnswerDelegate,
    ReceiveDelegateReply,
    LoseDelegateSync,
    FollowLeader(#[allow(dead_code)] usize),
    StartVoter(#[allow(dead_code)] usize),
    AskVoter(#[allow(dead_code)] usize),
    AnswerQuestion,
    ReceiveAnswer,
}

struct PlanModel {
    fault: Fault,
    /// Number of gateways that sync and run requests.
    gateways: usize,
    /// Length of a lease and time in which an acknowledged plan must be in force, each in ticks.
    bound: u8,
    last_tick: u8,
    /// Plan that gateways start with; 0 is none.
    first_version: u8,
    /// Whether a delegate answers the syncs.
    has_delegate: bool,
    /// Whether leaders need the support of voters, which gateways ask whether there is a leader.
    has_voters: bool,
    /// Whether a sync without a plan may arrive after the gateway has given it up.
    has_late_syncs: bool,
}

fn key(gateway: usize) -> EntryKey {
    EntryKey {
        vm: format!("edge-{gateway}").into(),
        incarnation: 1,
    }
}

fn voter_id(voter: usize) -> VoterId {
    VoterId::new(format!("core-{voter}"), 1)
}

fn plan_state(version: u8) -> ServingState {
    ServingState::with_plan(u64::from(version))
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
        for (gateway, sent) in state.first_plans.iter().enumerate() {
            if let Some((version, at, sync)) = sent
                && self.fault != Fault::FirstPlanForgotten
            {
                let (plan, at) = (plan_state(*version), ticks(*at));
                confirmations.record_first_plan(&key(gateway), plan, Some(u64::from(*sync)), at);
            }
        }
        if let Some((version, at)) = state.delegate.report
            && self.fault != Fault::DelegateIgnored
        {
            confirmations.record_delegate(&key(GATEWAYS), plan_state(version), ticks(at));
        }
        for (gateway, report) in state.reports.iter().enumerate() {
            if let Some((version, at)) = report {
                confirmations.record_report(&key(gateway), plan_state(*version), ticks(*at));
            }
        }
        confirmations
    }

    /// Returns whether a leader may act, which it does only with a lease.
    fn has_lease(&self, state: &State) -> bool {
        let support = state.supports_until.iter();
        let support = support.filter(|until| state.now < **until).count();
        !self.has_voters || support > VOTERS / 2
    }

    fn can_acknowledge(&self, state: &State) -> bool {
        if !self.has_lease(state) {
            return false;
        }
        self.fault == Fault::AcknowledgedAtCommit
            || self
                .confirmations(state)
                .is_confirmed(plan_state(state.newest), ticks(state.now))
    }

    /// Returns whether the first gateway holds that nothing was acknowledged in a time.
    fn was_leaderless(&self, state: &State, began: Duration, ended: Duration) -> bool {
        if self.fault == Fault::OneVoterDecides {
            return state.is_leader_unknown;
        }
        let mut watch = AbsenceWatch::new();
        for (voter, answer) in state.answers.iter().enumerate() {
            let Some(answer) = answer else {
                continue;
            };
            let report = AbsenceReport {
                voter: voter_id(voter),
                voters: (0..VOTERS).map(voter_id).collect(),
                began_ms: 0,
                ended_ms: 0,
            };
            watch.record(&report, ticks(answer.ended), ticks(answer.began));
        }
        let began = match self.fault {
            Fault::OnlyNowCounts => ended,
            _ => began,
        };
        watch.was_leaderless(began, ended)
    }

    fn standing(&self, state: &State, index: usize) -> PlanStanding {
        let (gateway, now) = (state.gateways[index], state.now);
        let lease = PlanLease {
            length: ticks(self.bound),
            apply_time: ticks(self.bound),
            leaderless_time: ticks(self.last_tick),
        };
        let age = gateway.proved_at.map(|at| ticks(now - at));
        let was_leaderless = |doubtful: DoubtfulTime| {
            let began = ticks(now).saturating_sub(doubtful.began_ago);
            let ended = ticks(now).saturating_sub(doubtful.ended_ago);
            index == 0 && self.has_voters && self.was_leaderless(state, began, ended)
        };
        match lease.standing(age, was_leaderless) {
            PlanStanding::Outdated if self.fault == Fault::RunsWithoutProof => {
                PlanStanding::Running
            }
            standing => standing,
        }
    }
}

impl PlanModel {
    /// Answers a sync without a plan, as the leader does: it takes a first plan that it was sent before for lost if
    /// that is proved, and sends the newest one.
    fn answer_without_plan(&self, state: &mut State, index: usize, serial: u8) {
        if let Some((_, at)) = &mut state.reports[index] {
            *at = state.now;
            return;
        }
        let mut confirmations = self.confirmations(state);
        let is_lost = confirmations.record_missing_plan(&key(index), u64::from(serial))
            || self.fault == Fault::LateSyncIsProof;
        let sent = (state.newest, state.now, serial);
        let before = state.first_plans[index].filter(|_| !is_lost);
        state.first_plans[index] = Some(before.map_or(sent, |before| {
            (before.0.min(sent.0), sent.1, before.2.max(sent.2))
        }));
    }

    /// Adds what a gateway does: its syncs and news may be late or lost at any point.
    fn add_gateway_actions(
        &self,
        state: &State,
        index: usize,
        add: &mut impl FnMut(Action, &dyn Fn(&mut State)),
    ) {
        let gateway = state.gateways[index];
        match gateway.sync {
            Sync::None if self.has_voters || gateway.serial == MAX_LATE_SERIAL => {}
            Sync::None => add(Action::SendSync(index), &|state| {
                let gateway = &mut state.gateways[index];
                // Only syncs without a plan are told apart.
                gateway.serial += u8::from(gateway.version == 0 && self.has_late_syncs);
                gateway.sync = Sync::Sent {
                    at: state.now,
                    held: gateway.version,
                };
            }),
            Sync::Sent { at, held } if self.has_delegate => {
                let proved_at = state.delegate.proved_at;
                // The gateway counts the proof's age from the moment at which it asked.
                let age = proved_at.map(|proved_at| state.now - proved_at);
                let proof = match self.fault {
                    Fault::DelegateProofIsFresh => age.map(|_| at),
                    _ => age.and_then(|age| at.checked_sub(age)),
                };
                if let Some(at) = proof {
                    add(Action::AnswerSync(index), &|state| {
                        state.delegate.held = state.delegate.held.max(Some(held));
                        let newest = state.delegate.version;
                        state.gateways[index].sync = Sync::Answered { at, newest };
                    });
                }
                add(Action::LoseSync(index), &|state| {
                    state.gateways[index].sync = Sync::None;
                });
            }
            Sync::Sent { at, held } => {
                add(Action::AnswerSync(index), &|state| {
                    let known = state.reports[index].map_or(held, |(version, _)| version.max(held));
                    state.reports[index] = Some((known, state.now));
                    let newest = state.newest;
                    if held == 0 {
                        state.reports[index] = None;
                        self.answer_without_plan(state, index, gateway.serial);
                    }
                    state.gateways[index].sync = Sync::Answered { at, newest };
                });
                add(Action::LoseSync(index), &|state| {
                    state.gateways[index].sync = Sync::None;
                });
                if held == 0 && self.has_late_syncs {
                    add(Action::GiveUpSync(index), &|state| {
                        let gateway = &mut state.gateways[index];
                        gateway.sync = Sync::None;
                        gateway.late = Some(gateway.serial);
                    });
                }
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
        if let Some(serial) = gateway.late {
            add(Action::AnswerLateSync(index), &|state| {
                state.gateways[index].late = None;
                self.answer_without_plan(state, index, serial);
            });
        }
        // News are changes of a plan, and come from the coordinator that answers syncs.
        let is_told = !self.has_delegate || state.delegate.version == state.newest;
        if state.news[index] && gateway.version > 0 && is_told {
            add(Action::ReceiveNews(index), &|state| {
                let (newest, now) = (state.newest, state.now);
                let gateway = &mut state.gateways[index];
                gateway.version = newest;
                if self.fault == Fault::NewsIsProof {
                    gateway.proved_at = Some(now);
                }
                state.news[index] = false;
                if self.has_delegate {
                    state.delegate.held = Some(newest);
                    return;
                }
                if let Some((version, _)) = &mut state.reports[index] {
                    *version = (*version).max(newest);
                }
            });
        }
    }

    /// Adds what a delegate does: it receives the log at any time, and its syncs may be late or lost.
    fn add_delegate_actions(
        &self,
        state: &State,
        add: &mut impl FnMut(Action, &dyn Fn(&mut State)),
    ) {
        let delegate = state.delegate;
        if delegate.version < state.newest {
            add(Action::ReplicateLog, &|state| {
                let newest = state.newest;
                state.delegate.apply_log(newest);
            });
        }
        match delegate.sync {
            DelegateSync::None => add(Action::SendDelegateSync, &|state| {
                let delegate = &mut state.delegate;
                delegate.sync = DelegateSync::Sent {
                    at: state.now,
                    plan: delegate.version,
                    held: delegate.held.take(),
                };
            }),
            DelegateSync::Sent { at, plan, held } => {
                add(Action::AnswerDelegate, &|state| {
                    let (newest, now) = (state.newest, state.now);
                    if let Some(held) = held {
                        let known = state.reports[0].map_or(held, |(known, _)| known.max(held));
                        state.reports[0] = Some((known, now));
                    }
                    let known = state
                        .delegate
                        .report
                        .map_or(plan, |(known, _)| known.max(plan));
                    state.delegate.report = Some((known, now));
                    state.delegate.sync = DelegateSync::Answered { at, newest, held };
                });
            }
            DelegateSync::Answered { at, newest, .. } => {
                add(Action::ReceiveDelegateReply, &|state| {
                    let delegate = &mut state.delegate;
                    delegate.sync = DelegateSync::None;
                    delegate.waiting = Some((newest, at));
                    let version = match self.fault {
                        Fault::ProofAheadOfLog => newest.max(delegate.version),
                        _ => delegate.version,
                    };
                    let held = delegate.version;
                    delegate.apply_log(version);
                    delegate.version = held;
                });
            }
        }
        if let DelegateSync::Sent { held, .. } | DelegateSync::Answered { held, .. } = delegate.sync
        {
            add(Action::LoseDelegateSync, &|state| {
                state.delegate.sync = DelegateSync::None;
                state.delegate.held = state.delegate.held.max(held);
            });
        }
    }

    /// Adds what voters do: any of them follows a leader at any time or, if it is cut off, at none, is
    /// started anew, and answers the first gateway's questions.
    fn add_voter_actions(&self, state: &State, add: &mut impl FnMut(Action, &dyn Fn(&mut State))) {
        for voter in 0..VOTERS {
            if state.supports_until[voter] < state.now + SUPPORT {
                add(Action::FollowLeader(voter), &|state| {
                    state.supports_until[voter] = state.now + SUPPORT;
                    if voter == 0 {
                        state.remembered = state.now + SUPPORT;
                    }
                });
            }
            // One voter that starts anew shows it for all.
            if voter == 0 {
                add(Action::StartVoter(voter), &|state| {
                    // What a leader may count on outlasts the process.
                    state.remembered = match self.fault {
                        Fault::StartForgetsSupport => 0,
                        _ => state.now + SUPPORT,
                    };
                });
            }
        }
        let is_doubtful = state.gateways[0]
            .proved_at
            .is_some_and(|at| state.now > at + self.bound);
        match state.question {
            Question::None if is_doubtful => {
                for voter in 0..VOTERS {
                    add(Action::AskVoter(voter), &|state| {
                        let at = state.now;
                        state.question = Question::Sent { voter, at };
                    });
                }
            }
            Question::None => {}
            Question::Sent { voter, at } => add(Action::AnswerQuestion, &|state| {
                state.question = Question::Answered {
                    voter,
                    sent_at: at,
                    answered_at: state.now,
                    supports_until: match voter {
                        0 => state.remembered,
                        _ => state.supports_until[voter],
                    },
                };
            }),
            Question::Answered {
                voter,
                sent_at,
                answered_at,
                supports_until,
            } => add(Action::ReceiveAnswer, &|state| {
                state.question = Question::None;
                state.is_leader_unknown =
                    self.fault == Fault::OneVoterDecides && supports_until <= answered_at;
                let age = answered_at.checked_sub(supports_until);
                state.answers[voter] = age.map(|age| Answer {
                    began: state.now - age,
                    ended: sent_at,
                });
            }),
        }
    }
}

impl Specification for PlanModel {
    type State = State;
    type Action = Action;

    fn initial(&self) -> State {
        let gateway = Gateway {
            version: self.first_version,
            proved_at: None,
            sync: Sync::None,
            serial: 0,
            late: None,
        };
        // With voters, the first gateway has just been answered, and hears of no plan after that.
        let answered = self.has_voters.then_some(0);
        let mut gateways = [gateway; GATEWAYS];
        gateways[0].proved_at = answered;
        let mut reports = [None; GATEWAYS];
        reports[0] = answered.map(|at| (1, at));
        State {
            now: 0,
            newest: 1,
            acknowledged_at: None,
            took_over_at: None,
            gateways,
            reports,
            first_plans: [None; GATEWAYS],
            news: [false; GATEWAYS],
            delegate: Delegate {
                version: 1,
                proved_at: None,
                waiting: None,
                held: None,
                sync: DelegateSync::None,
                report: None,
            },
            supports_until: [SUPPORT; VOTERS],
            remembered: SUPPORT,
            question: Question::None,
            answers: [None; VOTERS],
            is_leader_unknown: false,
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
        for index in 0..self.gateways {
            self.add_gateway_actions(state, index, &mut add);
        }
        if state.newest == 1 || (self.fault == Fault::NewsIsProof && state.newest == 2) {
            add(Action::Publish, &|state| {
                state.newest += 1;
                state.acknowledged_at = None;
                // News of an earlier plan may arrive later than this.
                state.news = [state.newest == 2 && !self.has_voters; GATEWAYS];
            });
        }
        if state.newest > 1 && state.acknowledged_at.is_none() && self.can_acknowledge(state) {
            add(Action::Acknowledge, &|state| {
                state.acknowledged_at = Some(state.now);
            });
        }
        if self.has_delegate {
            self.add_delegate_actions(state, &mut add);
        }
        if self.has_voters {
            self.add_voter_actions(state, &mut add);
        }
        if state.took_over_at.is_none() && !self.has_voters {
            add(Action::ChangeLeader, &|state| {
                state.took_over_at = Some(state.now);
                state.reports = [None; GATEWAYS];
                state.first_plans = [None; GATEWAYS];
                state.delegate.report = None;
                // The next leader does not know what was on its way to this one.
                if let DelegateSync::Sent { held, .. } = state.delegate.sync {
                    state.delegate.held = state.delegate.held.max(held);
                    state.delegate.sync = DelegateSync::None;
                }
            });
        }
        next
    }

    fn violation(&self, state: &State) -> Option<&'static str> {
        let acknowledged_at = state.acknowledged_at?;
        let mut behind = (0..GATEWAYS).filter(|index| {
            let version = state.gateways[*index].version;
            // A gateway without a plan runs nothing.
            version > 0 && version < state.newest
        });
        behind.find_map(|index| match self.standing(state, index) {
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
        first_version: 1,
        has_delegate: false,
        has_voters: false,
        has_late_syncs: false,
    };
    assert_holds("plan leases", &model, min_states);
}

/// Pattern: a gateway that has just started gets its first plan while the next one is published. It holds up
/// no plan before that, and must hold up the next one after it.
#[test]
fn plan_is_in_force_in_time_at_a_gateway_that_has_just_started() {
    let model = PlanModel {
        fault: Fault::None,
        gateways: 1,
        bound: 2,
        last_tick: 6,
        first_version: 0,
        has_delegate: false,
        has_voters: false,
        has_late_syncs: false,
    };
    assert_holds("plan leases from the start", &model, 10_000);
}

/// Guards against plans that are acknowledged although a gateway runs by an older one (CONFIG): a sync without a plan
/// that the gateway had given up arrives after a later one was answered, and says that its first plan is lost.
#[test]
fn plan_is_in_force_in_time_where_syncs_of_a_starting_gateway_arrive_late() {
    let model = PlanModel {
        fault: Fault::None,
        gateways: 1,
        bound: 1,
        last_tick: 3,
        first_version: 0,
        has_delegate: false,
        has_voters: false,
        has_late_syncs: true,
    };
    assert_holds("plan leases with late syncs", &model, 100_000);
}

/// Pattern: a delegate answers a gateway in the leader's place, with a log and a proof that lag, while a plan is
/// published and the leader changes. The leader waits for what the delegate may still promise.
#[test]
fn plan_is_in_force_in_time_where_delegates_answer() {
    let model = PlanModel {
        fault: Fault::None,
        gateways: 1,
        bound: 1,
        last_tick: 2,
        first_version: 1,
        has_delegate: true,
        has_voters: false,
        has_late_syncs: false,
    };
    assert_holds("plan leases with a delegate", &model, 100_000);
}

#[rstest]
#[case::proof_is_fresh(Fault::DelegateProofIsFresh)]
#[case::delegate_ignored(Fault::DelegateIgnored)]
#[case::proof_ahead_of_log(Fault::ProofAheadOfLog)]
fn seeded_fault_of_delegates_is_found(#[case] fault: Fault) {
    let model = PlanModel {
        fault,
        gateways: 1,
        bound: 1,
        last_tick: 3,
        first_version: 1,
        has_delegate: true,
        has_voters: false,
        has_late_syncs: false,
    };
    let property = "acknowledged under a lease on an older plan";
    assert_violates(&format!("{fault:?}"), &model, property);
}

/// Guards against gateways that took one coordinator's word for the lack of a leader (CONFIG): voters are cut
/// off, answer late or have just started while others support a leader that acknowledges a plan.
#[test]
fn plan_is_in_force_in_time_where_voters_know_no_leader() {
    let model = PlanModel {
        fault: Fault::None,
        gateways: 1,
        bound: 1,
        last_tick: 3,
        first_version: 1,
        has_delegate: false,
        has_voters: true,
        has_late_syncs: false,
    };
    assert_holds("plan leases with voters", &model, 100_000);
}

#[rstest]
#[case::one_voter_decides(Fault::OneVoterDecides)]
#[case::start_forgets_support(Fault::StartForgetsSupport)]
#[case::only_now_counts(Fault::OnlyNowCounts)]
fn seeded_fault_of_gateways_without_a_leader_is_found(#[case] fault: Fault) {
    let model = PlanModel {
        fault,
        gateways: 1,
        bound: 1,
        last_tick: 3,
        first_version: 1,
        has_delegate: false,
        has_voters: true,
        has_late_syncs: false,
    };
    let property = "a request runs by an older plan";
    assert_violates(&format!("{fault:?}"), &model, property);
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
#[case::first_plan_forgotten(
    Fault::FirstPlanForgotten,
    "acknowledged under a lease on an older plan"
)]
#[case::late_sync_is_proof(Fault::LateSyncIsProof, "acknowledged under a lease on an older plan")]
fn seeded_fault_is_found(#[case] fault: Fault, #[case] property: &str) {
    let model = PlanModel {
        fault,
        gateways: 1,
        bound: 2,
        last_tick: 5,
        first_version: u8::from(!matches!(
            fault,
            Fault::FirstPlanForgotten | Fault::LateSyncIsProof
        )),
        has_delegate: false,
        has_voters: false,
        has_late_syncs: fault == Fault::LateSyncIsProof,
    };
    assert_violates(&format!("{fault:?}"), &model, property);
}
