//! The consensus core of the replicated log: pure step functions without I/O.
//!
//! The protocol is Raft with pre-vote, check-quorum and a leader lease; see docs/design.md,
//! section 5, and docs/model-checking.md.
//!
//! # Contract between core and driver
//! - `now` is the time on the monotonic clock since the process started. The driver reads it after
//!   it has received the input and before it calls [`RaftCore::step`]. A value from before the
//!   receipt would shorten the time for which a voter refuses votes, and break the lease.
//! - The driver carries out effects in the order in which they are returned, across steps too.
//!   [`RaftEffect::SaveVote`], [`RaftEffect::Append`], [`RaftEffect::Truncate`] and
//!   [`RaftEffect::InstallSnapshot`] are *persist effects* ([`RaftEffect::is_persistent`]). Before
//!   any other effect that follows a persist effect, the driver syncs the persist effect to disk.
//!   Several steps may share one sync: step for each queued input, sync once, then carry out the
//!   other effects.
//! - After each sync that covered an `Append`, the driver steps with [`RaftInput::Persisted`] for
//!   the last appended entry. The leader sends entries and counts its own copy only then, so one
//!   message carries all entries of a batch.
//! - A driver whose write or sync failed stops the voter and carries out no later effect.
//! - The core keeps the log since the last compaction in memory; the driver bounds it with
//!   [`RaftInput::Compacted`] once a snapshot is durable.

mod core;
mod effect;
mod election;
mod entry;
mod follower;
mod input;
mod leader;
mod leader_state;
mod limits;
mod log;
mod member;
mod message;
mod progress;
mod restored;
mod role;
mod rounds;
mod timer;
mod timing;

pub use core::RaftCore;
pub use effect::{RaftEffect, RefusalReason};
pub use entry::{EntryPayload, LogEntry};
pub use input::RaftInput;
pub use limits::RaftLimits;
pub use member::{MemberChange, Membership, VoterId};
pub use message::{AppendOutcome, MessageBody, RaftMessage, VoteKind};
pub use restored::{RestoredState, SnapshotMeta};
pub use role::RaftRole;
pub use timing::RaftTiming;
