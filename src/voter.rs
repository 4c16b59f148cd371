//! Drives the replicated log of one control daemon and offers it to the rest of the daemon.

mod handle;

pub use handle::{LeaderLease, VoterHandle};
