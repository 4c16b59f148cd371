//! Guards against the refusal of a command whose entry may still be committed. The test plays the other voters.

#[path = "harness/memory_storage.rs"]
mod memory_storage;

use std::{
    sync::{Arc, mpsc},
    time::{Duration, Instant},
};

use memory_storage::MemoryStorage;
use waxwinglatch::{
    config::VoterAddress,
    error::Error,
    ids::{LogIndex, Term, VmId},
    journal::{Journal, JournalLimits, OpenedJournal},
    raft::{
        EntryPayload, LogEntry, Membership, MessageBody, RaftMessage, RaftRole, VoteKind, VoterId,
    },
    state::Command,
    voter::{AddressBook, PeerMessages, PeerSender, VoterHandle, VoterSettings},
};

const LIMIT: Duration = Duration::from_secs(20);

struct SentMessages(mpsc::Sender<RaftMessage>);

impl PeerSender for SentMessages {
    fn send(&mut self, message: RaftMessage) {
        // The test may have ended.
        let _ = self.0.send(message);
    }
}

/// A voter whose four peers are played by the test.
struct PlayedFleet {
    voter: VoterHandle,
    own: VoterId,
    sent: mpsc::Receiver<RaftMessage>,
}

fn address(vm: &VmId) -> VoterAddress {
    let nowhere = "127.0.0.1:9".parse().unwrap();
    VoterAddress {
        vm: vm.clone(),
        data_centre: "dc-1".into(),
        system: nowhere,
        admin: nowhere,
    }
}

fn peer(number: usize) -> VoterId {
    VoterId::new(format!("vm-{number}"), 1)
}

impl PlayedFleet {
    async fn start() -> Self {
        let vm: VmId = "vm-0".into();
        let storage = Box::new(MemoryStorage::default());
        let opened = Journal::open(storage, &vm, JournalLimits::default());
        let (journal, recovered) = opened.unwrap();
        let own = recovered.identity.clone();
        let (sender, sent) = mpsc::channel();
        let journal = OpenedJournal {
            journal,
            recovered,
            lock: None,
        };
        let book = Arc::new(AddressBook::new(address(&vm), []));
        let network = Box::new(SentMessages(sender));
        let voter = VoterHandle::start(journal, VoterSettings::new(vm), book, network).unwrap();
        let voters = (1..5).map(peer).chain([own.clone()]);
        let founded = voter.initialize(Membership::of_voters(voters)).await;
        founded.unwrap();
        Self { voter, own, sent }
    }

    fn deliver(&self, from: usize, term: Term, body: MessageBody) {
        let from = peer(from);
        self.voter.receive(PeerMessages {
            sender: address(&from.vm),
            id: from.clone(),
            level: 1,
            others: Vec::new(),
            messages: vec![RaftMessage {
                from,
                to: self.own.clone(),
                term,
                body,
            }],
        });
    }

    async fn wait(&self, what: &str, mut is_done: impl FnMut() -> bool) {
        let end = Instant::now() + LIMIT;
        while !is_done() {
            assert!(Instant::now() < end, "{what}");
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// Grants the votes of two peers until the voter leads in a term.
    async fn elect(&self, term: Term, granting: [usize; 2]) {
        self.wait("no election", || {
            for message in self.sent.try_iter() {
                let MessageBody::VoteRequest { kind, .. } = message.body else {
                    continue;
                };
                if message.term != term || kind == VoteKind::Transfer {
                    continue;
                }
                for from in granting {
                    let granted = true;
                    self.deliver(from, term, MessageBody::VoteReply { kind, granted });
                }
            }
            let status = self.voter.status();
            status.role == RaftRole::Leader && status.term == term
        })
        .await;
    }

    async fn wait_last(&self, last: LogIndex) {
        self.wait("no entry", || self.voter.status().last == last)
            .await;
    }
}

/// Pattern: a leader loses its entry 4 to another leader, leads again and writes another entry 4. A peer that still has
/// the former one can win the votes of the two peers that have neither, and commit it.
#[tokio::test(flavor = "multi_thread")]
async fn a_command_whose_entry_was_replaced_has_no_clear_outcome() {
    let fleet = PlayedFleet::start().await;
    fleet.elect(1, [1, 2]).await;
    fleet.wait_last(1).await;
    let mut commands = Vec::new();
    for last in 2..=4 {
        let voter = fleet.voter.clone();
        commands.push(tokio::spawn(async move {
            voter.propose_within(Command::Noop, LIMIT).await
        }));
        fleet.wait_last(last).await;
    }
    let entry = LogEntry {
        term: 2,
        index: 2,
        payload: EntryPayload::Noop,
    };
    let append = MessageBody::AppendRequest {
        round: 1,
        prev_index: 1,
        prev_term: 1,
        entries: vec![entry],
        commit: 1,
    };
    fleet.deliver(3, 2, append);
    fleet.wait_last(2).await;
    fleet.elect(3, [2, 4]).await;
    fleet.wait_last(3).await;
    let voter = fleet.voter.clone();
    tokio::spawn(async move { voter.propose_within(Command::Noop, LIMIT).await });
    let replaced = commands.pop().unwrap().await.unwrap();
    assert!(
        matches!(replaced, Err(Error::Unconfirmed { .. })),
        "{replaced:?}"
    );
}
