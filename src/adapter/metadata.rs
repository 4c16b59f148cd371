use std::time::Duration;

use compact_str::CompactString;
use smallvec::SmallVec;

use crate::ids::{ModelId, RequestId, TargetId, TeamId};

/// Part of a prompt that other requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Names the content of this part.
    pub hash: u64,
    /// Tokens of this part.
    pub tokens: u32,
}

/// What the head of a caller's request says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestMetadata {
    /// Name of the request.
    pub request_id: Option<RequestId>,
    /// Key of a team.
    pub key: Option<CompactString>,
    /// Time that the caller will wait.
    pub deadline: Option<Duration>,
    /// Model, or `model/adapter`.
    pub model: Option<ModelId>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Most tokens of the answer.
    pub max_output_tokens: u64,
    /// Whether the request declares its size in tokens.
    pub has_token_counts: bool,
    /// Parts of the prompt in order.
    pub parts: SmallVec<[PromptPart; 4]>,
    /// Last event that the caller has received of a stream that it resumes.
    pub last_event_id: Option<CompactString>,
}

/// What a gateway adds to a request that it sends to a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ForwardMetadata<'s> {
    /// The target that is meant; another one at the same address refuses.
    pub target: &'s TargetId,
    /// Team whose request it is.
    pub team: Option<&'s TeamId>,
    /// Time that is left.
    pub deadline: Duration,
    /// Urgency, 0 to 9.
    pub priority: u8,
    /// Event after which the stream goes on, when the gateway resumes it.
    pub resume_after: Option<&'s str>,
}

/// What the head of a target's answer says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseMetadata {
    /// Request that it answers.
    pub request_id: Option<RequestId>,
    /// Whether the target states that the request has not run and will not.
    pub is_not_executed: bool,
    /// Whether the target refuses because it is another one, or lacks the model.
    pub is_misdirected: bool,
    /// Whether the answer bears the target's signature.
    pub is_signed: bool,
    /// Requests that run, that wait and that can run at the target.
    pub load: Option<(u32, u32, u32)>,
    /// Time for which the target keeps an idle connection.
    pub keep_alive: Option<Duration>,
}
