//! Raft consensus core of the replicated log: step functions without I/O.
//!
//! The protocol is Raft with pre-vote, check-quorum and a leader lease; see docs/design.md,
//! section 5, and docs/model-checking.md.
//!
//! # Contract between core and driver
//! - `now` is the time on the monotonic clock since the process started. The driver reads it after
//!   it has received the input and before it calls [`RaftCore::step`]. An earlier value would
//!   shorten the period during which a voter refuses votes, and two leases could overlap.
//! - The driver executes effects in the order in which they are returned, also across steps.
//!   [`RaftEffect::SaveVote`], [`RaftEffect::Append`], [`RaftEffect::Truncate`] and
//!   [`RaftEffect::InstallSnapshot`] are *persistent effects* ([`RaftEffect::is_persistent`]). The
//!   driver syncs a persistent effect to disk before it executes any later effect of another kind.
//!   Several steps may share one sync: step for each queued input, sync once, then execute the
//!   other effects.
//! - After each sync that covers an `Append`, the driver steps with [`RaftInput::Persisted`] for
//!   the last appended entry. Only then does the leader send the entries and count its own copy, so
//!   one message carries all entries of a batch.
//! - When a write or sync fails, the driver stops the voter and executes no further effect.
//! - The core keeps the log since the last compaction in memory. The driver bounds its size with
//!   [`RaftInput::Compacted`] once a snapshot is durable.

mod contacts;
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
mod quorum;
mod replacement;
mod restored;
mod role;
mod rounds;
mod timer;
mod timing;

pub use contacts::MemberContacts;
pub use core::RaftCore;
pub use effect::{RaftEffect, RefusalReason};
pub use entry::{EntryPayload, LogEntry};
pub use input::RaftInput;
pub use limits::RaftLimits;
pub use member::{MemberChange, Membership, VoterId};
pub use message::{AppendOutcome, MessageBody, RaftMessage, VoteKind};
pub use replacement::{ReplacementCause, ReplacementObstacle, ReplacementPolicy, ReplacementStep};
pub use restored::{RestoredState, SnapshotMeta};
pub use role::RaftRole;
pub use timing::RaftTiming;
