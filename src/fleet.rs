//! The operator's configuration: lookup index, validation and differences.

mod index;
mod key_hash;

pub use index::FleetIndex;
pub use key_hash::{KeyHash, KeyHasher};
