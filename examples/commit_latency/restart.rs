use std::{
    fs,
    path::Path,
    sync::Arc,
    time::{Duration, Instant},
};

use tempfile::TempDir;
use waxwinglatch::{
    config::VoterAddress,
    journal::{DataFolder, JournalLimits},
    raft::{Membership, RaftMessage},
    state::ControlState,
    voter::{AddressBook, PeerSender, VoterHandle, VoterSettings},
};

use crate::local::claim;

const LENGTHS: [usize; 5] = [1_000, 10_000, 50_000, 100_000, 200_000];
/// Proposals that wait at once while the log is filled.
const PROPOSERS: usize = 1_000;

/// Prints the restart time and the memory per entry by log length, without snapshots.
pub async fn measure() {
    println!("\nrestart of a single voter by log length, without snapshots; claims");
    println!(
        "| entries | log bytes per entry | restore ms | applied after ms | resident bytes per entry |"
    );
    println!("| --- | --- | --- | --- | --- |");
    for length in LENGTHS {
        let folder = TempDir::new().expect("a temporary folder can be made");
        let voter = start(folder.path());
        let id = voter.status().id;
        voter
            .initialize(Membership::of_voters([id]))
            .await
            .expect("the voter runs");
        fill(&voter, length).await;
        let last = voter.read_local(ControlState::applied);
        voter.stop().await;
        drop(voter);

        let before = resident_bytes();
        let begun = Instant::now();
        let voter = start(folder.path());
        let restored = begun.elapsed();
        let resident = resident_bytes().saturating_sub(before) / length;
        let mut applied = voter.watch_applied();
        applied
            .wait_for(|applied| *applied >= last)
            .await
            .expect("the voter runs");
        let log_bytes = folder_bytes(&folder.path().join("journal")) / length;
        println!(
            "| {length} | {log_bytes} | {} | {} | {resident} |",
            restored.as_millis(),
            begun.elapsed().as_millis()
        );
        voter.stop().await;
    }
    println!("\"applied after\" includes an election timeout of 800 to 1600 ms.");
}

fn start(folder: &Path) -> VoterHandle {
    let mut settings = VoterSettings::new("vm-0".into());
    settings.snapshot_bytes = usize::MAX;
    settings.limits.log_bytes = 1 << 30;
    settings.proposal_timeout = Duration::from_secs(60);
    let nowhere = "127.0.0.1:9".parse().expect("it is an address");
    let address = VoterAddress {
        vm: settings.vm.clone(),
        data_centre: "dc-1".into(),
        system: nowhere,
        admin: nowhere,
    };
    let data = DataFolder::open(folder).expect("the folder is usable");
    let journal = data.open_journal(&settings.vm, JournalLimits::default());
    let journal = journal.expect("the journal is whole");
    let book = Arc::new(AddressBook::new(address, []));
    VoterHandle::start(journal, settings, book, Box::new(NoPeers)).expect("the voter starts")
}

struct NoPeers;

impl PeerSender for NoPeers {
    fn send(&mut self, _: RaftMessage) {}
}

async fn fill(voter: &VoterHandle, length: usize) {
    while voter.lease().is_none() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let tasks = (0..PROPOSERS).map(|_| {
        let voter = voter.clone();
        tokio::spawn(async move {
            for _ in 0..length / PROPOSERS {
                voter.propose(claim()).await.expect("the voter commits");
            }
        })
    });
    futures::future::join_all(tasks).await;
}

fn folder_bytes(folder: &Path) -> usize {
    let files = fs::read_dir(folder).expect("the folder is readable");
    let sizes = files.map(|file| {
        file.and_then(|file| file.metadata())
            .map_or(0, |data| data.len())
    });
    usize::try_from(sizes.sum::<u64>()).unwrap_or(usize::MAX)
}

/// Resident memory of this process. Pages are 4 KiB on the platforms that the system runs on.
fn resident_bytes() -> usize {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<usize>().ok());
    pages.unwrap_or_default() * 4_096
}
