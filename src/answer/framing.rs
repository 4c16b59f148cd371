use hyper::{HeaderMap, header::TRANSFER_ENCODING};

/// How an answer says where its body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerFraming {
    /// The length is known before the body.
    Length,
    /// The body comes in chunks, the last of which is marked.
    Chunks,
    /// The body ends with its connection, so that a break looks like its end.
    Connection,
}

impl AnswerFraming {
    /// Returns the framing of an answer from its headers and from the length of its body, if the
    /// HTTP client knows it.
    #[must_use]
    pub fn new(headers: &HeaderMap, length: Option<u64>) -> Self {
        match length {
            Some(_) => Self::Length,
            None if headers.contains_key(TRANSFER_ENCODING) => Self::Chunks,
            None => Self::Connection,
        }
    }

    /// Returns the name of the framing in log lines.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunks => "chunks",
            Self::Connection => "connection",
        }
    }
}
