//! Framing of targets' answers, and how their ends are told from breaks; see docs/design.md,
//! section 10.

mod framing;

pub use framing::AnswerFraming;
