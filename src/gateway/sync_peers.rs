use std::{collections::HashMap, net::SocketAddr, time::Duration};

use super::coordinator_list::CoordinatorList;
use crate::ids::VmId;

/// Time for which a delegate is not asked again after it has refused to answer in the leader's place. It has a
/// new proof within this time if it follows a leader.
const REFUSAL_TIME: Duration = Duration::from_millis(600);
/// Time for which a delegate is not asked again after it has not answered.
const SILENCE_TIME: Duration = Duration::from_millis(2_500);

/// A coordinator that is asked next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SyncPeer {
    /// The leader, or a coordinator that may name it.
    Leader(SocketAddr),
    /// A coordinator that answers in the leader's place.
    Delegate(SocketAddr),
}

impl SyncPeer {
    /// Returns the system address of the coordinator.
    #[must_use]
    pub fn address(self) -> SocketAddr {
        match self {
            Self::Leader(address) | Self::Delegate(address) => address,
        }
    }
}

/// Coordinators that a gateway syncs with. The gateways of a large fleet share themselves over the delegates;
/// the leader gets the syncs that only it can answer. See docs/design.md, section 20.
#[derive(Debug)]
pub struct SyncPeers {
    own: VmId,
    pub(super) coordinators: CoordinatorList,
    /// Delegates, the gateway's own one first.
    delegates: Vec<SocketAddr>,
    /// Delegates that are not asked for some time.
    avoided: HashMap<SocketAddr, Duration>,
}

impl SyncPeers {
    /// Creates the peers of the gateway on a VM, which knows some coordinators and no delegates.
    #[must_use]
    pub fn new(own: VmId, coordinators: Vec<SocketAddr>) -> Self {
        Self {
            own,
            coordinators: CoordinatorList::new(coordinators),
            delegates: Vec::new(),
            avoided: HashMap::new(),
        }
    }

    /// Returns the coordinator for the next sync.
    #[must_use]
    pub fn next(&self, needs_leader: bool, now: Duration) -> Option<SyncPeer> {
        let is_avoided =
            |delegate: &SocketAddr| self.avoided.get(delegate).is_some_and(|until| now < *until);
        let mut usable = self
            .delegates
            .iter()
            .filter(|delegate| !is_avoided(delegate));
        match usable.next() {
            Some(delegate) if !needs_leader => Some(SyncPeer::Delegate(*delegate)),
            _ => self.coordinators.first().map(SyncPeer::Leader),
        }
    }

    /// Replaces the delegates. Each gateway ranks them by its own hash, so that they share the gateways, and
    /// those of a lost one spread over the others.
    pub fn set_delegates(&mut self, mut delegates: Vec<SocketAddr>) {
        delegates.sort_by_cached_key(|delegate| {
            let name = format!("{} {delegate}", self.own);
            *blake3::hash(name.as_bytes()).as_bytes()
        });
        self.delegates = delegates;
    }

    /// Records that a delegate did not answer in the leader's place, but with a redirect.
    pub fn record_refusal(&mut self, delegate: SocketAddr, now: Duration) {
        self.avoided.insert(delegate, now + REFUSAL_TIME);
    }

    /// Records that a delegate did not answer.
    pub fn record_silence(&mut self, delegate: SocketAddr, now: Duration) {
        self.avoided.insert(delegate, now + SILENCE_TIME);
    }
}
