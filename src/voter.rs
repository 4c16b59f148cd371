//! Drives the replicated log of one control daemon and offers it to the rest of the daemon.
//!
//! One thread owns the consensus core, the journal and the writes to the state; see
//! docs/design.md, section 5.

mod address_book;
mod applier;
mod carry_out;
mod driver;
mod entry_codec;
mod handle;
mod lease;
mod level_reports;
mod make_snapshot;
mod member;
mod pending;
mod request;
mod settings;
mod shared;
mod snapshots;
mod status;
mod thread;

pub use address_book::AddressBook;
pub use handle::VoterHandle;
pub use lease::LeaderLease;
pub use member::{member_name, parse_member_name};
pub use request::PeerMessages;
pub use settings::VoterSettings;
pub use status::{VoterPhase, VoterStatus};

use crate::raft::RaftMessage;

/// Carries messages to other members; losing one is harmless.
pub trait PeerSender: Send {
    /// Queues a message for `message.to` without waiting.
    fn send(&mut self, message: RaftMessage);
}
