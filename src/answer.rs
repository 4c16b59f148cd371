//! Ends of answers: how an answer says where its body ends, how a break is told from an end, and how
//! a caller sees it; see docs/design.md, section 10.

mod caller_stream;
mod end_check;
mod event_boundary;
mod final_status;
mod framing;
mod json_document;

pub use caller_stream::{CallerStream, StreamAbort};
pub use end_check::EndCheck;
pub use event_boundary::EventBoundary;
pub use final_status::is_final_status;
pub use framing::AnswerFraming;
pub use json_document::JsonDocument;
