//! Ends of answers: how an answer says where its body ends, how a break is told from an end, and how
//! a caller sees it; see docs/design.md, section 10.

mod caller_stream;
mod end_check;
mod event_boundary;
mod framing;
mod json_document;

pub use caller_stream::{CallerStream, StreamAbort};
pub use end_check::EndCheck;
pub use event_boundary::EventBoundary;
pub use framing::AnswerFraming;
pub use json_document::JsonDocument;
