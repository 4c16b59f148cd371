use std::time::Duration;

use super::PoolId;
use crate::ids::{TargetId, VersionId};

/// A prefix of a prompt, named by a hash over all its tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrefixBlock {
    /// Hash of the prompt up to the end of this block.
    pub hash: u64,
    /// Tokens up to the end of this block.
    pub tokens: u32,
}

/// What a target is chosen for.
#[derive(Clone, Copy, Debug)]
pub struct RouteRequest<'r> {
    /// Pool that can take the request.
    pub pool: &'r PoolId,
    /// Version that the target must hold; any when `None`.
    pub version: Option<&'r VersionId>,
    /// Tokens of the prompt; 0 for a plain service.
    pub prompt_tokens: u32,
    /// Prefixes of the prompt, shortest first; at most 16 are looked at.
    pub prefix: &'r [PrefixBlock],
    /// Targets that must not be chosen, because the request was tried there.
    pub tried: &'r [TargetId],
    /// Priority, 0 to 9; engines serve higher ones first.
    pub priority: u8,
}

/// How an exchange with a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeOutcome {
    /// The target answered; the time is that to its first byte.
    Answered {
        /// Time from sending to the first byte.
        first_byte: Duration,
    },
    /// The target failed or did not answer in time.
    Failed,
    /// The caller cancelled, which tells nothing about the target.
    Cancelled,
}
