//! Tests how gateways sum each other's load. A gateway with a wrong sum sends requests to engines
//! that are already full. The tests need no network.
//!
//! Scenario: many gateways that each send a few requests to the same engines.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use rstest::rstest;
use waxwinglatch::{
    coordinator::GatewayTable,
    gateway::LoadAggregator,
    ids::EntryKey,
    sync::{
        self, GatewayReport, ListVersion, LoadMessage, LoadScope, LoadSum, LoadTopology,
        TargetHash, WaitSum, target_hash,
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

/// Aggregators in the topology that the leader assigns; messages are delivered without delay.
struct AggregatorFleet {
    aggregators: Vec<LoadAggregator>,
    now: Duration,
    messages: usize,
    /// Gateways whose messages are dropped.
    silent: Vec<usize>,
}

impl AggregatorFleet {
    fn new(gateways: usize, data_centres: usize) -> Self {
        let mut table = GatewayTable::default();
        for number in 0..gateways {
            let report = GatewayReport {
                crashes: Vec::new(),
                completed_parts: Vec::new(),
                parts_version: 0,
                gateway: key(number),
                data_centre: format!("centre-{}", number % data_centres).into(),
                plan_version: 0,
                evacuation_revision: 0,
                list_version: ListVersion::default(),
                list_digest: Vec::new(),
                shares: Vec::new(),
                load_address: address(number),
                news_address: None,
                demand: Vec::new(),
                unresponsive: Vec::new(),
                streams: Vec::new(),
                stream_queries: Vec::new(),
                missing_models: Vec::new(),
                missing_regional_models: Vec::new(),
                is_stranded: false,
                serial: 0,
            };
            table.record(&report, Duration::ZERO);
        }
        let aggregators = (0..gateways).map(|number| {
            let mut aggregator = LoadAggregator::new(key(number).incarnation);
            aggregator.set_topology(table.load_topology(&key(number)));
            aggregator
        });
        Self {
            aggregators: aggregators.collect(),
            now: Duration::ZERO,
            messages: 0,
            silent: Vec::new(),
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        for number in 0..self.aggregators.len() {
            for (receivers, message) in self.aggregators[number].outgoing_messages(self.now) {
                if self.silent.contains(&number) {
                    continue;
                }
                for receiver in receivers {
                    self.messages += 1;
                    let receiver_index =
                        (0..self.aggregators.len()).find(|other| address(*other) == receiver);
                    let aggregator =
                        &mut self.aggregators[receiver_index.expect("messages go to gateways")];
                    aggregator.apply_message(&message, address(number), self.now);
                }
            }
        }
    }

    fn other_loads(&mut self, number: usize, target: TargetHash) -> LoadSum {
        let other_loads = self.aggregators[number].other_loads(self.now);
        other_loads.get(&target).copied().unwrap_or_default()
    }
}

#[rstest]
#[case::direct(12, 3)]
#[case::relays(78, 3)]
#[case::relays_in_five_data_centres(68, 5)]
#[case::several_relays_in_each_data_centre(291, 5)]
fn each_gateway_sums_the_load_of_all_others(#[case] gateways: usize, #[case] data_centres: usize) {
    let target = target_hash(&"i-1".into());
    let mut fleet = AggregatorFleet::new(gateways, data_centres);
    for aggregator in &mut fleet.aggregators {
        aggregator.set_own_loads(loads(&[(target, sum(2, 300))]));
    }
    for _ in 0..4 {
        fleet.step();
    }
    let other_gateways = u32::try_from(gateways - 1).unwrap();
    for number in 0..gateways {
        assert_eq!(
            fleet.other_loads(number, target),
            sum(2 * other_gateways, 300 * other_gateways),
            "loads of other gateways at gateway {number}"
        );
    }
}

#[rstest]
#[case(12, 3)]
#[case(78, 3)]
fn ended_load_is_removed(#[case] gateways: usize, #[case] data_centres: usize) {
    let target = target_hash(&"i-1".into());
    let mut fleet = AggregatorFleet::new(gateways, data_centres);
    fleet.aggregators[7].set_own_loads(loads(&[(target, sum(5, 0))]));
    for _ in 0..4 {
        fleet.step();
    }
    assert_eq!(fleet.other_loads(3, target), sum(5, 0));
    fleet.aggregators[7].set_own_loads(HashMap::new());
    for _ in 0..4 {
        fleet.step();
    }
    assert_eq!(fleet.other_loads(3, target), sum(0, 0));
}

#[rstest]
#[case(12, 3)]
#[case(78, 3)]
fn load_of_a_silent_gateway_expires(#[case] gateways: usize, #[case] data_centres: usize) {
    let target = target_hash(&"i-1".into());
    let mut fleet = AggregatorFleet::new(gateways, data_centres);
    fleet.aggregators[7].set_own_loads(loads(&[(target, sum(5, 0))]));
    for _ in 0..4 {
        fleet.step();
    }
    fleet.silent.push(7);
    for _ in 0..200 {
        fleet.step();
    }
    assert_eq!(fleet.other_loads(3, target), sum(0, 0));
}

/// The number of messages per gateway must not grow with the fleet: with 78 gateways whose loads
/// all change at every step, the traffic of each gateway uses only a small part of a 10 Mbit/s
/// link.
#[test]
fn messages_do_not_grow_quadratically_with_the_fleet() {
    let target = target_hash(&"i-1".into());
    let mut fleet = AggregatorFleet::new(78, 3);
    let steps = 50;
    for step in 0..steps {
        for aggregator in &mut fleet.aggregators {
            aggregator.set_own_loads(loads(&[(target, sum(1 + step % 2, step))]));
        }
        fleet.step();
    }
    // Each member sends and receives one message per step, and three relays exchange theirs.
    let max_messages = (2 * 78 + 6) * steps as usize;
    assert!(
        fleet.messages <= max_messages,
        "{} messages sent, at most {max_messages} expected",
        fleet.messages
    );
}

/// Pattern: hundreds of gateways. A relay for a whole data centre of 60 would have to send each change
/// 60 times over a link of 10 Mbit/s.
#[test]
fn relays_of_a_large_fleet_serve_a_part_of_their_data_centre() {
    // Each of 1,457 requests a second changes a load three times, at 12 bytes for each member.
    let max_members = 10_000_000 / 8 / (1_457 * 3 * 12);
    let fleet = AggregatorFleet::new(291, 5);
    let mut relays = 0;
    for aggregator in &fleet.aggregators {
        if let LoadTopology::Relay { members, .. } = aggregator.topology() {
            relays += 1;
            let members = members.len();
            assert!(members <= max_members, "one relay has {members} members");
        }
    }
    assert!(relays > 0, "no gateway is a relay");
}

/// Datagrams may arrive out of order, and an older one must not overwrite newer loads.
#[test]
fn an_older_message_is_ignored() {
    let target = target_hash(&"i-1".into());
    let mut aggregator = LoadAggregator::new(1);
    aggregator.set_topology(LoadTopology::Direct {
        peers: vec![address(2)],
    });
    let message = |serial, running| LoadMessage {
        incarnation: 2,
        serial,
        scope: LoadScope::Own,
        loads: vec![(target, sum(running, 0))],
        waiting: None,
    };
    aggregator.apply_message(&message(9, 4), address(2), STEP);
    aggregator.apply_message(&message(8, 1), address(2), STEP);
    assert_eq!(aggregator.other_loads(STEP).get(&target), Some(&sum(4, 0)));
}

/// Guards against gateways that do not know of more urgent requests elsewhere, or hold slots back for requests
/// that have left: the waiting requests of all others are summed, and those of a silent gateway expire after
/// 100 ms. Each of the gateways has two waiting requests.
#[rstest]
#[case::direct(12, 3)]
#[case::relays(59, 3)]
#[case::several_relays_in_each_data_centre(291, 5)]
fn each_gateway_sums_the_waiting_requests_of_all_others(
    #[case] gateways: usize,
    #[case] data_centres: usize,
) {
    let waiting = |rank_0: usize| {
        let mut sum = WaitSum::default();
        sum.ranks[0] = u16::try_from(rank_0).unwrap();
        sum
    };
    let mut fleet = AggregatorFleet::new(gateways, data_centres);
    for aggregator in &mut fleet.aggregators {
        aggregator.set_own_waits(HashMap::from([(1, waiting(2))]));
    }
    for _ in 0..8 {
        fleet.step();
    }
    for (number, aggregator) in fleet.aggregators.iter_mut().enumerate() {
        let others = aggregator.other_waits(fleet.now);
        let expected = HashMap::from([(1, waiting(2 * (gateways - 1)))]);
        assert_eq!(
            others, expected,
            "requests that wait elsewhere at gateway {number}"
        );
    }
    let is_member =
        |aggregator: &LoadAggregator| !matches!(aggregator.topology(), LoadTopology::Relay { .. });
    let silent = fleet.aggregators.iter().position(is_member).unwrap();
    fleet.silent.push(silent);
    // The figures expire at a relay first and at the receivers after its next message.
    for _ in 0..12 {
        fleet.step();
    }
    let last = gateways - 1;
    assert_ne!(silent, last);
    let others = fleet.aggregators[last].other_waits(fleet.now);
    assert_eq!(
        others,
        HashMap::from([(1, waiting(2 * (gateways - 2)))]),
        "at gateway {last}"
    );
    fleet.silent.extend(0..gateways);
    for _ in 0..5 {
        fleet.step();
    }
    assert!(fleet.aggregators[last].other_waits(fleet.now).is_empty());
}

/// Guards against gateways of an earlier release that cannot decode the loads of newer ones: without waiting
/// requests a message has the fields that it always had.
#[test]
fn a_message_without_waiting_requests_has_the_former_encoding() {
    let message = LoadMessage {
        incarnation: 2,
        serial: 9,
        scope: LoadScope::Own,
        loads: vec![(7, sum(1, 2))],
        waiting: None,
    };
    let former = (2_u64, 9_u64, LoadScope::Own, vec![(7_u32, (1_u32, 2_u32))]);
    assert_eq!(
        sync::encode_compact(&message).unwrap(),
        sync::encode_compact(&former).unwrap()
    );
    let bytes = sync::encode_compact(&former).unwrap();
    assert_eq!(
        sync::decode::<LoadMessage>("load message", &bytes).unwrap(),
        message
    );
    let mut waiting = WaitSum::default();
    waiting.ranks[9] = 300;
    let stated = LoadMessage {
        waiting: Some(vec![(7, waiting)]),
        ..message
    };
    let bytes = sync::encode_compact(&stated).unwrap();
    assert_eq!(
        sync::decode::<LoadMessage>("load message", &bytes).unwrap(),
        stated
    );
}
