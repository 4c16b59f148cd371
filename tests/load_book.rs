//! Guards what gateways believe of each other's load: a gateway that is wrong about it sends where
//! the engine is full. No network is needed.
//!
//! Pattern: many gateways that each send a few requests to the same engines.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use rstest::rstest;
use waxwinglatch::{
    coordinator::GatewayTable,
    gateway::LoadBook,
    ids::EntryKey,
    sync::{
        GatewayReport, ListVersion, LoadMessage, LoadScope, LoadSum, LoadTopology, TargetHash,
        target_hash,
    },
};

const STEP: Duration = Duration::from_millis(20);

fn address(number: usize) -> SocketAddr {
    SocketAddr::from((
        [10, 0, u8::try_from(number / 250).unwrap(), 1],
        7_000 + u16::try_from(number).unwrap(),
    ))
}

fn key(number: usize) -> EntryKey {
    EntryKey {
        vm: format!("edge-{number:03}").into(),
        incarnation: number as u64 + 1,
    }
}

fn sum(running: u32, prefill_tokens: u32) -> LoadSum {
    LoadSum {
        running,
        prefill_tokens,
    }
}

fn loads(pairs: &[(TargetHash, LoadSum)]) -> HashMap<TargetHash, LoadSum> {
    pairs.iter().copied().collect()
}

/// Gateways that pass messages at once, as the leader arranges them.
struct BookFleet {
    books: Vec<LoadBook>,
    now: Duration,
    messages: usize,
    /// Gateways from which nothing arrives any more.
    silent: Vec<usize>,
}

impl BookFleet {
    fn new(gateways: usize, centres: usize) -> Self {
        let mut table = GatewayTable::default();
        for number in 0..gateways {
            let report = GatewayReport {
                gateway: key(number),
                data_centre: format!("centre-{}", number % centres).into(),
                plan_version: 0,
                list_version: ListVersion::default(),
                shares: Vec::new(),
                load_address: address(number),
                demand: Vec::new(),
                unresponsive: Vec::new(),
                missing_models: Vec::new(),
            };
            table.record(&report, Duration::ZERO);
        }
        let books = (0..gateways).map(|number| {
            let mut book = LoadBook::new(key(number).incarnation);
            book.set_topology(table.load_topology(&key(number)));
            book
        });
        Self {
            books: books.collect(),
            now: Duration::ZERO,
            messages: 0,
            silent: Vec::new(),
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        for number in 0..self.books.len() {
            for (receivers, message) in self.books[number].outgoing(self.now) {
                if self.silent.contains(&number) {
                    continue;
                }
                for receiver in receivers {
                    self.messages += 1;
                    let known = (0..self.books.len()).find(|other| address(*other) == receiver);
                    let book = &mut self.books[known.expect("messages go to gateways")];
                    book.accept(&message, address(number), self.now);
                }
            }
        }
    }

    fn others(&mut self, number: usize, target: TargetHash) -> LoadSum {
        let others = self.books[number].others(self.now);
        others.get(&target).copied().unwrap_or_default()
    }
}

#[rstest]
#[case::each_tells_all(12, 3)]
#[case::relays(78, 3)]
#[case::relays_in_five_data_centres(68, 5)]
fn each_gateway_learns_what_all_others_run(#[case] gateways: usize, #[case] centres: usize) {
    let target = target_hash(&"i-1".into());
    let mut fleet = BookFleet::new(gateways, centres);
    for book in &mut fleet.books {
        book.set_own(loads(&[(target, sum(2, 300))]));
    }
    for _ in 0..4 {
        fleet.step();
    }
    let others = u32::try_from(gateways - 1).unwrap();
    for number in 0..gateways {
        assert_eq!(
            fleet.others(number, target),
            sum(2 * others, 300 * others),
            "{number}"
        );
    }
}

#[rstest]
#[case(12, 3)]
#[case(78, 3)]
fn work_that_ended_is_forgotten(#[case] gateways: usize, #[case] centres: usize) {
    let target = target_hash(&"i-1".into());
    let mut fleet = BookFleet::new(gateways, centres);
    fleet.books[7].set_own(loads(&[(target, sum(5, 0))]));
    for _ in 0..4 {
        fleet.step();
    }
    assert_eq!(fleet.others(3, target), sum(5, 0));
    fleet.books[7].set_own(HashMap::new());
    for _ in 0..4 {
        fleet.step();
    }
    assert_eq!(fleet.others(3, target), sum(0, 0));
}

#[rstest]
#[case(12, 3)]
#[case(78, 3)]
fn a_gateway_that_fell_silent_stops_counting(#[case] gateways: usize, #[case] centres: usize) {
    let target = target_hash(&"i-1".into());
    let mut fleet = BookFleet::new(gateways, centres);
    fleet.books[7].set_own(loads(&[(target, sum(5, 0))]));
    for _ in 0..4 {
        fleet.step();
    }
    fleet.silent.push(7);
    for _ in 0..200 {
        fleet.step();
    }
    assert_eq!(fleet.others(3, target), sum(0, 0));
}

/// Messages of one gateway must not grow with the fleet: at 78 gateways that all change all the
/// time, each sends what fits a link of 10 Mbit/s many times over.
#[test]
fn messages_do_not_grow_with_the_square_of_the_fleet() {
    let target = target_hash(&"i-1".into());
    let mut fleet = BookFleet::new(78, 3);
    let steps = 50;
    for step in 0..steps {
        for book in &mut fleet.books {
            book.set_own(loads(&[(target, sum(1 + step % 2, step))]));
        }
        fleet.step();
    }
    // Each member sends one message a step and hears one; three relays tell each other.
    let most = (2 * 78 + 6) * steps as usize;
    assert!(
        fleet.messages <= most,
        "{} messages, {most} expected",
        fleet.messages
    );
}

/// Datagrams may arrive in another order.
#[test]
fn an_older_message_changes_nothing() {
    let target = target_hash(&"i-1".into());
    let mut book = LoadBook::new(1);
    book.set_topology(LoadTopology::Direct {
        peers: vec![address(2)],
    });
    let message = |serial, running| LoadMessage {
        incarnation: 2,
        serial,
        scope: LoadScope::Own,
        loads: vec![(target, sum(running, 0))],
    };
    book.accept(&message(9, 4), address(2), STEP);
    book.accept(&message(8, 1), address(2), STEP);
    assert_eq!(book.others(STEP).get(&target), Some(&sum(4, 0)));
}
