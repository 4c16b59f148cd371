//! Rate and burst of each team over the whole fleet; see docs/design.md, section 8.

mod message;

pub use message::{ShareGrant, ShareReport};
