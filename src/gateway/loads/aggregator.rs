use std::{collections::HashMap, net::SocketAddr, time::Duration};

use smallvec::SmallVec;

use super::{
    source::LoadSource,
    waiting::{WaitAggregator, WaitSums},
};
use crate::{
    ids::Incarnation,
    sync::{LoadMessage, LoadScope, LoadSum, LoadTopology, TargetHash},
};

/// Summed load by target.
pub type LoadSums = HashMap<TargetHash, LoadSum>;
/// A load message with the addresses of its receivers.
pub type OutgoingMessage = (SmallVec<[SocketAddr; 4]>, LoadMessage);

/// Interval at which all loads are sent again, which makes up for lost messages.
const REFRESH_INTERVAL: Duration = Duration::from_millis(400);
/// Maximum number of loads per message. At 10 to 16 bytes each the message fits into one packet.
const MAX_LOADS_PER_MESSAGE: usize = 80;

/// Receivers that get the same messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum ReceiverGroup {
    /// All receivers of loads in this scope.
    All(LoadScope),
    /// The member of the data centre at this address.
    Member(SocketAddr),
}

#[derive(Debug, Default)]
struct SentState {
    sums: LoadSums,
    refreshed_at: Option<Duration>,
}

/// Sums the loads that gateways report and builds the messages to send to them. It does no network
/// I/O itself.
///
/// In a small fleet each gateway sends its load to every other one. In a large fleet the cost of
/// this would grow for each gateway with the size of the fleet, so one gateway per data centre is a
/// relay: members send their own load to their relay, relays exchange the sums of their data
/// centres, and each member receives the sum of all gateways but itself.
#[derive(Debug)]
pub struct LoadAggregator {
    incarnation: Incarnation,
    topology: LoadTopology,
    own_loads: LoadSums,
    sources: HashMap<(Incarnation, LoadScope), LoadSource>,
    sent: HashMap<ReceiverGroup, SentState>,
    waits: WaitAggregator,
    serial: u64,
}

impl LoadAggregator {
    /// Creates the aggregator of a gateway that has just started.
    #[must_use]
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            topology: LoadTopology::Unknown,
            own_loads: LoadSums::new(),
            sources: HashMap::new(),
            sent: HashMap::new(),
            waits: WaitAggregator::default(),
            serial: 0,
        }
    }

    /// Sets the topology that the leader has assigned.
    pub fn set_topology(&mut self, topology: LoadTopology) {
        if self.topology != topology {
            self.topology = topology;
            // New receivers have no loads yet, so all loads are sent again.
            self.sent.clear();
            self.waits.clear_sent();
        }
    }

    /// Returns the topology in use.
    #[must_use]
    pub fn topology(&self) -> &LoadTopology {
        &self.topology
    }

    /// Replaces the load of this gateway.
    pub fn set_own_loads(&mut self, own_loads: LoadSums) {
        self.own_loads = own_loads;
    }

    /// Replaces the requests that wait at this gateway.
    pub fn set_own_waits(&mut self, own_waits: WaitSums) {
        self.waits.set_own(own_waits);
    }

    /// Returns the requests that wait at all other gateways.
    pub fn other_waits(&mut self, now: Duration) -> WaitSums {
        self.waits.others(&self.topology, now)
    }

    /// Applies a load message from another gateway.
    pub fn apply_message(&mut self, message: &LoadMessage, sender: SocketAddr, now: Duration) {
        if message.incarnation == self.incarnation {
            return;
        }
        self.waits.apply_message(message, sender, now);
        if message.loads.is_empty() {
            return;
        }
        let source = self.sources.entry((message.incarnation, message.scope));
        let source = source.or_insert_with(|| LoadSource::new(sender));
        source.address = sender;
        source.apply_message(message, now);
    }

    /// Returns the summed load of all other gateways.
    pub fn other_loads(&mut self, now: Duration) -> LoadSums {
        self.expire_sources(now);
        match &self.topology {
            LoadTopology::Unknown | LoadTopology::Direct { .. } => self.sum(&[LoadScope::Own]),
            LoadTopology::Member { .. } => self.sum(&[LoadScope::Others]),
            LoadTopology::Relay { .. } => self.sum(&[LoadScope::Own, LoadScope::DataCentre]),
        }
    }

    /// Returns the messages that are due at `now`.
    pub fn outgoing_messages(&mut self, now: Duration) -> Vec<OutgoingMessage> {
        self.expire_sources(now);
        let mut messages = Vec::new();
        match self.topology.clone() {
            LoadTopology::Unknown => {}
            LoadTopology::Direct { peers } => {
                let own = self.own_loads.clone();
                let group = ReceiverGroup::All(LoadScope::Own);
                self.add_messages(group, &peers, own, now, &mut messages);
            }
            LoadTopology::Member { relay } => {
                let own = self.own_loads.clone();
                let group = ReceiverGroup::All(LoadScope::Own);
                self.add_messages(group, &[relay], own, now, &mut messages);
            }
            LoadTopology::Relay { members, relays } => {
                let mut local_sums = self.sum(&[LoadScope::Own]);
                add_loads(
                    &mut local_sums,
                    self.own_loads.iter().map(|(key, sum)| (*key, *sum)),
                );
                let mut total = self.sum(&[LoadScope::DataCentre]);
                add_loads(&mut total, local_sums.iter().map(|(key, sum)| (*key, *sum)));
                let group = ReceiverGroup::All(LoadScope::DataCentre);
                self.add_messages(group, &relays, local_sums, now, &mut messages);
                for member in members {
                    let others = self.total_without(&total, member);
                    let group = ReceiverGroup::Member(member);
                    self.add_messages(group, &[member], others, now, &mut messages);
                }
            }
        }
        for (receivers, scope, waiting) in self.waits.outgoing(&self.topology, now) {
            self.serial += 1;
            let message = LoadMessage {
                incarnation: self.incarnation,
                serial: self.serial,
                scope,
                loads: Vec::new(),
                waiting: Some(waiting),
            };
            messages.push((receivers, message));
        }
        messages
    }

    fn expire_sources(&mut self, now: Duration) {
        self.sources.retain(|_, source| source.expire(now));
    }

    fn sum(&self, scopes: &[LoadScope]) -> LoadSums {
        let mut sums = LoadSums::new();
        let sources = self.sources.iter();
        for (_, source) in sources.filter(|((_, scope), _)| scopes.contains(scope)) {
            add_loads(&mut sums, source.loads());
        }
        sums
    }

    /// Returns the total without the load reported by one member.
    fn total_without(&self, total: &LoadSums, member: SocketAddr) -> LoadSums {
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

    fn add_messages(
        &mut self,
        group: ReceiverGroup,
        receivers: &[SocketAddr],
        sums: LoadSums,
        now: Duration,
        messages: &mut Vec<OutgoingMessage>,
    ) {
        if receivers.is_empty() {
            return;
        }
        let scope = match group {
            ReceiverGroup::All(scope) => scope,
            ReceiverGroup::Member(_) => LoadScope::Others,
        };
        let sent = self.sent.entry(group).or_default();
        let is_due = sent
            .refreshed_at
            .is_none_or(|at| now.saturating_sub(at) >= REFRESH_INTERVAL);
        let mut loads: Vec<(TargetHash, LoadSum)> = sums
            .iter()
            .filter(|(key, sum)| is_due || sent.sums.get(*key) != Some(*sum))
            .map(|(key, sum)| (*key, *sum))
            .collect();
        let ended = sent.sums.keys().filter(|key| !sums.contains_key(*key));
        loads.extend(ended.map(|key| (*key, LoadSum::default())));
        if is_due {
            sent.refreshed_at = Some(now);
        }
        sent.sums = sums;
        for loads in loads.chunks(MAX_LOADS_PER_MESSAGE) {
            self.serial += 1;
            let message = LoadMessage {
                incarnation: self.incarnation,
                serial: self.serial,
                scope,
                loads: loads.to_vec(),
                waiting: None,
            };
            messages.push((receivers.into(), message));
        }
    }
}

fn add_loads(sums: &mut LoadSums, loads: impl Iterator<Item = (TargetHash, LoadSum)>) {
    for (key, load) in loads {
        let sum = sums.entry(key).or_default();
        sum.running = sum.running.saturating_add(load.running);
        sum.prefill_tokens = sum.prefill_tokens.saturating_add(load.prefill_tokens);
    }
}
