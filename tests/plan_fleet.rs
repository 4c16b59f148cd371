//! Simulated fleets in which plans are published while syncs are late or lost and leaders change
//! (docs/design.md, section 18).
//!
//! Guards against requests that run by a plan after a newer one was acknowledged (CONFIG).

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use rand::{Rng, SeedableRng, rngs::StdRng};
use rstest::rstest;
use waxwinglatch::{
    coordinator::PlanConfirmations,
    gateway::{PlanLease, PlanStanding},
    ids::EntryKey,
    sync::ServingState,
};

const BOUND: Duration = Duration::from_secs(3);
const SYNC_INTERVAL: Duration = Duration::from_secs(1);
const LENGTH: Duration = Duration::from_secs(60);
const LEASE: PlanLease = PlanLease {
    length: BOUND,
    apply_time: BOUND,
    leaderless_time: Duration::ZERO,
};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Sync {
        gateway: usize,
    },
    Arrive {
        gateway: usize,
        sent_at: Duration,
        held: u64,
        term: u64,
    },
    Reply {
        gateway: usize,
        sent_at: Duration,
        newest: u64,
    },
    News {
        gateway: usize,
        version: u64,
    },
    Confirm {
        gateway: usize,
        version: u64,
        term: u64,
    },
    Publish,
    LoseLeader,
    GainLeader,
}

/// How a fleet's network and leaders behave.
#[derive(Clone, Copy, Debug)]
struct Conditions {
    gateways: usize,
    /// Share of messages that are lost.
    loss: f64,
    /// Maximum delay of a message.
    max_delay: Duration,
    /// Mean time between losses of the leader, if it is lost at all.
    leader_life: Option<Duration>,
}

#[derive(Clone, Debug, Default)]
struct Gateway {
    version: u64,
    proved_at: Option<Duration>,
}

struct Fleet {
    conditions: Conditions,
    rng: StdRng,
    now: Duration,
    queue: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    events: u64,
    gateways: Vec<Gateway>,
    newest: u64,
    term: u64,
    confirmations: Option<PlanConfirmations>,
    /// Plans that wait for their acknowledgement, and those that have it, with the time.
    waiting: Vec<(u64, Duration)>,
    acknowledged: Vec<(u64, Duration)>,
    longest_wait: Duration,
}

fn key(gateway: usize) -> EntryKey {
    EntryKey {
        vm: format!("edge-{gateway}").into(),
        incarnation: 1,
    }
}

impl Fleet {
    fn new(conditions: Conditions, seed: u64) -> Self {
        let mut fleet = Self {
            conditions,
            rng: StdRng::seed_from_u64(seed),
            now: Duration::ZERO,
            queue: BinaryHeap::new(),
            events: 0,
            gateways: vec![Gateway::default(); conditions.gateways],
            newest: 1,
            term: 1,
            confirmations: Some(PlanConfirmations::new(BOUND, Duration::ZERO)),
            waiting: Vec::new(),
            acknowledged: Vec::new(),
            longest_wait: Duration::ZERO,
        };
        for gateway in 0..conditions.gateways {
            let delay = fleet.rng.random_range(Duration::ZERO..SYNC_INTERVAL);
            fleet.schedule(delay, Event::Sync { gateway });
        }
        fleet.schedule(Duration::from_secs(5), Event::Publish);
        if let Some(life) = conditions.leader_life {
            fleet.schedule(life, Event::LoseLeader);
        }
        fleet
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.events += 1;
        self.queue
            .push(Reverse((self.now + delay, self.events, event)));
    }

    /// Sends a message, which may be lost.
    fn send(&mut self, event: Event) {
        if !self.rng.random_bool(self.conditions.loss) {
            let delay = self
                .rng
                .random_range(Duration::ZERO..self.conditions.max_delay);
            self.schedule(delay, event);
        }
    }

    fn run(&mut self) {
        while let Some(Reverse((at, _, event))) = self.queue.pop()
            && at < LENGTH
        {
            self.now = at;
            self.handle(event);
            self.acknowledge();
            if let Event::Sync { gateway } | Event::Reply { gateway, .. } = event {
                self.check(gateway);
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Sync { gateway } => {
                let (sent_at, held, term) = (self.now, self.gateways[gateway].version, self.term);
                self.send(Event::Arrive {
                    gateway,
                    sent_at,
                    held,
                    term,
                });
                self.schedule(SYNC_INTERVAL, event);
            }
            Event::Arrive {
                gateway,
                sent_at,
                held,
                term,
            } if term == self.term => {
                if let Some(confirmations) = &mut self.confirmations {
                    confirmations.record_report(
                        &key(gateway),
                        ServingState::with_plan(held),
                        self.now,
                    );
                    let newest = self.newest;
                    self.send(Event::Reply {
                        gateway,
                        sent_at,
                        newest,
                    });
                }
            }
            Event::Reply {
                gateway,
                sent_at,
                newest,
            } => {
                let gateway = &mut self.gateways[gateway];
                gateway.version = gateway.version.max(newest);
                gateway.proved_at = gateway.proved_at.max(Some(sent_at));
            }
            Event::News { gateway, version } => {
                let state = &mut self.gateways[gateway];
                state.version = state.version.max(version);
                let (version, term) = (state.version, self.term);
                self.send(Event::Confirm {
                    gateway,
                    version,
                    term,
                });
            }
            Event::Confirm {
                gateway,
                version,
                term,
            } if term == self.term => {
                if let Some(confirmations) = &mut self.confirmations {
                    confirmations.confirm(&key(gateway), ServingState::with_plan(version));
                }
            }
            Event::Publish => {
                if self.confirmations.is_some() {
                    self.newest += 1;
                    let version = self.newest;
                    self.waiting.push((version, self.now));
                    for gateway in 0..self.gateways.len() {
                        self.send(Event::News { gateway, version });
                    }
                }
                let pause = self.rng.random_range(100..2_000);
                self.schedule(Duration::from_millis(pause), Event::Publish);
            }
            Event::LoseLeader => {
                self.confirmations = None;
                self.waiting.clear();
                let pause = self.rng.random_range(500..5_000);
                self.schedule(Duration::from_millis(pause), Event::GainLeader);
            }
            Event::GainLeader => {
                self.term += 1;
                self.confirmations = Some(PlanConfirmations::new(BOUND, self.now + BOUND));
                let life = self.conditions.leader_life.unwrap_or(LENGTH);
                let life = life.mul_f64(self.rng.random_range(0.2..2.0));
                self.schedule(life, Event::LoseLeader);
            }
            Event::Arrive { .. } | Event::Confirm { .. } => {}
        }
    }

    fn acknowledge(&mut self) {
        let Some(confirmations) = &self.confirmations else {
            return;
        };
        let now = self.now;
        let (confirmed, waiting) = self.waiting.drain(..).partition(|(version, _)| {
            confirmations.is_confirmed(ServingState::with_plan(*version), now)
        });
        self.waiting = waiting;
        let confirmed: Vec<(u64, Duration)> = confirmed;
        for (version, published_at) in confirmed {
            self.longest_wait = self.longest_wait.max(now.saturating_sub(published_at));
            self.acknowledged.push((version, now));
        }
    }

    /// Checks that a gateway runs no request by a plan that must not be in force any more.
    fn check(&self, number: usize) {
        let gateway = &self.gateways[number];
        let age = gateway.proved_at.map(|at| self.now.saturating_sub(at));
        let standing = LEASE.standing(age, |_| false);
        let newer = self.acknowledged.iter();
        let mut newer = newer.filter(|(version, _)| *version > gateway.version);
        let is_leased = standing == PlanStanding::Leased;
        let broken = newer.find(|(_, at)| {
            is_leased || standing == PlanStanding::Running && self.now >= *at + BOUND
        });
        assert_eq!(
            broken, None,
            "gateway {number} at {:?}, plan {}",
            self.now, gateway.version
        );
    }
}

/// Pattern: several plans a second while messages are lost or as late as the bound, and leaders are lost.
#[rstest]
#[case::few_gateways(9, 0.05)]
#[case::large_fleet(291, 0.05)]
#[case::lossy_links(291, 0.4)]
fn acknowledged_plans_are_in_force_in_time(#[case] gateways: usize, #[case] loss: f64) {
    for seed in 0..6 {
        let conditions = Conditions {
            gateways,
            loss,
            max_delay: BOUND,
            leader_life: Some(Duration::from_secs(8)),
        };
        let mut fleet = Fleet::new(conditions, seed);
        fleet.run();
        assert!(fleet.newest > 10, "seed {seed}: {} plans", fleet.newest);
    }
}

/// Pattern: changes at a calm fleet of any size are acknowledged long before operators repeat them.
#[rstest]
#[case::few_gateways(9)]
#[case::large_fleet(291)]
#[case::next_size(1_000)]
fn calm_fleet_confirms_plans_at_once(#[case] gateways: usize) {
    let conditions = Conditions {
        gateways,
        loss: 0.0,
        max_delay: Duration::from_millis(20),
        leader_life: None,
    };
    let mut fleet = Fleet::new(conditions, 1);
    fleet.run();
    assert!(
        fleet.acknowledged.len() > 30,
        "{} plans",
        fleet.acknowledged.len()
    );
    assert!(
        fleet.longest_wait < Duration::from_millis(100),
        "{:?}",
        fleet.longest_wait
    );
}

/// Guards against changes that no operator gets acknowledged while gateways start (CONFIG): a gateway without a
/// plan counted as one with a lease on an older plan, so that each of its syncs held up all plans.
///
/// Pattern: most gateways of a large fleet lost power, and their syncs are answered late or not at all.
#[test]
fn gateways_without_a_plan_hold_up_no_plan() {
    let mut confirmations = PlanConfirmations::new(BOUND, Duration::ZERO);
    for second in 0..20 {
        let now = Duration::from_secs(second);
        for gateway in 0..291 {
            if gateway < 100 {
                confirmations.record_report(&key(gateway), ServingState::with_plan(8), now);
            } else {
                confirmations.record_missing_plan(&key(gateway), second + 1);
            }
        }
        assert!(
            confirmations.is_confirmed(ServingState::with_plan(8), now),
            "after {now:?}"
        );
        // One in ten is sent a plan, which is lost.
        for gateway in (100..291).step_by(10) {
            let (plan, sync) = (ServingState::with_plan(8), Some(second + 1));
            confirmations.record_first_plan(&key(gateway), plan, sync, now);
        }
    }
    let last = Duration::from_secs(19);
    assert_eq!(
        confirmations.count_behind(ServingState::with_plan(9), last),
        120
    );
    // A gateway that has lost the document of its plan still runs by it.
    confirmations.record_missing_plan(&key(0), 21);
    confirmations.record_first_plan(&key(0), ServingState::with_plan(9), Some(21), last);
    assert_eq!(
        confirmations.count_behind(ServingState::with_plan(9), last),
        120
    );
}

/// Guards against plans that are acknowledged although a gateway runs by an older one (CONFIG): delegates report what
/// they sent to a gateway late and in any order, and a gateway may apply any of it.
#[test]
fn oldest_plan_that_a_gateway_was_sent_counts_until_its_last_lease_ends() {
    let second = Duration::from_secs(1);
    let mut confirmations = PlanConfirmations::new(BOUND, Duration::ZERO);
    confirmations.record_first_plan(&key(0), ServingState::with_plan(4), None, second);
    confirmations.record_first_plan(&key(0), ServingState::with_plan(3), None, 2 * second);
    assert_eq!(
        confirmations.count_behind(ServingState::with_plan(4), 2 * second),
        1
    );
    assert_eq!(
        confirmations.count_behind(ServingState::with_plan(4), 4 * second),
        1
    );
    // A gateway that has lost the document of its plan applies the one that it is sent.
    confirmations.record_report(&key(1), ServingState::with_plan(8), Duration::ZERO);
    confirmations.record_first_plan(&key(1), ServingState::with_plan(9), None, 2 * second);
    assert_eq!(
        confirmations.count_behind(ServingState::with_plan(9), 2 * second),
        2
    );
    assert_eq!(
        confirmations.count_behind(ServingState::with_plan(10), 4 * second),
        2
    );
}

/// Guards against plans that are acknowledged although a gateway runs by an older one (CONFIG): a sync without a plan
/// that arrived late counted as a proof that the first plan, sent in reply to a later sync, was lost.
#[rstest]
#[case::sent_before_the_answered_one(Some(7), 6, 1)]
#[case::the_answered_one_again(Some(7), 7, 1)]
#[case::sent_after_the_answered_one(Some(7), 8, 0)]
#[case::of_an_earlier_release(Some(7), 0, 1)]
#[case::answered_by_a_delegate(None, 8, 1)]
fn only_a_later_sync_proves_that_a_first_plan_is_lost(
    #[case] answered: Option<u64>,
    #[case] arrived: u64,
    #[case] behind: usize,
) {
    let now = Duration::from_secs(1);
    let mut confirmations = PlanConfirmations::new(BOUND, Duration::ZERO);
    confirmations.record_first_plan(&key(0), ServingState::with_plan(3), answered, now);
    let is_lost = confirmations.record_missing_plan(&key(0), arrived);
    assert_eq!(is_lost, behind == 0);
    assert_eq!(
        confirmations.count_behind(ServingState::with_plan(4), now),
        behind
    );
}
