use std::time::Duration;

use compact_str::CompactString;
use smallvec::SmallVec;

use crate::{
    ids::{ModelId, RequestId, TargetId, TeamId},
    pace::WorkPace,
};

/// Part of a prompt that other requests may have in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Hash that identifies the content of the part.
    pub hash: u64,
    /// Number of tokens in the part.
    pub tokens: u32,
}

/// Metadata from the headers of a caller's request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestMetadata {
    /// Id of the request.
    pub request_id: Option<RequestId>,
    /// Key that authenticates the caller as a member of a team.
    pub key: Option<CompactString>,
    /// Time that the caller waits for the response.
    pub deadline: Option<Duration>,
    /// Name of the model, or `model/adapter`.
    pub model: Option<ModelId>,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u64,
    /// Maximum number of tokens in the response.
    pub max_output_tokens: u64,
    /// Whether the request declares its size in tokens.
    pub has_token_counts: bool,
    /// Parts of the prompt in order.
    pub parts: SmallVec<[PromptPart; 4]>,
    /// Id of the last event that the caller received from the stream that it resumes.
    pub last_event_id: Option<CompactString>,
    /// Id of the caller's attempt that brought the first event of the stream that it resumes.
    pub first_attempt: Option<RequestId>,
}

/// Metadata that a gateway adds to a request that it forwards to a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ForwardMetadata<'s> {
    /// Target that the request is meant for; another target at the same address refuses it.
    pub target: &'s TargetId,
    /// Team that the request belongs to.
    pub team: Option<&'s TeamId>,
    /// Time that remains to answer the request.
    pub deadline: Duration,
    /// Priority from 0, the most urgent, to 9.
    pub priority: u8,
    /// Id of the event after which the target continues a stream that the gateway resumes.
    pub resume_after: Option<&'s str>,
}

/// Metadata from the status and headers of a target's response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseMetadata {
    /// Id of the request that the response belongs to.
    pub request_id: Option<RequestId>,
    /// Whether the target guarantees that the request has not run and will not run.
    pub is_not_executed: bool,
    /// Whether the request reached the wrong target, or one that does not have the model.
    pub is_misdirected: bool,
    /// Whether the response carries the target's signature.
    pub is_signed: bool,
    /// Number of running requests, of queued requests and of slots at the target.
    pub load: Option<(u32, u32, u32)>,
    /// How long work takes at the target at the moment, relative to the usual time.
    pub pace: Option<WorkPace>,
    /// Number of requests that the target can turn away within a second for want of room; beyond it, the target falls over.
    /// `None` when the target can turn away any number.
    pub rejection_limit: Option<u32>,
    /// Time for which the target keeps an idle connection open.
    pub keep_alive: Option<Duration>,
}
