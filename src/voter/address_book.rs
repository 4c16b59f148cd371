use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Mutex, PoisonError, RwLock, RwLockReadGuard},
    time::Duration,
};

use spdlog::prelude::*;

use crate::{
    clock::BootInstant,
    config::VoterAddress,
    ids::{Term, VmId},
    raft::Membership,
};

/// Time for which the address of a daemon that is no member is kept after the daemon itself has told it. It may be
/// about to become one.
const CANDIDATE_TIME: Duration = Duration::from_secs(10);

/// Time for which a daemon that follows no leader sends others to the leader that a member has named. Members are
/// asked again within it.
const LEADER_NEWS_TIME: Duration = Duration::from_millis(600);

/// Leader that a member has named.
#[derive(Clone, Debug)]
struct NamedLeader {
    address: VoterAddress,
    /// Term of the member that named it. A leader of a later term replaces one of an earlier term.
    term: Term,
    named_at: BootInstant,
}

/// Address of another daemon.
#[derive(Clone, Debug)]
struct KnownAddress {
    address: VoterAddress,
    /// When the daemon itself first told it; `None` if it comes from others or from the settings.
    told_at: Option<BootInstant>,
}

/// Addresses of the control daemons. An address that a daemon reports for itself takes precedence
/// over one from other daemons or from the settings.
pub struct AddressBook {
    own: VoterAddress,
    addresses: RwLock<BTreeMap<VmId, KnownAddress>>,
    named_leader: Mutex<Option<NamedLeader>>,
}

impl AddressBook {
    /// Creates an address book with the address of this daemon and those from the settings.
    pub fn new(own: VoterAddress, initial: impl IntoIterator<Item = VoterAddress>) -> Self {
        let initial = initial.into_iter().map(|address| {
            let known = KnownAddress {
                address,
                told_at: None,
            };
            (known.address.vm.clone(), known)
        });
        Self {
            addresses: RwLock::new(initial.collect()),
            named_leader: Mutex::default(),
            own,
        }
    }

    /// Returns this daemon's address.
    #[must_use]
    pub fn own(&self) -> &VoterAddress {
        &self.own
    }

    /// Records the address that a daemon reports for itself.
    pub fn update(&self, address: &VoterAddress) {
        let is_known = |known: &KnownAddress| known.address == *address && known.told_at.is_some();
        if address.vm != self.own.vm && !self.addresses().get(&address.vm).is_some_and(is_known) {
            self.insert(address, Some(BootInstant::now()));
        }
    }

    /// Records the addresses that a daemon reports for others, for VMs without a known address.
    pub fn insert_missing(&self, others: &[VoterAddress]) {
        for address in others {
            if self.find(&address.vm).is_none() {
                self.insert(address, None);
            }
        }
    }

    /// Forgets the daemons that are no members, which may be gone for good. Those that have told their address
    /// themselves a moment ago are kept, as they may be about to join.
    pub fn forget_others(&self, membership: &Membership) {
        let is_member = |vm: &VmId| membership.members().any(|member| member.vm == *vm);
        let is_candidate = |known: &KnownAddress| {
            let told_at = known.told_at;
            told_at.is_some_and(|at| at.elapsed() < CANDIDATE_TIME)
        };
        let mut addresses = self
            .addresses
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        addresses.retain(|vm, known| is_member(vm) || is_candidate(known));
    }

    fn insert(&self, address: &VoterAddress, told_at: Option<BootInstant>) {
        let known = KnownAddress {
            address: address.clone(),
            told_at,
        };
        let mut addresses = self
            .addresses
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        addresses.insert(address.vm.clone(), known);
    }

    fn addresses(&self) -> RwLockReadGuard<'_, BTreeMap<VmId, KnownAddress>> {
        self.addresses
            .read()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the address of a VM's control daemon.
    #[must_use]
    pub fn find(&self, vm: &VmId) -> Option<VoterAddress> {
        if *vm == self.own.vm {
            return Some(self.own.clone());
        }
        let addresses = self.addresses();
        addresses.get(vm).map(|known| known.address.clone())
    }

    /// Returns the system address of a VM's control daemon.
    #[must_use]
    pub fn system_address(&self, vm: &VmId) -> Option<SocketAddr> {
        self.find(vm).map(|address| address.system)
    }

    /// Records the leader that a member of a term names, unless one of a later term has been named.
    pub fn record_leader(&self, leader: &VoterAddress, term: Term) {
        let mut named = self
            .named_leader
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let is_outdated = named.as_ref().is_some_and(|named| term < named.term);
        if is_outdated || leader.vm == self.own.vm {
            return;
        }
        if named.as_ref().is_none_or(|named| named.address != *leader) {
            info!("raft: a member names a leader", kv: {
                leader = leader.vm.as_str(),
                term = term,
            });
        }
        *named = Some(NamedLeader {
            address: leader.clone(),
            term,
            named_at: BootInstant::now(),
        });
    }

    /// Returns the leader that a member has named lately. It may lead no more.
    #[must_use]
    pub fn named_leader(&self) -> Option<VoterAddress> {
        let named = self
            .named_leader
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let is_fresh = |named: &&NamedLeader| named.named_at.elapsed() < LEADER_NEWS_TIME;
        named
            .as_ref()
            .filter(is_fresh)
            .map(|named| named.address.clone())
    }

    /// Returns the known addresses of other daemons.
    #[must_use]
    pub fn others(&self) -> Vec<VoterAddress> {
        let addresses = self.addresses();
        let others = addresses.values().map(|known| &known.address);
        let others = others.filter(|address| address.vm != self.own.vm);
        others.cloned().collect()
    }
}
