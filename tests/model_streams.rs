//! Exhaustive search of a fleet whose targets change from one version of their software to another while
//! gateways, leaders and all VMs are lost: no stream goes on at another version than began it (ORDER).
//!
//! The log's part is the real [`StreamTable`]. See docs/model-checking.md.

use std::collections::BTreeSet;

use pathfinding::prelude::bfs_reach;
use rstest::rstest;
use waxwinglatch::{
    ids::StreamKey,
    state::StreamTable,
    sync::{StreamOrigin, VersionObservation},
};

const GATEWAYS: usize = 2;
const STREAM: StreamKey = 7;
const RETENTION_MS: u64 = 1_000;
const SERVICE: &str = "drafts";

type Versions = BTreeSet<&'static str>;

/// A rule of the design that the model leaves out, to show that the search finds the violation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LeftOut {
    Nothing,
    /// Gateways get a list before the log has its versions.
    ObservationFirst,
    /// Gateways use versions from the platform's list that no leader has listed.
    AnnouncedOnly,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Leader {
    Lost,
    Elected,
    /// It has read a list with these versions.
    Listed(Versions),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Gateway {
    targets: Versions,
    announced: Versions,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Fleet {
    /// Versions that run; the release is at its first, second or last stage.
    stage: usize,
    log: StreamTable,
    leader: Leader,
    gateways: [Gateway; GATEWAYS],
    /// Version that began the stream, and the gateway that knows it.
    stream: Option<(&'static str, Option<usize>)>,
    /// Version that went on.
    continued: Option<&'static str>,
    losses: u8,
}

impl Fleet {
    fn new() -> Self {
        let gateway = Gateway {
            targets: Versions::new(),
            announced: Versions::new(),
        };
        Self {
            stage: 0,
            log: StreamTable::default(),
            leader: Leader::Elected,
            gateways: [gateway.clone(), gateway],
            stream: None,
            continued: None,
            losses: 0,
        }
    }

    fn running(&self) -> Versions {
        let stages: [&[&str]; 3] = [&["v1"], &["v1", "v2"], &["v2"]];
        stages[self.stage].iter().copied().collect()
    }

    fn observe(&mut self) {
        let versions = self.running().into_iter().map(Into::into).collect();
        let observation = VersionObservation {
            services: vec![(SERVICE.into(), versions)],
            retention_ms: RETENTION_MS,
        };
        if self.log.needs_observation(&observation) {
            self.log.observe(0, &observation);
        }
    }

    fn next(&self, left_out: LeftOut) -> Vec<Self> {
        let mut next = Vec::new();
        let mut add = |change: &dyn Fn(&mut Self)| {
            let mut fleet = self.clone();
            change(&mut fleet);
            next.push(fleet);
        };
        if self.stage < 2 {
            add(&|fleet| fleet.stage += 1);
        }
        if self.leader == Leader::Lost {
            add(&|fleet| fleet.leader = Leader::Elected);
        } else {
            add(&|fleet| {
                fleet.observe();
                fleet.leader = Leader::Listed(fleet.running());
            });
            if left_out == LeftOut::ObservationFirst {
                add(&|fleet| fleet.leader = Leader::Listed(fleet.running()));
            }
            if self.losses < 2 {
                add(&|fleet| {
                    fleet.leader = Leader::Lost;
                    fleet.losses += 1;
                });
            }
        }
        if self.losses < 2 {
            // All VMs lose power: the log stays.
            add(&|fleet| {
                let (stage, log, losses) = (fleet.stage, fleet.log.clone(), fleet.losses + 1);
                let stream = fleet.stream.map(|(version, _)| (version, None));
                *fleet = Self {
                    stage,
                    log,
                    losses,
                    stream,
                    leader: Leader::Lost,
                    ..Self::new()
                };
            });
        }
        for gateway in 0..GATEWAYS {
            self.add_gateway_steps(gateway, left_out, &mut next);
        }
        next
    }

    fn add_gateway_steps(&self, gateway: usize, left_out: LeftOut, next: &mut Vec<Self>) {
        let mut add = |change: &dyn Fn(&mut Self)| {
            let mut fleet = self.clone();
            change(&mut fleet);
            next.push(fleet);
        };
        if let Leader::Listed(listed) = &self.leader {
            add(&|fleet| {
                let state = &mut fleet.gateways[gateway];
                state.targets.clone_from(listed);
                state.announced.extend(listed);
            });
        }
        // The platform's own list, while the gateway reaches no leader.
        add(&|fleet| {
            let running = fleet.running();
            let state = &mut fleet.gateways[gateway];
            let is_usable = |version: &&str| {
                left_out == LeftOut::AnnouncedOnly || state.announced.contains(version)
            };
            state.targets = running.into_iter().filter(is_usable).collect();
        });
        match self.stream {
            None => {
                for version in self.gateways[gateway].targets.intersection(&self.running()) {
                    add(&|fleet| fleet.stream = Some((*version, Some(gateway))));
                }
            }
            Some((version, Some(owner))) if owner == gateway => {
                // A report, which may also be lost. Streams are reported while versions are mixed.
                if self.leader != Leader::Lost && !self.log.mixed_services(0).is_empty() {
                    add(&|fleet| fleet.log.record(0, &version.into(), &[STREAM]));
                }
            }
            Some(_) => self.add_continuation(gateway, next),
        }
    }

    fn add_continuation(&self, gateway: usize, next: &mut Vec<Self>) {
        // A new leader answers before it has read the list.
        if self.leader == Leader::Lost || self.continued.is_some() {
            return;
        }
        let origin = self.log.origin(&SERVICE.into(), Some(STREAM), 0);
        let (StreamOrigin::Recorded(version) | StreamOrigin::OnlyVersion(version)) = origin else {
            return;
        };
        for running in self.gateways[gateway].targets.intersection(&self.running()) {
            if *running == version.as_str() {
                let mut fleet = self.clone();
                fleet.continued = Some(*running);
                next.push(fleet);
            }
        }
    }

    fn is_joined_from_two_versions(&self) -> bool {
        let begun = self.stream.map(|(version, _)| version);
        self.continued.is_some() && self.continued != begun
    }
}

/// Guards against a state in which a stream goes on at another version.
#[test]
fn no_stream_is_joined_from_two_versions() {
    let reached = bfs_reach(Fleet::new(), |fleet| fleet.next(LeftOut::Nothing));
    let (mut states, mut continued) = (0, 0);
    for fleet in reached {
        states += 1;
        continued += u32::from(fleet.continued.is_some());
        assert!(!fleet.is_joined_from_two_versions(), "{fleet:#?}");
    }
    println!("{states} states, {continued} with a continued stream");
    assert!(continued > 0);
}

/// Guards against a model that finds nothing: each rule is needed.
#[rstest]
#[case(LeftOut::ObservationFirst)]
#[case(LeftOut::AnnouncedOnly)]
fn search_finds_a_stream_joined_without_a_rule(#[case] left_out: LeftOut) {
    let mut reached = bfs_reach(Fleet::new(), |fleet| fleet.next(left_out));
    assert!(
        reached.any(|fleet| fleet.is_joined_from_two_versions()),
        "{left_out:?}"
    );
}

/// Guards against records that are lost with the voters' processes, or kept for ever.
#[test]
fn records_outlast_a_restart_and_end_with_their_retention() {
    let mut table = StreamTable::default();
    let observation = |versions: &[&str]| VersionObservation {
        services: vec![(
            SERVICE.into(),
            versions.iter().map(|name| (*name).into()).collect(),
        )],
        retention_ms: RETENTION_MS,
    };
    table.observe(0, &observation(&["v1", "v2"]));
    table.record(10, &"v2".into(), &[STREAM]);
    table.record(20, &"v1".into(), &[STREAM]);
    let bytes = rmp_serde::to_vec_named(&table).unwrap();
    let mut table: StreamTable = rmp_serde::from_slice(&bytes).unwrap();
    let origin = |table: &StreamTable, now_ms| table.origin(&SERVICE.into(), Some(STREAM), now_ms);
    assert_eq!(origin(&table, 20), StreamOrigin::Recorded("v2".into()));
    table.observe(30, &observation(&["v2"]));
    assert_eq!(
        table.origin(&SERVICE.into(), None, 40),
        StreamOrigin::Unknown
    );
    assert_eq!(table.mixed_services(40).len(), 1);
    let later = 30 + RETENTION_MS;
    assert_eq!(
        table.origin(&SERVICE.into(), None, later),
        StreamOrigin::OnlyVersion("v2".into())
    );
    table.expire(later);
    table.expire(later + RETENTION_MS);
    assert!(table.is_empty());
}
