//! Voters in this process, on in-memory disks and a network of function calls.
#![allow(dead_code)] // Each test program uses a part.

use std::{
    collections::HashMap,
    sync::{Arc, RwLock},
    time::{Duration, Instant},
};

use waxwinglatch::{
    config::VoterAddress,
    ids::{CommandLevel, VmId},
    journal::{Journal, JournalLimits, OpenedJournal},
    raft::{Membership, RaftMessage, VoterId},
    voter::{AddressBook, PeerMessages, PeerSender, VoterHandle, VoterSettings},
};

use crate::memory_storage::MemoryStorage;

type Handles = Arc<RwLock<HashMap<VmId, VoterHandle>>>;

/// A fleet of voters, numbered from 0; voter `n` runs on `vm-n`.
pub struct LocalFleet {
    pub disks: Vec<MemoryStorage>,
    handles: Handles,
}

impl LocalFleet {
    /// Starts a founded fleet; each voter reports the given command level.
    pub async fn start(levels: &[CommandLevel]) -> Self {
        let disks = levels.iter().map(|_| MemoryStorage::default()).collect();
        let handles = Handles::default();
        let fleet = Self { disks, handles };
        let ids: Vec<VoterId> = levels
            .iter()
            .enumerate()
            .map(|(number, level)| fleet.launch(number, *level))
            .collect();
        for number in 0..levels.len() {
            let voter = fleet.voter(number);
            let begun = voter.initialize(Membership::of_voters(ids.clone())).await;
            begun.expect("the voter runs");
        }
        fleet
    }

    /// Starts a voter on its disk, again after it was stopped.
    pub fn launch(&self, number: usize, level: CommandLevel) -> VoterId {
        let name = vm(number);
        let storage = Box::new(self.disks[number].clone());
        let opened = Journal::open(storage, &name, JournalLimits::default());
        let (journal, recovered) = opened.expect("the journal is whole");
        let id = recovered.identity.clone();
        let network = LocalNetwork {
            level,
            handles: Arc::clone(&self.handles),
        };
        let mut settings = VoterSettings::new(name.clone());
        settings.supported_level = level;
        let journal = OpenedJournal {
            journal,
            recovered,
            lock: None,
        };
        let book = Arc::new(AddressBook::new(address(&name), []));
        let handle = VoterHandle::start(journal, settings, book, Box::new(network));
        let handle = handle.expect("the voter starts");
        self.handles
            .write()
            .expect("no holder panics")
            .insert(name, handle);
        id
    }

    /// Returns the handle of a voter.
    pub fn voter(&self, number: usize) -> VoterHandle {
        self.handles.read().expect("no holder panics")[&vm(number)].clone()
    }

    /// Waits for a voter with a lease.
    pub async fn leader(&self) -> usize {
        let started = Instant::now();
        loop {
            let leads = |number: &usize| self.voter(*number).lease().is_some();
            if let Some(leader) = (0..self.disks.len()).find(leads) {
                return leader;
            }
            assert!(started.elapsed() < Duration::from_secs(10), "no leader");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

struct LocalNetwork {
    level: CommandLevel,
    handles: Handles,
}

impl PeerSender for LocalNetwork {
    fn send(&mut self, message: RaftMessage) {
        let handles = self.handles.read().expect("no holder panics");
        if let Some(handle) = handles.get(&message.to.vm) {
            handle.receive(PeerMessages {
                sender: address(&message.from.vm),
                id: message.from.clone(),
                level: self.level,
                others: Vec::new(),
                messages: vec![message],
            });
        }
    }
}

fn address(vm: &VmId) -> VoterAddress {
    let nowhere = "127.0.0.1:9".parse().expect("it is an address");
    VoterAddress {
        vm: vm.clone(),
        data_centre: "dc-1".into(),
        system: nowhere,
        admin: nowhere,
    }
}

fn vm(number: usize) -> VmId {
    format!("vm-{number}").into()
}
