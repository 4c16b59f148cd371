use std::time::Duration;

use super::{PoolId, Warmth};
use crate::{
    ids::{TargetId, VersionId},
    region::DataCentreFilter,
};

/// A prefix of a prompt, identified by a hash over all its tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrefixBlock {
    /// Hash of the prompt up to the end of this block.
    pub hash: u64,
    /// Number of tokens up to the end of this block.
    pub tokens: u32,
}

/// Requirements of a request that a target is selected for.
#[derive(Clone, Copy, Debug)]
pub struct RouteRequest<'r> {
    /// Pool that can take the request.
    pub pool: &'r PoolId,
    /// Version that the target must hold; `None` allows any.
    pub version: Option<&'r VersionId>,
    /// Number of prompt tokens; 0 for a plain service.
    pub prompt_tokens: u32,
    /// Prefixes of the prompt, shortest first; at most 16 are considered.
    pub prefix: &'r [PrefixBlock],
    /// Targets that are excluded because the request was sent to them before.
    pub tried: &'r [TargetId],
    /// Data centres whose targets may run the request.
    pub data_centres: &'r DataCentreFilter,
    /// Priority from 0 to 9; engines serve higher priorities first.
    pub priority: u8,
    /// Warmth that the target must have; `None` allows any.
    pub warmth: Option<Warmth>,
}

/// Outcome of an exchange with a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeOutcome {
    /// The target answered.
    Answered {
        /// Time from sending to the first byte.
        first_byte: Duration,
    },
    /// The target failed or did not answer in time.
    Failed,
    /// The caller cancelled, which does not affect the target's health.
    Cancelled,
}
