use std::time::Duration;

/// What became of one request, as its caller saw it.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerAnswer {
    /// The whole answer arrived, and it was this request's own.
    Whole {
        /// Time to the first byte of the body.
        first_byte: Duration,
        /// Mean time between two tokens of a stream; `None` for other answers.
        between_tokens: Option<Duration>,
        /// Tokens or bytes that arrived.
        size: u64,
    },
    /// The system refused or failed, and said so with a numbered code.
    Refused {
        /// Name of the code.
        name: String,
        /// Whether the answer said that the request did not run.
        not_run: bool,
    },
    /// The answer ended early, or the connection broke.
    Broken,
    /// The answer was complete but not what this request asked for.
    Wrong,
}
