use std::{collections::HashMap, net::SocketAddr, time::Duration};

use smallvec::SmallVec;

use crate::{
    ids::Incarnation,
    sync::{LoadMessage, LoadScope, LoadTopology, PoolHash, WaitSum},
};

/// Waiting requests by pool.
pub type WaitSums = HashMap<PoolHash, WaitSum>;
/// Waiting requests to send: receivers, scope and values.
pub(super) type OutgoingWaits = (
    SmallVec<[SocketAddr; 4]>,
    LoadScope,
    Vec<(PoolHash, WaitSum)>,
);

/// Maximum age of waiting requests that another gateway reported. Requests wait for some hundred
/// milliseconds, so that older figures hold slots back for requests that have left.
const MAX_WAIT_AGE: Duration = Duration::from_millis(100);
/// Interval at which unchanged figures are sent again, so that one lost message does not let them
/// expire.
const REPEAT_INTERVAL: Duration = Duration::from_millis(40);
/// Maximum number of pools in a message, which then fits into one packet.
const MAX_POOLS: usize = 40;

#[derive(Debug)]
struct WaitSource {
    address: SocketAddr,
    serial: u64,
    received_at: Duration,
    sums: WaitSums,
}

#[derive(Debug, Default)]
struct SentWaits {
    sums: WaitSums,
    sent_at: Duration,
}

/// Sums the requests that wait at other gateways and says which figures to send, along the same
/// topology as [loads](super::LoadAggregator). It does no network I/O itself.
#[derive(Debug, Default)]
pub(super) struct WaitAggregator {
    own: WaitSums,
    sources: HashMap<(Incarnation, LoadScope), WaitSource>,
    sent: HashMap<SmallVec<[SocketAddr; 4]>, SentWaits>,
}

impl WaitAggregator {
    /// Replaces the requests that wait at this gateway.
    pub fn set_own(&mut self, own: WaitSums) {
        self.own = own;
    }

    /// Sends all figures again, because there are new receivers.
    pub fn clear_sent(&mut self) {
        self.sent.clear();
    }

    /// Applies a message, which states all pools that requests wait for at its senders.
    pub fn apply_message(&mut self, message: &LoadMessage, sender: SocketAddr, now: Duration) {
        let Some(waiting) = &message.waiting else {
            return;
        };
        let key = (message.incarnation, message.scope);
        let known = self.sources.get(&key);
        if known.is_some_and(|known| known.serial > message.serial) {
            return;
        }
        let source = WaitSource {
            address: sender,
            serial: message.serial,
            received_at: now,
            sums: waiting.iter().copied().collect(),
        };
        self.sources.insert(key, source);
    }

    /// Returns the requests that wait at all other gateways.
    pub fn others(&mut self, topology: &LoadTopology, now: Duration) -> WaitSums {
        self.expire(now);
        match topology {
            LoadTopology::Unknown | LoadTopology::Direct { .. } => self.sum(&[LoadScope::Own]),
            LoadTopology::Member { .. } => self.sum(&[LoadScope::Others]),
            LoadTopology::Relay { .. } => self.sum(&[LoadScope::Own, LoadScope::DataCentre]),
        }
    }

    /// Returns the figures that are due at `now`.
    pub fn outgoing(&mut self, topology: &LoadTopology, now: Duration) -> Vec<OutgoingWaits> {
        self.expire(now);
        let mut outgoing = Vec::new();
        match topology {
            LoadTopology::Unknown => {}
            LoadTopology::Direct { peers } => {
                let own = self.own.clone();
                outgoing.extend(self.due(LoadScope::Own, peers, own, now));
            }
            LoadTopology::Member { relay } => {
                let own = self.own.clone();
                outgoing.extend(self.due(LoadScope::Own, &[*relay], own, now));
            }
            LoadTopology::Relay { members, relays } => {
                let mut local = self.sum(&[LoadScope::Own]);
                add_sums(&mut local, &self.own);
                let mut total = self.sum(&[LoadScope::DataCentre]);
                add_sums(&mut total, &local);
                outgoing.extend(self.due(LoadScope::DataCentre, relays, local, now));
                for member in members {
                    let others = self.total_without(&total, *member);
                    outgoing.extend(self.due(LoadScope::Others, &[*member], others, now));
                }
            }
        }
        outgoing
    }

    fn expire(&mut self, now: Duration) {
        self.sources
            .retain(|_, source| now.saturating_sub(source.received_at) < MAX_WAIT_AGE);
    }

    fn sum(&self, scopes: &[LoadScope]) -> WaitSums {
        let mut sums = WaitSums::new();
        let sources = self.sources.iter();
        for (_, source) in sources.filter(|((_, scope), _)| scopes.contains(scope)) {
            add_sums(&mut sums, &source.sums);
        }
        sums
    }

    /// Returns the total without the requests that one member reported.
    fn total_without(&self, total: &WaitSums, member: SocketAddr) -> WaitSums {
        let mut sources = self.sources.iter();
        let own = sources
            .find(|((_, scope), source)| *scope == LoadScope::Own && source.address == member);
        let mut others = total.clone();
        let own = own.map(|(_, source)| &source.sums);
        for (pool, sum) in own.into_iter().flatten() {
            if let Some(other) = others.get_mut(pool) {
                other.subtract(sum);
            }
        }
        others.retain(|_, sum| !sum.is_empty());
        others
    }

    fn due(
        &mut self,
        scope: LoadScope,
        receivers: &[SocketAddr],
        sums: WaitSums,
        now: Duration,
    ) -> Option<OutgoingWaits> {
        if receivers.is_empty() {
            return None;
        }
        let sent = self.sent.entry(receivers.into()).or_default();
        let is_repeated = !sums.is_empty() && now.saturating_sub(sent.sent_at) >= REPEAT_INTERVAL;
        // The rate alone changes with each slot and is not worth a message.
        let is_changed = sums.len() != sent.sums.len()
            || sums
                .iter()
                .any(|(pool, sum)| sent.sums.get(pool).map(|sent| sent.ranks) != Some(sum.ranks));
        if !is_repeated && !is_changed {
            return None;
        }
        sent.sums = sums;
        sent.sent_at = now;
        let mut waiting: Vec<_> = sent.sums.iter().map(|(pool, sum)| (*pool, *sum)).collect();
        waiting.sort_unstable_by_key(|(pool, _)| *pool);
        waiting.truncate(MAX_POOLS);
        Some((receivers.into(), scope, waiting))
    }
}

fn add_sums(sums: &mut WaitSums, others: &WaitSums) {
    for (pool, other) in others {
        sums.entry(*pool).or_default().add(other);
    }
}
