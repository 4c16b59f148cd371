//! The operator's configuration: validation, lookup tables, and differences between revisions.

mod change;
mod check;
mod delta;
mod index;
mod issue;
mod key_hash;
mod list_delta;
mod named;
mod schema;

pub use change::{ChangeKind, FieldChange, FleetChange, changes_between};
pub use check::{
    MAX_CONFIG_BYTES, check_capacity, check_config, check_document, check_identifier, parse_config,
};
pub use delta::FleetDelta;
pub use index::FleetIndex;
pub use issue::ConfigIssue;
pub use key_hash::{KeyHash, KeyHasher};
pub use list_delta::ListDelta;
pub use named::NamedConfig;
