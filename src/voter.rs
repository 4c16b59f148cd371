//! Runs the replicated log of one control daemon and provides access to its state.
//!
//! One thread owns the consensus core and the journal, and is the only writer of the state; see
//! docs/design.md, section 5.

mod absence;
mod address_book;
mod applier;
mod driver;
mod driver_effects;
mod driver_replacement;
mod driver_snapshot;
mod entry_codec;
mod handle;
mod lease;
mod level_reports;
mod member;
mod part_recorder;
mod pending;
mod request;
mod settings;
mod shared;
mod snapshot_buffers;
mod status;
mod thread;

pub use absence::VoterAbsence;
pub use address_book::AddressBook;
pub(crate) use driver::unix_time_ms;
pub use handle::VoterHandle;
pub use lease::LeaderLease;
pub use member::{member_name, parse_member_name};
pub use part_recorder::PartRecorder;
pub use request::PeerMessages;
pub use settings::VoterSettings;
pub use status::{VoterPhase, VoterStatus};

use crate::raft::RaftMessage;

/// Sends messages to other members. Messages may be lost.
pub trait PeerSender: Send {
    /// Queues a message to `message.to` without blocking.
    fn send(&mut self, message: RaftMessage);
}
