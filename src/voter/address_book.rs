use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Mutex, PoisonError, RwLock},
    time::Duration,
};

use crate::{clock::BootInstant, config::VoterAddress, ids::VmId};

/// Time for which a daemon that follows no leader sends others to the leader that a member has named. Members are
/// asked again several times within it.
const LEADER_NEWS_TIME: Duration = Duration::from_secs(1);

/// Addresses of the control daemons. An address that a daemon reports for itself takes precedence
/// over one from other daemons or from the settings.
pub struct AddressBook {
    own: VoterAddress,
    addresses: RwLock<BTreeMap<VmId, VoterAddress>>,
    /// Leader that a member has named last, and when.
    named_leader: Mutex<Option<(VmId, BootInstant)>>,
}

impl AddressBook {
    /// Creates an address book with the address of this daemon and those from the settings.
    pub fn new(own: VoterAddress, initial: impl IntoIterator<Item = VoterAddress>) -> Self {
        let initial = initial
            .into_iter()
            .map(|address| (address.vm.clone(), address));
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
        if address.vm != self.own.vm && self.find(&address.vm).as_ref() != Some(address) {
            let mut addresses = self
                .addresses
                .write()
                .unwrap_or_else(PoisonError::into_inner);
            addresses.insert(address.vm.clone(), address.clone());
        }
    }

    /// Records the addresses that a daemon reports for others, for VMs without a known address.
    pub fn insert_missing(&self, others: &[VoterAddress]) {
        for address in others {
            if self.find(&address.vm).is_none() {
                self.update(address);
            }
        }
    }

    /// Returns the address of a VM's control daemon.
    #[must_use]
    pub fn find(&self, vm: &VmId) -> Option<VoterAddress> {
        if *vm == self.own.vm {
            return Some(self.own.clone());
        }
        let addresses = self
            .addresses
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        addresses.get(vm).cloned()
    }

    /// Returns the system address of a VM's control daemon.
    #[must_use]
    pub fn system_address(&self, vm: &VmId) -> Option<SocketAddr> {
        self.find(vm).map(|address| address.system)
    }

    /// Records the leader that a member names.
    pub fn record_leader(&self, leader: &VoterAddress) {
        if leader.vm != self.own.vm {
            let named = (leader.vm.clone(), BootInstant::now());
            *self
                .named_leader
                .lock()
                .unwrap_or_else(PoisonError::into_inner) = Some(named);
        }
    }

    /// Returns the leader that a member has named lately. It may lead no more.
    #[must_use]
    pub fn named_leader(&self) -> Option<VoterAddress> {
        let named = self
            .named_leader
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        let (vm, _) = named.filter(|(_, at)| at.elapsed() < LEADER_NEWS_TIME)?;
        self.find(&vm)
    }

    /// Returns the known addresses of other daemons.
    #[must_use]
    pub fn others(&self) -> Vec<VoterAddress> {
        let addresses = self
            .addresses
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        let others = addresses
            .values()
            .filter(|address| address.vm != self.own.vm);
        others.cloned().collect()
    }
}
