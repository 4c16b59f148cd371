//! The operator's configuration: lookup index, validation and differences.

mod delta;
mod index;
mod key_hash;
mod list_delta;
mod named;

pub use delta::FleetDelta;
pub use index::FleetIndex;
pub use key_hash::{KeyHash, KeyHasher};
pub use list_delta::ListDelta;
pub use named::NamedConfig;
