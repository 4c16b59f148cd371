use std::{collections::HashMap, net::SocketAddr, time::Duration};

use smallvec::SmallVec;

use super::source::LoadSource;
use crate::{
    ids::Incarnation,
    sync::{LoadMessage, LoadScope, LoadSum, LoadTopology, TargetHash},
};

/// Loads by target.
pub type LoadSums = HashMap<TargetHash, LoadSum>;
/// A message and the gateways that it goes to.
pub type OutgoingLoad = (SmallVec<[SocketAddr; 4]>, LoadMessage);

/// Time after which all loads are told again, which makes up for lost messages.
const REFRESH_PERIOD: Duration = Duration::from_millis(400);
/// Loads in one message, which then fits a packet: 10 to 16 bytes each.
const MESSAGE_LOADS: usize = 80;

/// Receivers that are told the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum LoadAudience {
    /// All that are told this scope.
    All(LoadScope),
    /// One member of the data centre.
    Member(SocketAddr),
}

#[derive(Debug, Default)]
struct ToldState {
    sums: LoadSums,
    refreshed_at: Option<Duration>,
}

/// Adds up what gateways tell, and works out what to tell them. It has no network of its own.
///
/// In a small fleet each gateway tells every other one. In a large one that would cost each of them
/// in proportion to the fleet, so one gateway in each data centre relays: members tell it their own
/// load, relays tell each other the sum of their data centre, and each member hears the sum of all
/// gateways but itself.
#[derive(Debug)]
pub struct LoadBook {
    incarnation: Incarnation,
    topology: LoadTopology,
    own: LoadSums,
    sources: HashMap<(Incarnation, LoadScope), LoadSource>,
    told: HashMap<LoadAudience, ToldState>,
    serial: u64,
}

impl LoadBook {
    /// Returns the book of a gateway that has just started.
    #[must_use]
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            topology: LoadTopology::Unknown,
            own: LoadSums::new(),
            sources: HashMap::new(),
            told: HashMap::new(),
            serial: 0,
        }
    }

    /// Follows the leader's arrangement.
    pub fn set_topology(&mut self, topology: LoadTopology) {
        if self.topology != topology {
            self.topology = topology;
            // Receivers that are new have heard nothing.
            self.told.clear();
        }
    }

    /// Returns the arrangement in force.
    #[must_use]
    pub fn topology(&self) -> &LoadTopology {
        &self.topology
    }

    /// Replaces what this gateway runs.
    pub fn set_own(&mut self, own: LoadSums) {
        self.own = own;
    }

    /// Takes over a message.
    pub fn accept(&mut self, message: &LoadMessage, sender: SocketAddr, now: Duration) {
        if message.incarnation == self.incarnation {
            return;
        }
        let source = self.sources.entry((message.incarnation, message.scope));
        let source = source.or_insert_with(|| LoadSource::new(sender));
        source.address = sender;
        source.accept(message, now);
    }

    /// Returns what all other gateways run.
    pub fn others(&mut self, now: Duration) -> LoadSums {
        self.expire(now);
        match &self.topology {
            LoadTopology::Unknown | LoadTopology::Direct { .. } => self.sum(&[LoadScope::Own]),
            LoadTopology::Member { .. } => self.sum(&[LoadScope::Others]),
            LoadTopology::Relay { .. } => self.sum(&[LoadScope::Own, LoadScope::DataCentre]),
        }
    }

    /// Returns the messages to send now.
    pub fn outgoing(&mut self, now: Duration) -> Vec<OutgoingLoad> {
        self.expire(now);
        let mut messages = Vec::new();
        match self.topology.clone() {
            LoadTopology::Unknown => {}
            LoadTopology::Direct { peers } => {
                let own = self.own.clone();
                let audience = LoadAudience::All(LoadScope::Own);
                self.tell(audience, &peers, own, now, &mut messages);
            }
            LoadTopology::Member { relay } => {
                let own = self.own.clone();
                let audience = LoadAudience::All(LoadScope::Own);
                self.tell(audience, &[relay], own, now, &mut messages);
            }
            LoadTopology::Relay { members, relays } => {
                let mut centre = self.sum(&[LoadScope::Own]);
                add(&mut centre, self.own.iter().map(|(key, sum)| (*key, *sum)));
                let mut total = self.sum(&[LoadScope::DataCentre]);
                add(&mut total, centre.iter().map(|(key, sum)| (*key, *sum)));
                let audience = LoadAudience::All(LoadScope::DataCentre);
                self.tell(audience, &relays, centre, now, &mut messages);
                for member in members {
                    let others = self.without(&total, member);
                    let audience = LoadAudience::Member(member);
                    self.tell(audience, &[member], others, now, &mut messages);
                }
            }
        }
        messages
    }

    fn expire(&mut self, now: Duration) {
        self.sources.retain(|_, source| source.expire(now));
    }

    fn sum(&self, scopes: &[LoadScope]) -> LoadSums {
        let mut sums = LoadSums::new();
        let sources = self.sources.iter();
        for (_, source) in sources.filter(|((_, scope), _)| scopes.contains(scope)) {
            add(&mut sums, source.loads());
        }
        sums
    }

    /// Returns the total less what one member told.
    fn without(&self, total: &LoadSums, member: SocketAddr) -> LoadSums {
        let own = self
            .sources
            .iter()
            .find(|((_, scope), source)| *scope == LoadScope::Own && source.address == member);
        let Some((_, own)) = own else {
            return total.clone();
        };
        let rest = total.iter().map(|(key, sum)| {
            let own = own.get(*key);
            let rest = LoadSum {
                running: sum.running.saturating_sub(own.running),
                prefill_tokens: sum.prefill_tokens.saturating_sub(own.prefill_tokens),
            };
            (*key, rest)
        });
        rest.collect()
    }

    fn tell(
        &mut self,
        audience: LoadAudience,
        receivers: &[SocketAddr],
        sums: LoadSums,
        now: Duration,
        messages: &mut Vec<OutgoingLoad>,
    ) {
        if receivers.is_empty() {
            return;
        }
        let scope = match audience {
            LoadAudience::All(scope) => scope,
            LoadAudience::Member(_) => LoadScope::Others,
        };
        let told = self.told.entry(audience).or_default();
        let is_due = told
            .refreshed_at
            .is_none_or(|at| now.saturating_sub(at) >= REFRESH_PERIOD);
        let mut loads: Vec<(TargetHash, LoadSum)> = sums
            .iter()
            .filter(|(key, sum)| is_due || told.sums.get(*key) != Some(*sum))
            .map(|(key, sum)| (*key, *sum))
            .collect();
        let ended = told.sums.keys().filter(|key| !sums.contains_key(*key));
        loads.extend(ended.map(|key| (*key, LoadSum::default())));
        if is_due {
            told.refreshed_at = Some(now);
        }
        told.sums = sums;
        for loads in loads.chunks(MESSAGE_LOADS) {
            self.serial += 1;
            let message = LoadMessage {
                incarnation: self.incarnation,
                serial: self.serial,
                scope,
                loads: loads.to_vec(),
            };
            messages.push((receivers.into(), message));
        }
    }
}

fn add(sums: &mut LoadSums, loads: impl Iterator<Item = (TargetHash, LoadSum)>) {
    for (key, load) in loads {
        let sum = sums.entry(key).or_default();
        sum.running = sum.running.saturating_add(load.running);
        sum.prefill_tokens = sum.prefill_tokens.saturating_add(load.prefill_tokens);
    }
}
