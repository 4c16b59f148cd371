use hyper::{
    HeaderMap,
    header::{CONTENT_ENCODING, CONTENT_TYPE, HeaderValue},
};

use super::{AnswerFraming, EventBoundary, JsonDocument};

/// Check of the end of an answer's body. A target that fails may end its connection, and with it the
/// body, in the same way as after a complete answer; the content tells the two apart.
#[derive(Clone, Copy, Debug)]
pub enum EndCheck {
    /// The framing alone tells the end, or the content does not show it.
    Framing,
    /// A stream of events, which ends between two of them whatever its framing.
    Events(EventBoundary),
    /// A JSON document that ends with its connection.
    Document(JsonDocument),
}

impl EndCheck {
    /// Returns the check for an answer with these headers.
    #[must_use]
    pub fn new(framing: AnswerFraming, headers: &HeaderMap) -> Self {
        let content_type = headers.get(CONTENT_TYPE).map(HeaderValue::as_bytes);
        let content_type = content_type.unwrap_or_default().to_ascii_lowercase();
        let media_type = content_type.split(|byte| *byte == b';').next();
        let media_type = media_type.unwrap_or_default().trim_ascii();
        match media_type {
            _ if headers.contains_key(CONTENT_ENCODING) => Self::Framing,
            b"text/event-stream" => Self::Events(EventBoundary::default()),
            _ if framing != AnswerFraming::Connection => Self::Framing,
            b"application/json" => Self::Document(JsonDocument::default()),
            other if other.ends_with(b"+json") => Self::Document(JsonDocument::default()),
            _ => Self::Framing,
        }
    }

    /// Adds the next bytes of the body.
    pub fn push(&mut self, bytes: &[u8]) {
        match self {
            Self::Framing => {}
            Self::Events(boundary) => boundary.push(bytes),
            Self::Document(document) => document.push(bytes),
        }
    }

    /// Returns the number of complete events so far; 0 for a body that is no stream of events.
    #[must_use]
    pub fn events(&self) -> u64 {
        match self {
            Self::Events(boundary) => boundary.events(),
            _ => 0,
        }
    }

    /// Returns why a body that ends here has been broken off; `None` if it is complete as far as can
    /// be told.
    #[must_use]
    pub fn break_reason(&self) -> Option<&'static str> {
        match self {
            Self::Events(boundary) if boundary.is_inside_event() => {
                Some("the stream ended inside an event")
            }
            Self::Document(document) if !document.is_complete() => {
                Some("the connection ended before the document was complete")
            }
            _ => None,
        }
    }

    /// Returns whether the body must be passed on without its length. Once a body of known length is
    /// out, a caller takes it for complete.
    #[must_use]
    pub fn hides_length(&self) -> bool {
        !matches!(self, Self::Framing)
    }
}
